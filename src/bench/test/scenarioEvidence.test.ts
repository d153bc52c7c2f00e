import test from 'ava';
import type { JournalEventName } from '../../standins/common/journal.js';
import { findEvidence, type EvidenceInput, type UpstreamEvent } from '../common/scenarioEvidence.js';

/** Events of one task, 100 ms apart, after its start. */
function task(token: string, upstream: string, startMs: number, end?: JournalEventName): UpstreamEvent[] {
	const common = { submissionId: token, taskIndex: 0, upstream, upstreamId: upstream, route: 'r', team: 't' };
	const events: UpstreamEvent[] = [
		{ ...common, timeMs: startMs, event: 'start' },
		{ ...common, timeMs: startMs, event: 'payload', token },
	];
	return end === undefined ? events : [...events, { ...common, timeMs: startMs + 100, event: end }];
}

const calm: EvidenceInput = {
	events: [],
	jobs: [],
	killedUpstreams: new Set(),
	ejections: 0,
	takenBack: 0,
	cancelFrames: 0,
	cancelItems: 0,
	learnedRunMs: 0,
};

test('a failed job needs a task that failed, or that can be lost with a killed worker', (t) => {
	const events = [
		...task('failed', 'a', 0, 'fail'),
		...task('lost', 'killed', 0),
		...task('whole', 'killed', 0, 'end'),
		...task('ended', 'a', 0, 'end'),
	];
	const jobs = [
		{ tokens: ['failed'], outcome: 'ranAndFailed' },
		{ tokens: ['ended', 'lost'], outcome: 'mayHaveRun' },
		{ tokens: ['whole', 'ended'], outcome: 'mayHaveRun' },
		{ tokens: ['neverStarted'], outcome: 'mayHaveRun' },
		{ tokens: ['ended'], outcome: 'complete' },
	] as const;
	const found = findEvidence({ ...calm, events, jobs, killedUpstreams: new Set(['killed']) });
	t.is(found.failuresWithoutCause, 2);
	t.is(found.trueRunMs, 100);
	const nobodyKilled = findEvidence({ ...calm, events, jobs });
	t.is(nobodyKilled.failuresWithoutCause, 3);
});

test('cancelled tasks are told apart, and a late start is seen', (t) => {
	const events = [
		...task('stopped', 'a', 900, 'stop'),
		...task('crossed', 'a', 1100, 'stop'),
		...task('late', 'a', 2000, 'end'),
	];
	const jobs = [
		{ tokens: ['stopped', 'crossed', 'late', 'vanished'], outcome: 'cancelled', cancelledAtMs: 1000 },
	] as const;
	t.deepEqual(findEvidence({ ...calm, events, jobs }).cancelled, {
		tasks: 4,
		neverStarted: 1,
		stopped: 2,
		startedLate: 1,
	});
});

test('the share of starts at the odd worker is told where there is one', (t) => {
	const events = [...task('1', 'a', 0, 'end'), ...task('2', 'odd', 0, 'fail')];
	t.is(findEvidence({ ...calm, events, oddUpstream: 'odd' }).oddWorkerStartShare, 0.5);
	t.is(findEvidence({ ...calm, events }).oddWorkerStartShare, undefined);
});
