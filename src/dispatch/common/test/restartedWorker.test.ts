import test from 'ava';
import type { HeldRunPhase } from '../heldRuns.js';
import { findRestartEffect } from '../restartedWorker.js';

const pollSentMs = 100;
const other = { jobId: 'job', taskIndex: 1, run: 1 };

function createRun(phase: HeldRunPhase, startedMs: number): Parameters<typeof findRestartEffect>[0] {
	return { jobId: 'job', taskIndex: 0, run: 2, phase, startedMs };
}

test('a run that the new life lists continues, whether it is at work or has ended', (t) => {
	for (const phase of ['starting', 'running', 'stopping'] as const) {
		const run = createRun(phase, 50);
		t.is(
			findRestartEffect(run, { running: [other, run], ended: [], areEndsComplete: true }, pollSentMs),
			'continues',
		);
		t.is(
			findRestartEffect(run, { running: [], ended: [run], areEndsComplete: true }, pollSentMs),
			'continues',
		);
	}
});

test('a run whose start was answered before the poll is lost if the new life does not list it', (t) => {
	const lists = { running: [other], ended: [], areEndsComplete: true };
	t.is(findRestartEffect(createRun('running', 50), lists, pollSentMs), 'lost');
});

test('a run is unclear while the new life lists another run of its task as running, or not all of its ends', (t) => {
	const earlierRun = { jobId: 'job', taskIndex: 0, run: 1 };
	const run = createRun('running', 50);
	const withOtherRun = { running: [other, earlierRun], ended: [], areEndsComplete: true };
	t.is(findRestartEffect(run, withOtherRun, pollSentMs), 'unclear');
	t.is(findRestartEffect(run, { running: [], ended: [], areEndsComplete: false }, pollSentMs), 'unclear');
});

test('a run whose start was answered after the poll, or not yet, is unclear', (t) => {
	const lists = { running: [], ended: [], areEndsComplete: true };
	t.is(findRestartEffect(createRun('running', 101), lists, pollSentMs), 'unclear');
	t.is(findRestartEffect(createRun('starting', 50), lists, pollSentMs), 'unclear');
	t.is(findRestartEffect(createRun('stopping', 50), lists, pollSentMs), 'unclear');
});
