import test from 'ava';
import { submissionOf, SimulatedSystem } from './simulatedSystem.js';

/** Workers of one slot; tasks run for the given times, in the order of their starts. */
function systemOf(agents: number, runTimesMs: number[]): SimulatedSystem {
	const system = new SimulatedSystem({
		seed: 1,
		entries: 3,
		agents,
		slots: 1,
		oneWayMs: 1,
		jitterMs: 0,
		runMs: () => runTimesMs.shift() ?? 100,
	});
	system.runUntil(2000);
	return system;
}

function keyed(submissionId: string, taskCount: number) {
	return submissionOf(submissionId, taskCount, { isKeyed: true, remainingMs: 10_000 });
}

test('a home asks again about a job that the earlier home went on with, once that one is lost', (t) => {
	const system = systemOf(3, [3000, 1000, 6000, 6000]);
	const earlier = system.home;
	const earlierIndex = system.entries.indexOf(earlier);
	system.submit(earlierIndex, submissionOf('other', 2));
	system.runUntil(2100);
	system.submit(earlierIndex, keyed('job', 2));
	system.runUntil(2200);
	system.drainEntry(earlierIndex);
	system.runUntil(2900);
	const { home } = system;
	t.not(home, earlier);
	t.false(system.starts.has('job/1'), 'No worker of the other job knows this one when the home changes.');
	system.runUntil(3500);
	t.true(system.starts.has('job/1'), 'The earlier home goes on with the job.');
	system.loseEntry(earlier);
	system.runUntil(5500);
	system.submit(system.entries.indexOf(home), keyed('job', 2));
	system.runUntil(14_000);
	t.deepEqual(system.doubleStarts, []);
	t.deepEqual(
		system.answers.map(({ answer }) => answer.status),
		['complete'],
		'The reader of the other job was at the entry that was lost.',
	);
});

test('after a cold start a worker that was asked once and is lost fails no other keyed job', (t) => {
	const system = systemOf(2, []);
	const homeIndex = system.entries.indexOf(system.home);
	system.loseAgent('agent-0');
	system.runUntil(2500);
	system.submit(homeIndex, keyed('job', 2));
	system.runUntil(14_000);
	t.deepEqual(
		system.answers.map(({ answer }) => answer.status),
		['complete'],
	);
});
