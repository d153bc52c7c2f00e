import test, { type ExecutionContext } from 'ava';
import type { TaskEndReport, WorkerState } from '../dispatchMessages.js';
import {
	createHarnessWithTwoAgents,
	createRequest,
	findStartedConnections,
	Harness,
	orphanLifetimeMs,
} from './dispatchHarness.js';

test('a job completes when all of its tasks are done', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit({ taskCount: 2 });
	const runs = [1, 2].flatMap((connectionId) =>
		harness.getStartedRuns(connectionId).map((run) => ({ connectionId, run })),
	);
	t.is(runs.length, 2);
	for (const [index, { connectionId, run }] of runs.entries()) {
		t.is(harness.outcomes.length, 0, `before end ${index}`);
		harness.reportEnd(connectionId, { ...run, end: 'done' });
	}
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }]);
});

test('a failed task is retried on another worker, and its job fails after the last attempt', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first, second] = findStartedConnections(t, harness);
	harness.reportEnd(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'failed' });
	t.deepEqual(harness.getStartedRuns(second), [{ jobId: 'job-1', taskIndex: 0, run: 2, startId: 2 }]);
	harness.reportEnd(second, { jobId: 'job-1', taskIndex: 0, run: 2, end: 'failed' });
	t.deepEqual(harness.outcomes, [{ kind: 'failed' }]);
});

test('a task of a disconnected agent starts elsewhere only when it can no longer be running at that agent', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first, second] = findStartedConnections(t, harness);
	harness.core.handleAgentLost(first, 'silent', harness.nowMs);
	harness.advance(orphanLifetimeMs - 1);
	t.deepEqual(harness.getStartedRuns(second), []);
	harness.advance(1);
	t.deepEqual(harness.getStartedRuns(second), [{ jobId: 'job-1', taskIndex: 0, run: 2, startId: 2 }]);
});

test('a task is not started again when its agent reconnects and still holds its run', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first, second] = findStartedConnections(t, harness);
	harness.core.handleAgentLost(first, 'reset', harness.nowMs);
	harness.connect(3, `agent-${first}`);
	harness.report(3, { heldRuns: [{ jobId: 'job-1', taskIndex: 0, run: 1 }] });
	harness.advance(orphanLifetimeMs + 100);
	t.deepEqual([...harness.getStartedRuns(second), ...harness.getStartedRuns(3)], []);
	harness.reportEnd(3, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'done' });
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }]);
});

test('a task is started again at once when its agent reconnects without its run', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first] = findStartedConnections(t, harness);
	harness.core.handleAgentLost(first, 'reset', harness.nowMs);
	harness.connect(3, `agent-${first}`);
	harness.report(3, { heldRuns: [] });
	t.is(harness.getStartedRuns(3).length + harness.getStartedRuns(3 - first).length, 1);
});

test('tasks of a restarted agent are started again when it reports its first state, not earlier', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first, second] = findStartedConnections(t, harness);
	harness.core.handleAgentLost(first, 'killed', harness.nowMs);
	harness.connect(3, `agent-${first}`, 'life-2');
	harness.core.handleReport(3, { kind: 'agentReport', handledSequence: 0, ends: [], heldRuns: [] }, 0);
	harness.advance(10);
	t.deepEqual(
		[...harness.getStartedRuns(second), ...harness.getStartedRuns(3)],
		[],
		'no start before the first state',
	);
	harness.report(3, { heldRuns: [] });
	t.is(harness.getStartedRuns(second).length + harness.getStartedRuns(3).length, 1);
});

test('a start that is refused as unhealthy is sent to another worker', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first, second] = findStartedConnections(t, harness);
	const ref = { jobId: 'job-1', taskIndex: 0, run: 1 };
	harness.reportEnd(first, { ...ref, end: 'refused', reason: 'unhealthy' });
	t.is(harness.getStartedRuns(second).length, 1);
});

test('a start that is refused as an older run is repeated with a higher run number than the known one', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first] = findStartedConnections(t, harness);
	const ref = { jobId: 'job-1', taskIndex: 0, run: 1 };
	harness.reportEnd(first, { ...ref, end: 'refused', reason: 'olderRun', knownRun: 7 });
	const again = [...harness.getStartedRuns(1), ...harness.getStartedRuns(2)].at(-1);
	t.is(again?.run, 8);
});

test('a job ends and its runs are stopped when its only caller disconnects', (t) => {
	const harness = createHarnessWithTwoAgents();
	const disconnectCaller = harness.submit();
	const [first] = findStartedConnections(t, harness);
	disconnectCaller();
	t.deepEqual(harness.getStoppedRuns(first), [{ jobId: 'job-1', taskIndex: 0, run: 1, startId: 1 }]);
	t.is(harness.core.jobCount, 0);
	harness.reportEnd(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'stopped' });
	t.deepEqual(harness.outcomes, []);
});

test('repeated requests share one job and each get its outcome', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	harness.submit();
	const [first] = findStartedConnections(t, harness);
	harness.reportEnd(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'done' });
	harness.submit();
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }, { kind: 'completed' }, { kind: 'completed' }]);
	t.is(harness.getStartedRuns(1).length + harness.getStartedRuns(2).length, 1);
});

test('a job that can’t end in time is rejected at once, and none of its tasks is started', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	const used = { cpuMillis: 8000, memoryMb: 100, accelerators: 0 };
	harness.report(1, {}, { used });
	harness.submit({ jobId: 'a' });
	harness.submit({ jobId: 'b', taskCount: 12 });
	t.is(harness.outcomes.length, 1);
	t.like(harness.outcomes[0], { kind: 'rejected', reason: 'overloaded' });
	t.deepEqual(harness.getStartedRuns(1), []);
});

test('time that a request waited before it was submitted counts towards its objective', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, { used: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 } });
	harness.submit({ jobId: 'a' });
	t.deepEqual(harness.outcomes, []);
	harness.submit({ jobId: 'b', waitedMs: 300 });
	t.like(harness.outcomes[0], { kind: 'rejected', reason: 'overloaded' });
});

test('a job that is already late is started when capacity is free', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	harness.submit({ waitedMs: 300 });
	t.is(harness.getStartedRuns(1).length, 1);
	harness.advance(30);
	t.deepEqual(harness.outcomes, []);
});

test('jobs that arrive together are admitted by the capacity of idle workers, although none is busy yet', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	for (const jobId of ['a', 'b', 'c']) {
		harness.core.submit(createRequest({ jobId }), (outcome) => harness.outcomes.push(outcome), 0);
	}
	t.deepEqual(harness.outcomes, []);
});

test('an entry that has just started waits for the other workers before it rejects jobs by forecast', (t) => {
	const harness = new Harness(0);
	const full = { used: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 } };
	harness.connect(1, 'agent-1');
	harness.report(1, {}, full);
	harness.submit({ jobId: 'early', taskCount: 4 });
	t.deepEqual(harness.outcomes, []);
	harness.advance(50);
	harness.connect(2, 'agent-2');
	harness.report(2, {}, { capacity: { cpuMillis: 16_000, memoryMb: 8000, accelerators: 0 } });
	t.is(harness.getStartedRuns(2).length, 4);
	harness.advance(200);
	harness.report(2, {}, full);
	harness.submit({ jobId: 'later', taskCount: 4 });
	t.like(harness.outcomes[0], { kind: 'rejected', reason: 'overloaded' });
});

test('a waiting job is rejected as soon as it can no longer end in time', (t) => {
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

test('a job that has just arrived is rejected when more urgent ones overtake it', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	const capacity = { cpuMillis: 32_000, memoryMb: 8000, accelerators: 0 };
	harness.report(1, {}, { capacity, used: capacity });
	harness.submit({ jobId: 'first', priority: 1, estimateMs: 200 });
	harness.nowMs = 5;
	harness.submit({ jobId: 'urgent', taskCount: 6, priority: 0 });
	t.like(harness.outcomes[0], { kind: 'rejected', reason: 'overloaded' });
	t.is(harness.core.getJobState('first'), undefined);
	t.is(harness.core.getJobState('urgent'), 'queued');
	t.is(harness.core.counters.rejectedLate, 0);
});

test('a job that has waited is kept until its latest start, although more urgent ones overtake it', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	const capacity = { cpuMillis: 32_000, memoryMb: 8000, accelerators: 0 };
	harness.report(1, {}, { capacity, used: capacity });
	harness.submit({ jobId: 'first', priority: 1, estimateMs: 200 });
	harness.nowMs = 30;
	harness.submit({ jobId: 'urgent', taskCount: 6, priority: 0 });
	t.is(harness.core.getJobState('first'), 'queued');
	harness.advance(150);
	t.is(harness.core.getJobState('first'), undefined);
	t.is(harness.core.counters.rejectedLate, 1);
});

test('a job whose starts were all refused is rejected, since none of its tasks has run', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	harness.submit();
	const [run] = harness.getStartedRuns(1);
	harness.report(
		1,
		{ ends: [{ ...run!, end: 'refused', reason: 'noRoom' }] },
		{ used: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 } },
	);
	harness.advance(400);
	t.like(harness.outcomes[0], { kind: 'rejected', reason: 'overloaded' });
});

test('a job of which an agent knows an earlier run is abandoned, since it may have run for another entry', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	harness.submit();
	const [run] = harness.getStartedRuns(1);
	harness.report(
		1,
		{ ends: [{ ...run!, end: 'refused', reason: 'olderRun', knownRun: 1 }] },
		{ used: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 } },
	);
	harness.advance(4990);
	t.like(harness.outcomes[0], { kind: 'abandoned' });
});

test('a job of which one start was refused and another one was lost is abandoned, since it may have run', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	harness.submit({ taskCount: 2 });
	const [first, second] = harness.getStartedRuns(1);
	harness.report(
		1,
		{
			ends: [
				{ ...first!, end: 'refused', reason: 'noRoom' },
				{ ...second!, end: 'lost' },
			],
		},
		{ used: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 } },
	);
	harness.advance(4990);
	t.like(harness.outcomes[0], { kind: 'abandoned' });
});

test('a job is rejected with doesNotFit when it fits no worker, and with noWorkers when its pool has none', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit({ jobId: 'a', needs: { cpuMillis: 9000, memoryMb: 1, accelerators: 0 } });
	t.like(harness.outcomes[0], { reason: 'doesNotFit' });
	harness.nowMs = 2000;
	harness.submit({ jobId: 'b', pool: 'other' });
	t.like(harness.outcomes[1], { reason: 'noWorkers' });
});

test('full workers of one pool don’t delay jobs of another pool', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, { used: { cpuMillis: 8000, memoryMb: 0, accelerators: 0 } });
	harness.connect(2, 'agent-2');
	harness.report(2, {}, { pool: 'other' });
	harness.submit({ jobId: 'a' });
	harness.submit({ jobId: 'b', pool: 'other' });
	t.is(harness.getStartedRuns(2).length, 1);
});

test('laggards of a resting worker are stopped, and start elsewhere once their stop is reported', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first, second] = findStartedConnections(t, harness);
	const run = { jobId: 'job-1', taskIndex: 0, run: 1 };
	harness.report(first, {}, { pace: 0.1, laggards: [run] });
	harness.report(first, {}, { pace: 0.1, laggards: [run] });
	t.deepEqual(harness.getStoppedRuns(first), [run], 'each run is stopped once');
	t.deepEqual(harness.getStartedRuns(second), []);
	harness.report(first, { ends: [{ ...run, end: 'stopped' }] }, { pace: 0.1 });
	t.deepEqual(harness.getStartedRuns(second), [{ ...run, run: 2, startId: 2 }]);
});

test('every caller gets an outcome when the process stops', (t) => {
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

test('a worker with guessed capacity gets only tasks of pools whose workers refuse what does not fit', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, { isCapacityGuessed: true });
	harness.submit({ jobId: 'a', isCapacityEnforced: false });
	t.deepEqual(harness.getStartedRuns(1), []);
	harness.submit({ jobId: 'b', isCapacityEnforced: true });
	t.is(harness.getStartedRuns(1).length, 1);
});

/** Workers without room. */
const full: Partial<WorkerState> = { used: { cpuMillis: 8000, memoryMb: 100, accelerators: 0 } };

/** A job's only start is refused; the job comes again, is placed at the same agent, and the agent reconnects. */
function reportOldRefusalOfJobThatCameAgain(t: ExecutionContext, endFirst: (harness: Harness) => void) {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	const withdraw = harness.submit();
	const [refused] = harness.getStartedRuns(1);
	const refusal: TaskEndReport = { ...refused!, end: 'refused', reason: 'noRoom' };
	harness.report(1, { ends: [refusal] }, full);
	endFirst(harness);
	withdraw();
	harness.outcomes.length = 0;
	harness.report(1);
	harness.submit();
	const [, held] = harness.getStartedRuns(1);
	t.is(held?.run, refused?.run);
	harness.connect(2, 'agent-1');
	harness.report(2, { ends: [refusal], heldRuns: [held!] }, full);
	return { harness, held: held! };
}

// Guards against a double run: the refusal of an earlier attempt ends the run of the next one.
test('a refusal that an agent reports again does not end the run of a job that has come again', (t) => {
	const { harness, held } = reportOldRefusalOfJobThatCameAgain(t, () => undefined);
	harness.connect(3, 'agent-2');
	harness.report(3);
	t.deepEqual([...harness.getStartedRuns(2), ...harness.getStartedRuns(3)], []);
	t.deepEqual(harness.getStoppedRuns(2), []);
	harness.reportEnd(2, { ...held, end: 'done' });
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }]);
});

// Guards against an untrue refusal: a job that has run is rejected, since its run counts as refused.
test('a job that came again is not rejected as one that has not run, although its first start was refused', (t) => {
	const { harness } = reportOldRefusalOfJobThatCameAgain(t, (first) => {
		first.advance(400);
		t.like(first.outcomes[0], { kind: 'rejected' });
	});
	harness.advance(4990);
	t.deepEqual(harness.outcomes, [{ kind: 'abandoned' }]);
});

// Guards against a run that is taken for the next start of the same number, and against one that begins beside it.
test('a run of an earlier attempt of a job is stopped when its agent reconnects, and the task starts once it has ended', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	const withdraw = harness.submit();
	const [earlier] = harness.getStartedRuns(1);
	withdraw();
	harness.submit();
	harness.core.handleAgentLost(1, 'reset', harness.nowMs);
	harness.connect(2, 'agent-1');
	harness.report(2, { heldRuns: [earlier!] });
	t.deepEqual(harness.getStoppedRuns(2), [earlier!]);
	t.is(harness.getStartedRuns(2).length, 0);
	harness.reportEnd(2, { ...earlier!, end: 'done' });
	t.like(harness.getStartedRuns(2), [{ run: earlier!.run, startId: 2 }]);
	t.deepEqual(harness.outcomes, []);
});

// Guards against a task that waits until its job's deadline: the entry hadn't noticed the loss of the old connection.
test('a start that was lost with a connection is sent again when a new connection replaces it', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	harness.submit();
	harness.connect(2, 'agent-1');
	harness.report(2, { heldRuns: [] });
	t.is(harness.getStartedRuns(2).length, 1);
	harness.core.handleAgentLost(1, 'closed', harness.nowMs);
	harness.reportEnd(2, { ...harness.getStartedRuns(2)[0]!, end: 'done' });
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }]);
});

// Guards against an untrue refusal: an agent that has no room may have had an earlier run of the task.
test('a job of which an agent without room knows an earlier run is abandoned, not rejected', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	harness.submit();
	const [run] = harness.getStartedRuns(1);
	harness.report(1, { ends: [{ ...run!, end: 'refused', reason: 'noRoom', knownRun: 3 }] }, full);
	harness.advance(4990);
	t.deepEqual(harness.outcomes, [{ kind: 'abandoned' }]);
});

// Guards against an untrue refusal: the job's earlier attempt had run, and its caller had left.
test('a job that comes again after a task may have run is abandoned where it would be rejected', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1);
	const withdraw = harness.submit();
	withdraw();
	harness.report(1, {}, full);
	harness.submit();
	harness.advance(400);
	t.deepEqual(harness.outcomes, [{ kind: 'abandoned' }]);
	harness.submit({ waitedMs: 350 });
	t.deepEqual(harness.outcomes.slice(1), [{ kind: 'abandoned' }]);
});

// Guards against a cancelled job that runs when its request comes again.
test('a cancelled job is answered as cancelled, then and when it comes again, and is not started again', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first] = findStartedConnections(t, harness);
	harness.core.cancel('job-1', 'asked', harness.nowMs);
	t.is(harness.getStoppedRuns(first).length, 1);
	t.is(harness.core.getJobState('job-1'), 'cancelled');
	harness.reportEnd(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'stopped' });
	harness.advance(30_000);
	harness.submit();
	t.deepEqual(harness.outcomes, [{ kind: 'cancelled' }, { kind: 'cancelled' }]);
	t.is(harness.getStartedRuns(1).length + harness.getStartedRuns(2).length, 1);
});

test('a job that was cancelled at another entry is not started, whether it was waiting or comes later', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, full);
	harness.submit();
	harness.core.handleCancelledJobs(
		[
			{ jobId: 'job-1', agoMs: 3000 },
			{ jobId: 'job-2', agoMs: 100 },
		],
		harness.nowMs,
	);
	harness.report(1);
	harness.submit({ jobId: 'job-2' });
	t.deepEqual(harness.outcomes, [{ kind: 'cancelled' }, { kind: 'cancelled' }]);
	t.deepEqual(harness.getStartedRuns(1), []);
	t.is(harness.core.getJobState('job-2'), undefined);
});

test('a job that is done keeps its outcome when it is cancelled afterwards', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit();
	const [first] = findStartedConnections(t, harness);
	harness.reportEnd(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'done' });
	harness.core.cancel('job-1', 'asked', harness.nowMs);
	harness.submit();
	t.deepEqual(harness.outcomes, [{ kind: 'completed' }, { kind: 'completed' }]);
	t.is(harness.core.getJobState('job-1'), 'completed');
});

test('a job that comes again after its caller has left runs', (t) => {
	const harness = createHarnessWithTwoAgents();
	const disconnectCaller = harness.submit();
	const [first] = findStartedConnections(t, harness);
	disconnectCaller();
	harness.reportEnd(first, { jobId: 'job-1', taskIndex: 0, run: 1, end: 'stopped' });
	harness.submit();
	t.is(harness.getStartedRuns(1).length + harness.getStartedRuns(2).length, 2);
	t.deepEqual(harness.outcomes, []);
});

test('a job that comes again after it was rejected is rejected again, since none of its tasks has run', (t) => {
	const harness = new Harness();
	harness.connect(1, 'agent-1');
	harness.report(1, {}, full);
	harness.submit();
	harness.advance(400);
	harness.submit({ waitedMs: 350 });
	t.is(harness.outcomes.length, 2);
	t.true(harness.outcomes.every(({ kind }) => kind === 'rejected'));
});

// Guards against a job that is given up for a crash that its present run was not part of.
test('a lost run is not taken for the run of the same number that an earlier crash at another agent has ended', (t) => {
	const harness = createHarnessWithTwoAgents();
	const run = { jobId: 'job-1', taskIndex: 0, run: 1, route: 'route', ageMs: 10, wasRunning: true };
	const crash = { workerKey: 'w-9/1', agentId: 'agent-9', pool: 'pool', agoMs: 100, runs: [run] };
	// A second crash confines the route.
	const other = { ...crash, workerKey: 'w-8/1', agoMs: 400, runs: [{ ...run, jobId: 'other' }] };
	harness.core.handleCrashes([other, crash], harness.nowMs);
	harness.submit();
	harness.advance(500);
	const [first] = findStartedConnections(t, harness);
	harness.core.handleAgentLost(first, 'silent', harness.nowMs);
	harness.advance(orphanLifetimeMs);
	t.deepEqual(harness.outcomes, []);
	t.is(harness.core.getJobState('job-1'), 'running');
});
