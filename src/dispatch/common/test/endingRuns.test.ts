/** Tasks wait for the ends of their earlier starts, also of those of which the entry has let go. */

import test from 'ava';
import { createHarnessWithTwoAgents, findStartedConnections, orphanLifetimeMs } from './dispatchHarness.js';

const first = { jobId: 'job-1', taskIndex: 0, run: 1, startId: 1 };

/** Returns an entry that was left by the caller of a job, which comes again at once. */
function createRepeatedJob(t: Parameters<typeof findStartedConnections>[0]): {
	readonly harness: ReturnType<typeof createHarnessWithTwoAgents>;
	/** Connection on which the earlier start and its stop were sent. */
	readonly connectionId: number;
	/** Returns the number of starts since then. */
	readonly countStarts: () => number;
} {
	const harness = createHarnessWithTwoAgents();
	const disconnectCaller = harness.submit();
	const [connectionId] = findStartedConnections(t, harness);
	disconnectCaller();
	harness.submit();
	const countStarts = (): number => {
		const counts = [1, 2, 3].map((each) => harness.getStartedRuns(each).length);
		return counts.reduce((sum, count) => sum + count, 0) - 1;
	};
	return { harness, connectionId, countStarts };
}

// Guards against a start elsewhere while the earlier start of the job, whose caller had left, is being stopped.
test('a task of a job that comes again starts only when its agent has reported the end of the earlier start', (t) => {
	const { harness, connectionId, countStarts } = createRepeatedJob(t);
	t.deepEqual(harness.getStoppedRuns(connectionId), [first]);
	harness.advance(100);
	t.is(countStarts(), 0);
	harness.reportEnd(3 - connectionId, { ...first, end: 'stopped' });
	t.is(countStarts(), 0, 'the end of a start of another agent');
	harness.reportEnd(connectionId, { ...first, end: 'stopped' });
	t.is(countStarts(), 1);
	t.deepEqual(harness.outcomes, []);
});

test('a task of a job that comes again waits as long as a lost agent may go on with the earlier start', (t) => {
	const { harness, connectionId, countStarts } = createRepeatedJob(t);
	harness.core.handleAgentLost(connectionId, 'silent', harness.nowMs);
	harness.advance(orphanLifetimeMs - 1);
	t.is(countStarts(), 0);
	harness.submit();
	harness.advance(1);
	t.is(countStarts(), 1);
});

test('a task of a job that was given up while its agent was lost waits as long when the job comes again', (t) => {
	const harness = createHarnessWithTwoAgents();
	const disconnectCaller = harness.submit({ objectiveMs: 5000 });
	const [lost, other] = findStartedConnections(t, harness);
	harness.core.handleAgentLost(lost, 'silent', harness.nowMs);
	harness.advance(500);
	harness.connect(3, `agent-${lost}`, 'life-2');
	disconnectCaller();
	harness.submit({ objectiveMs: 5000 });
	harness.advance(orphanLifetimeMs - 501);
	t.is(harness.getStartedRuns(other).length, 0);
	harness.advance(1);
	t.is(harness.getStartedRuns(other).length, 1);
});

test('a task of a job that comes again starts when a restarted agent reports its first state, not earlier', (t) => {
	const { harness, connectionId, countStarts } = createRepeatedJob(t);
	harness.core.handleAgentLost(connectionId, 'killed', harness.nowMs);
	harness.connect(3, `agent-${connectionId}`, 'life-2');
	harness.core.handleReport(3, { kind: 'agentReport', handledSequence: 0, ends: [], heldRuns: [] }, 0);
	harness.advance(10);
	t.is(countStarts(), 0, 'no start before the first state');
	harness.report(3, { heldRuns: [] });
	t.is(countStarts(), 1);
});

test('a task of a job that comes again starts when its agent has connected again without the earlier start', (t) => {
	const { harness, connectionId, countStarts } = createRepeatedJob(t);
	harness.core.handleAgentLost(connectionId, 'reset', harness.nowMs);
	harness.connect(3, `agent-${connectionId}`);
	harness.report(3, { heldRuns: [] });
	t.is(countStarts(), 1);
});

test('a task of a job that comes again waits when its agent has connected again and still has the earlier start', (t) => {
	const { harness, connectionId, countStarts } = createRepeatedJob(t);
	harness.core.handleAgentLost(connectionId, 'reset', harness.nowMs);
	harness.connect(3, `agent-${connectionId}`);
	harness.report(3, { heldRuns: [first] });
	harness.advance(200);
	t.is(countStarts(), 0);
	t.deepEqual(harness.getStoppedRuns(3), [first]);
	harness.reportEnd(3, { ...first, end: 'stopped' });
	t.is(countStarts(), 1);
});

// Guards against a stop of an earlier start and the next start of its task in one step.
test('a task whose last start was lost waits for the end of an earlier start that its agent holds', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit({ objectiveMs: 5000 });
	const [connectionId] = findStartedConnections(t, harness);
	harness.reportEnd(connectionId, { ...first, end: 'refused', reason: 'noRoom' });
	const second = [1, 2].find((each) => harness.getStartedRuns(each).at(-1)?.startId === 2)!;
	const startedBefore = [...harness.getStartedRuns(1), ...harness.getStartedRuns(2)].length;
	harness.core.handleAgentLost(second, 'reset', harness.nowMs);
	harness.connect(3, `agent-${second}`);
	harness.report(3, { heldRuns: [first] });
	harness.advance(200);
	const countStarts = (): number =>
		[1, 2, 3].flatMap((each) => harness.getStartedRuns(each)).length - startedBefore;
	t.is(countStarts(), 0);
	t.deepEqual(harness.getStoppedRuns(3), [first]);
	harness.reportEnd(3, { ...first, end: 'stopped' });
	t.is(countStarts(), 1);
});

test('a start that was lost is sent again at once when its agent holds no earlier one', (t) => {
	const harness = createHarnessWithTwoAgents();
	harness.submit({ objectiveMs: 5000 });
	const [connectionId] = findStartedConnections(t, harness);
	harness.core.handleAgentLost(connectionId, 'reset', harness.nowMs);
	harness.connect(3, `agent-${connectionId}`);
	harness.report(3, { heldRuns: [] });
	t.is([1, 2, 3].flatMap((each) => harness.getStartedRuns(each)).length, 2);
});

for (const isInDoubt of [false, true]) {
	const where = isInDoubt ? 'an agent that connects again' : 'an agent';
	test(`a job that was given up when ${where} reported its run as lost starts at once when it comes again`, (t) => {
		const harness = createHarnessWithTwoAgents();
		const countStarts = (): number => [1, 2, 3].flatMap((each) => harness.getStartedRuns(each)).length;
		harness.submit({ objectiveMs: 5000 });
		for (let run = 1; run <= 3; run += 1) {
			t.is(countStarts(), run);
			const connectionId = [1, 2, 3].find((each) => harness.getStartedRuns(each).at(-1)?.run === run)!;
			const lost = { ...first, run, startId: run, end: 'lost' } as const;
			if (isInDoubt && run === 3) {
				harness.core.handleAgentLost(connectionId, 'reset', harness.nowMs);
				harness.connect(3, `agent-${connectionId}`);
				harness.report(3, { ends: [lost], heldRuns: [] });
			} else {
				harness.reportEnd(connectionId, lost);
			}
		}
		t.deepEqual(harness.outcomes, [{ kind: 'abandoned' }]);
		harness.submit({ objectiveMs: 5000 });
		t.is(countStarts(), 4);
	});
}
