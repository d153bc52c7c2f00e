import test, { type ExecutionContext } from 'ava';
import { DispatchCore } from '../dispatchCore.js';
import type {
	AgentReportMessage,
	StartTasksMessage,
	StopTasksMessage,
	TaskEndReport,
	TaskRunRef,
	WorkerState,
} from '../dispatchMessages.js';
import type { JobOutcome, JobRequest } from '../jobs.js';

const orphanLifetimeMs = 1500;

class Harness {
	nowMs = 0;
	readonly sent: { readonly linkId: number; readonly message: StartTasksMessage | StopTasksMessage }[] = [];
	readonly outcomes: JobOutcome[] = [];
	readonly core = new DispatchCore(
		{
			send: (linkId, message) => {
				this.sent.push({ linkId, message });
			},
			log: () => undefined,
			entryCount: () => 1,
			random: () => 0.5,
		},
		{ orphanLifetimeMs },
		0,
	);

	connect(linkId: number, agentId: string, incarnation = 'life-1'): void {
		this.core.agentConnected(linkId, agentId, incarnation, this.nowMs);
	}

	report(linkId: number, change: Partial<AgentReportMessage> = {}, state: Partial<WorkerState> = {}): void {
		this.core.takeReport(
			linkId,
			{ kind: 'agentReport', handledSequence: 1e9, ends: [], state: createState(state), ...change },
			this.nowMs,
		);
		this.core.schedule(this.nowMs);
	}

	end(linkId: number, end: TaskEndReport): void {
		this.report(linkId, { ends: [end] });
	}

	submit(change: Partial<JobRequest> = {}): () => void {
		const leave = this.core.submit(
			createRequest(change),
			(outcome) => {
				this.outcomes.push(outcome);
			},
			this.nowMs,
		);
		this.core.schedule(this.nowMs);
		return leave;
	}

	advance(byMs: number): void {
		this.nowMs += byMs;
		this.core.schedule(this.nowMs);
	}

	/** Runs that were sent to a connection, in order. */
	starts(linkId: number): TaskRunRef[] {
		return this.sent.flatMap(({ linkId: to, message }) =>
			to === linkId && message.kind === 'startTasks'
				? message.jobs.flatMap(({ jobId, tasks }) => tasks.map((task) => ({ jobId, ...task })))
				: [],
		);
	}

	stops(linkId: number): TaskRunRef[] {
		return this.sent.flatMap(({ linkId: to, message }) =>
			to === linkId && message.kind === 'stopTasks' ? [...message.tasks] : [],
		);
	}
}

function createState(change: Partial<WorkerState>): WorkerState {
	return {
		workerId: 'w',
		dataCentre: 'a',
		pool: 'pool',
		labels: ['a', 'r1'],
		capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
		isCapacityGuessed: false,
		used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
		isAccepting: true,
		speed: 1,
		pace: undefined,
		failedEnds: 0,
		doneEnds: 0,
		failureStreak: 0,
		laggards: [],
		...change,
	};
}

function createRequest(change: Partial<JobRequest>): JobRequest {
	return {
		jobId: 'job-1',
		route: 'route',
		pool: 'pool',
		payload: 'x',
		isCapacityEnforced: true,
		taskCount: 1,
		needs: { cpuMillis: 4000, memoryMb: 100, accelerators: 0 },
		awayFactor: 1.5,
		estimateMs: 300,
		priority: 0,
		maxAttempts: 2,
		stretch: 1.6,
		objectiveMs: 60,
		waitMs: 5000,
		...change,
	};
}

function createTwoAgents(): Harness {
	const harness = new Harness();
	for (const linkId of [1, 2]) {
		harness.connect(linkId, `agent-${linkId}`);
		harness.report(linkId);
	}
	return harness;
}

/** The one connection that got the first start, and the other one. */
function whereStarted(t: ExecutionContext, harness: Harness): readonly [number, number] {
	const first = harness.starts(1).length > 0 ? 1 : 2;
	t.is(harness.starts(first).length, 1);
	return [first, 3 - first];
}

test('a job is answered when all of its tasks are done', (t) => {
	const harness = createTwoAgents();
	harness.submit({ taskCount: 2 });
	const runs = [1, 2].flatMap((linkId) => harness.starts(linkId).map((run) => ({ linkId, run })));
	t.is(runs.length, 2);
	for (const [index, { linkId, run }] of runs.entries()) {
		t.is(harness.outcomes.length, 0, `before end ${index}`);
		harness.end(linkId, { ...run, end: 'done' });
	}
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }]);
});

test('a failed task runs again at another worker, and fails its job at the last attempt', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	const [first, second] = whereStarted(t, harness);
	harness.end(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'failed' });
	t.deepEqual(harness.starts(second), [{ jobId: 'job-1', taskIndex: 0, run: 2 }]);
	harness.end(second, { jobId: 'job-1', taskIndex: 0, run: 2, end: 'failed' });
	t.deepEqual(harness.outcomes, [{ kind: 'failed' }]);
});

test('a lost agent’s task starts elsewhere only when it can no longer run there', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	const [first, second] = whereStarted(t, harness);
	harness.core.agentLost(first, 'silent', harness.nowMs);
	harness.advance(orphanLifetimeMs - 1);
	t.deepEqual(harness.starts(second), []);
	harness.advance(1);
	t.deepEqual(harness.starts(second), [{ jobId: 'job-1', taskIndex: 0, run: 2 }]);
});

test('a task goes on when its agent comes back with it, and is not started again', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	const [first, second] = whereStarted(t, harness);
	harness.core.agentLost(first, 'reset', harness.nowMs);
	harness.connect(3, `agent-${first}`);
	harness.report(3, { heldRuns: [{ jobId: 'job-1', taskIndex: 0, run: 1 }] });
	harness.advance(orphanLifetimeMs + 100);
	t.deepEqual([...harness.starts(second), ...harness.starts(3)], []);
	harness.end(3, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'done' });
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }]);
});

test('a start that was lost with its connection is sent again at once when the agent comes back without it', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	const [first] = whereStarted(t, harness);
	harness.core.agentLost(first, 'reset', harness.nowMs);
	harness.connect(3, `agent-${first}`);
	harness.report(3, { heldRuns: [] });
	t.is(harness.starts(3).length + harness.starts(3 - first).length, 1);
});

test('a new life of an agent settles the runs of the earlier one with its first state', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	const [first, second] = whereStarted(t, harness);
	harness.core.agentLost(first, 'killed', harness.nowMs);
	harness.connect(3, `agent-${first}`, 'life-2');
	harness.core.takeReport(3, { kind: 'agentReport', handledSequence: 0, ends: [], heldRuns: [] }, 0);
	harness.advance(10);
	t.deepEqual([...harness.starts(second), ...harness.starts(3)], [], 'not before the state');
	harness.report(3, { heldRuns: [] });
	t.is(harness.starts(second).length + harness.starts(3).length, 1);
});

test('a refused start leaves the worker out only where the reason stays', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	const [first, second] = whereStarted(t, harness);
	const ref = { jobId: 'job-1', taskIndex: 0, run: 1 };
	harness.end(first, { ...ref, end: 'refused', reason: 'unhealthy' });
	t.is(harness.starts(second).length, 1);
});

test('a run number that the worker has seen is passed over', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	const [first] = whereStarted(t, harness);
	const ref = { jobId: 'job-1', taskIndex: 0, run: 1 };
	harness.end(first, { ...ref, end: 'refused', reason: 'olderRun', knownRun: 7 });
	const again = [...harness.starts(1), ...harness.starts(2)].at(-1);
	t.is(again?.run, 8);
});

test('a caller that leaves ends its job and stops its runs', (t) => {
	const harness = createTwoAgents();
	const leave = harness.submit();
	const [first] = whereStarted(t, harness);
	leave();
	t.deepEqual(harness.stops(first), [{ jobId: 'job-1', taskIndex: 0, run: 1 }]);
	t.is(harness.core.jobCount, 0);
	harness.end(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'stopped' });
	t.deepEqual(harness.outcomes, []);
});

test('the same request twice is one job with two answers', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	harness.submit();
	const [first] = whereStarted(t, harness);
	harness.end(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'done' });
	harness.submit();
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }, { kind: 'completed' }, { kind: 'completed' }]);
	t.is(harness.starts(1).length + harness.starts(2).length, 1);
});

test('what can’t be in time is rejected at once, and nothing of it is started', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	const used = { cpuMillis: 8000, memoryMb: 100, accelerators: 0 };
	harness.report(1, {}, { used });
	harness.submit({ jobId: 'a' });
	harness.submit({ jobId: 'b', taskCount: 12 });
	t.is(harness.outcomes.length, 1);
	t.like(harness.outcomes[0], { kind: 'rejected', reason: 'overloaded' });
	t.deepEqual(harness.starts(1), []);
});

test('the time that a request waited before it was read counts against its objective', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, { used: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 } });
	harness.submit({ jobId: 'a' });
	t.deepEqual(harness.outcomes, []);
	harness.submit({ jobId: 'b', waitedMs: 300 });
	t.like(harness.outcomes[0], { kind: 'rejected', reason: 'overloaded' });
});

test('a job that is late already is done where room is free', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	harness.submit({ waitedMs: 300 });
	t.is(harness.starts(1).length, 1);
	harness.advance(30);
	t.deepEqual(harness.outcomes, []);
});

test('jobs that come together are taken by what idle workers will do, not refused since none works yet', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	for (const jobId of ['a', 'b', 'c']) {
		harness.core.submit(createRequest({ jobId }), (outcome) => harness.outcomes.push(outcome), 0);
	}
	t.deepEqual(harness.outcomes, []);
});

test('a waiting job is rejected as soon as it can’t be in time any more', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, { used: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 } });
	harness.submit();
	harness.advance(200);
	t.deepEqual(harness.outcomes, []);
	harness.advance(60);
	t.like(harness.outcomes[0], { kind: 'rejected', reason: 'overloaded' });
	t.is(harness.core.jobCount, 0);
});

test('a job that fits no worker, or finds none, is rejected with that reason', (t) => {
	const harness = createTwoAgents();
	harness.submit({ jobId: 'a', needs: { cpuMillis: 9000, memoryMb: 1, accelerators: 0 } });
	t.like(harness.outcomes[0], { reason: 'doesNotFit' });
	harness.nowMs = 2000;
	harness.submit({ jobId: 'b', pool: 'other' });
	t.like(harness.outcomes[1], { reason: 'noWorkers' });
});

test('full workers of one pool hold up no job of another', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, { used: { cpuMillis: 8000, memoryMb: 0, accelerators: 0 } });
	harness.connect(2, 'agent-2');
	harness.report(2, {}, { pool: 'other' });
	harness.submit({ jobId: 'a' });
	harness.submit({ jobId: 'b', pool: 'other' });
	t.is(harness.starts(2).length, 1);
});

test('laggards of a worker that rests are stopped, and start elsewhere once they have ended', (t) => {
	const harness = createTwoAgents();
	harness.submit();
	const [first, second] = whereStarted(t, harness);
	const run = { jobId: 'job-1', taskIndex: 0, run: 1 };
	harness.report(first, {}, { pace: 0.1, laggards: [run] });
	harness.report(first, {}, { pace: 0.1, laggards: [run] });
	t.deepEqual(harness.stops(first), [run], 'asked once');
	t.deepEqual(harness.starts(second), []);
	harness.report(first, { ends: [{ ...run, end: 'stopped' }] }, { pace: 0.1 });
	t.deepEqual(harness.starts(second), [{ ...run, run: 2 }]);
});

test('a process that stops gives every caller an answer', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, { used: { cpuMillis: 4000, memoryMb: 0, accelerators: 0 } });
	harness.submit({ jobId: 'a' });
	harness.submit({ jobId: 'b' });
	harness.core.abandonAll(harness.nowMs);
	t.deepEqual(
		harness.outcomes.map(({ kind }) => kind),
		['abandoned', 'rejected'],
	);
});

test('a worker of guessed capacity is used only where workers refuse what does not fit', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, { isCapacityGuessed: true });
	harness.submit({ jobId: 'a', isCapacityEnforced: false });
	t.deepEqual(harness.starts(1), []);
	harness.submit({ jobId: 'b', isCapacityEnforced: true });
	t.is(harness.starts(1).length, 1);
});
