import test from 'ava';
import type { Tables } from '../../declarations/common/tables.js';
import type { RouteUsage, TaskEnd } from '../../protocol/common/agentMessages.js';
import { noNeeds, type JobSubmission } from '../../protocol/common/jobs.js';
import type { EntryMember } from '../../protocol/common/keeperMessages.js';
import { EntryCore } from '../common/entryCore.js';
import { HomePolicy } from '../common/policies/homePolicy.js';
import type { EntryInput, EntryOutputs } from '../common/tickTypes.js';
import { testTables } from './fakeControlPlane.js';
import { submissionOf } from './simulatedSystem.js';

/** One home and some workers, driven by hand. */
class Bench {
	nowMs = 10_000;
	readonly started: { worker: number; submissionId: string; taskIndex: number; team: string }[] = [];
	readonly startAgesMs: (number | undefined)[] = [];
	readonly answers: EntryOutputs['answers'] = [];
	private readonly _core = new EntryCore(
		{
			processId: 'entry-1',
			incarnation: 'run-1',
			dataCentre: 'dc-1',
			freshnessLimitMs: 3000,
			maxOpenJobs: 1000,
			keyRetentionMs: 600_000,
		},
		new HomePolicy(),
		1,
	);

	private readonly _member: EntryMember = {
		processId: 'entry-1',
		incarnation: 'run-1',
		peerAddress: '',
		dataCentre: 'dc-1',
		isDraining: false,
	};

	constructor(workers: number, slots: number, tables: Tables = testTables, dataCentres: string[] = []) {
		this.applyTables(tables);
		for (let worker = 0; worker < workers; worker += 1) {
			this.tick([
				{
					kind: 'peerOpened',
					sessionId: worker,
					peer: { role: 'agent', processId: `agent-${worker}`, incarnation: 'a' },
				},
				{
					kind: 'agentMessage',
					sessionId: worker,
					message: {
						kind: 'agentState',
						revision: 1,
						dataCentre: dataCentres[worker] ?? 'dc-1',
						rack: 'rack-1',
						offer: {
							pool: 'ledger',
							slots,
							connections: 64,
							cores: 8,
							memoryBytes: 2 ** 30,
							accelerators: 0,
						},
						isLeaving: false,
						epoch: 0,
						knownTasks: [],
					},
				},
			]);
		}
	}

	applyTables(tables: Tables): void {
		const other = { ...this._member, processId: 'entry-2', dataCentre: 'dc-2', isDraining: true };
		const directory = { epoch: 1, entries: [this._member, other] };
		this.tick([{ kind: 'controlState', state: { tables, directory } }]);
	}

	tick(inputs: EntryInput[], tablesAgeMs = 0): EntryOutputs {
		const outputs = this._core.tick(inputs, { nowMs: this.nowMs, tablesAgeMs });
		for (const { sessionId, message } of outputs.frames) {
			if (message.kind !== 'startTasks') {
				continue;
			}
			this.startAgesMs.push(message.ageMs);
			for (const { submissionId, team, tasks } of message.batches) {
				for (const { taskIndex } of tasks) {
					this.started.push({ worker: sessionId, submissionId, taskIndex, team });
				}
			}
		}
		this.answers.push(...outputs.answers);
		return outputs;
	}

	submit(submission: JobSubmission, tablesAgeMs = 0): void {
		this.tick(
			[{ kind: 'submit', readerId: 1, jobId: `job-${submission.submissionId}`, submission }],
			tablesAgeMs,
		);
	}

	/** Tells what a worker measured of the tasks of a route. */
	measure(worker: number, usage: RouteUsage): void {
		const message = { kind: 'taskOutcomes', revision: 1, outcomes: [], usage: [usage] } as const;
		this.tick([{ kind: 'agentMessage', sessionId: worker, message }]);
	}

	/** Ends every task that was started, in order. */
	endAll(endOf: (worker: number) => TaskEnd, tablesAgeMs = 0): void {
		for (const { worker, submissionId, taskIndex } of this.started.splice(0)) {
			const outcomes = [{ submissionId, taskIndex, end: endOf(worker) }];
			const message = { kind: 'taskOutcomes', revision: 1, outcomes } as const;
			this.tick([{ kind: 'agentMessage', sessionId: worker, message }], tablesAgeMs);
		}
	}
}

const done: TaskEnd = { state: 'done', resultJson: '1', runMs: 500 };
const failed: TaskEnd = { state: 'failed', message: 'It failed.', runMs: 1 };

test('a worker that fails everything is ejected, and probed back with a single task', (t) => {
	const bench = new Bench(3, 1);
	const endOf = (worker: number): TaskEnd => (worker === 0 ? failed : done);
	for (let job = 0; job < 40; job += 1) {
		bench.submit(submissionOf(`s${job}`, 1));
		bench.submit(submissionOf(`t${job}`, 1));
		bench.submit(submissionOf(`u${job}`, 1));
		bench.endAll(endOf);
	}
	bench.submit(submissionOf('after', 3));
	t.false(bench.started.some(({ worker }) => worker === 0));
	bench.endAll(() => done);
	bench.endAll(() => done);
	bench.nowMs += 1500;
	bench.submit(submissionOf('probe', 5));
	t.is(bench.started.filter(({ worker }) => worker === 0).length, 1);
});

test('jobs that fail on every worker eject none', (t) => {
	const bench = new Bench(3, 1);
	for (let job = 0; job < 60; job += 1) {
		bench.submit(submissionOf(`s${job}`, 3));
		bench.endAll(() => failed);
	}
	bench.submit(submissionOf('after', 3));
	t.deepEqual(bench.started.map(({ worker }) => worker).sort(), [0, 1, 2]);
});

test('a flood of one team does not starve another', (t) => {
	const bench = new Bench(1, 2);
	bench.submit(submissionOf('flood', 120));
	bench.submit(submissionOf('small', 4, { team: 'estates' }));
	let floodStarts = bench.started.length;
	// Beyond its first round and a lead of one round of slots, the flooding team gets one start for each of the other's.
	for (let round = 0; round < 6; round += 1) {
		bench.endAll(() => done);
		floodStarts += bench.started.filter(({ team }) => team === 'galleries').length;
	}
	t.is(bench.answers.length, 1);
	t.like(bench.answers[0], { answer: { status: 'complete' } });
	t.true(floodStarts <= 10, `${floodStarts} starts of the flooding team`);
});

test('an entry that an operator takes back from a drain serves again', (t) => {
	const bench = new Bench(1, 2);
	bench.applyTables({ ...testTables, revision: 2, drains: [{ name: 'entry-1' }] });
	bench.submit(submissionOf('drained', 1));
	t.like(bench.answers.at(-1), { answer: { status: 'notRun', reason: 'draining' } });
	t.regex(JSON.stringify(bench.answers.at(-1)), /drained by an operator/);
	bench.applyTables({ ...testTables, revision: 3, drains: [] });
	bench.submit(submissionOf('served', 1));
	t.is(bench.started.length, 1);
});

test('a quota bounds the tasks of a team at the workers', (t) => {
	const teams = [{ name: 'galleries', maxRunningTasks: 3, weight: 1 }];
	const bench = new Bench(2, 8, { ...testTables, teams });
	bench.submit(submissionOf('s', 10));
	t.is(bench.started.length, 3);
});

test('stale tables, a hopeless need and a wait beyond the deadline are refused, and nothing starts', (t) => {
	const bench = new Bench(1, 1);
	bench.submit(submissionOf('stale', 1), 3001);
	bench.submit(submissionOf('large', 1, { needs: { ...noNeeds, cores: 9 } }));
	bench.nowMs += 3500;
	bench.tick([]);
	t.is(bench.started.length, 0);
	bench.submit(submissionOf('first', 1));
	bench.endAll(() => done);
	bench.submit(submissionOf('long', 20));
	bench.submit(submissionOf('late', 1, { remainingMs: 1000 }));
	const reasons = bench.answers.flatMap(({ answer }) => (answer.status === 'notRun' ? [answer.reason] : []));
	t.deepEqual(reasons, ['staleTables', 'neverFits', 'deadlineTooShort']);
});

test('starts tell the age of the tables, a finite number also when they were never confirmed', (t) => {
	const bench = new Bench(1, 1);
	bench.submit(submissionOf('job', 3));
	bench.endAll(() => done, 1234.2);
	bench.endAll(() => done, Infinity);
	t.deepEqual(bench.startAgesMs, [0, 1235, 86_400_000]);
});

test('a cut-off home does not say that a job has not run which an earlier home may have started', (t) => {
	const bench = new Bench(1, 1);
	const jobs = [
		submissionOf('fresh', 1, { isKeyed: true }),
		submissionOf('begun', 1, { isKeyed: true, mayHaveStarted: true }),
	];
	const peer = { role: 'entry', processId: 'entry-2', incarnation: 'run-1' } as const;
	const message = { kind: 'relayJobs', revision: 1, epoch: 1, jobs } as const;
	const inputs: EntryInput[] = [
		{ kind: 'peerOpened', sessionId: 99, peer },
		{ kind: 'entryMessage', sessionId: 99, message },
	];
	const { frames } = bench.tick(inputs, 3001);
	const answers = frames.flatMap((frame) =>
		frame.message.kind === 'relayAnswers' ? frame.message.answers : [],
	);
	t.like(answers[0], { submissionId: 'fresh', answer: { status: 'notRun', reason: 'staleTables' } });
	t.like(answers[1], { submissionId: 'begun', answer: { status: 'failed', outcome: 'mayHaveRun' } });
});

test('a refused job leaves no gap in the count of the queue: what waits is placed', (t) => {
	const bench = new Bench(1, 1);
	bench.submit(submissionOf('first', 1));
	bench.endAll(() => done);
	bench.submit(submissionOf('long', 5));
	bench.submit(submissionOf('late', 4, { remainingMs: 1000 }));
	t.like(bench.answers.at(-1), { answer: { status: 'notRun', reason: 'deadlineTooShort' } });
	for (let round = 0; round < 5; round += 1) {
		bench.endAll(() => done);
	}
	t.like(bench.answers.at(-1), { answer: { status: 'complete' } });
});

test('measured use takes the place of declared sizes, so that slots are not left idle', (t) => {
	const bench = new Bench(1, 4);
	const needs = { cores: 8, memoryBytes: 2 ** 30, accelerators: 0 };
	bench.submit(submissionOf('declared', 4, { needs }));
	t.is(bench.started.length, 1, 'Until something was measured, declared sizes bound what runs together.');
	bench.endAll(() => done);
	bench.endAll(() => done);
	bench.endAll(() => done);
	bench.endAll(() => done);
	bench.measure(0, { route: 'lookup', cores: 1, memoryBytes: 1000 });
	bench.submit(submissionOf('measured', 4, { needs }));
	t.is(bench.started.length, 4);
	bench.endAll(() => done);
	bench.submit(submissionOf('tooLarge', 1, { needs: { ...needs, cores: 1000 } }));
	t.is(bench.started.length, 0, 'A job may be unlike the others: what no worker has is not started.');
	const accelerated = { ...needs, accelerators: 1 };
	bench.submit(submissionOf('accelerated', 1, { needs: accelerated }));
	t.is(bench.started.length, 0, 'Accelerators are not measured.');
});

test('measured use that exceeds what was declared holds starts back', (t) => {
	const bench = new Bench(1, 4);
	bench.measure(0, { route: 'lookup', cores: 4, memoryBytes: 1000 });
	bench.submit(submissionOf('small', 4));
	t.is(bench.started.length, 2);
});

test('a relayed task runs beside its reader, others beside the home, and elsewhere when these are full', (t) => {
	const bench = new Bench(3, 2, testTables, ['dc-3', 'dc-2', 'dc-1']);
	const peer = { role: 'entry', processId: 'entry-2', incarnation: 'run-1' } as const;
	const relayOf = (jobs: JobSubmission[]): EntryInput => {
		const message = { kind: 'relayJobs', revision: 1, epoch: 1, jobs } as const;
		return { kind: 'entryMessage', sessionId: 99, message };
	};
	bench.tick([{ kind: 'peerOpened', sessionId: 99, peer }]);
	bench.tick([relayOf([submissionOf('relayed', 1)])]);
	bench.tick([relayOf([submissionOf('several', 2)])]);
	bench.tick([relayOf([submissionOf('relayedAgain', 1)])]);
	bench.tick([relayOf([submissionOf('relayedElsewhere', 1)])]);
	t.deepEqual(
		bench.started.map(({ submissionId, worker }) => [submissionId, worker]),
		[
			['relayed', 1],
			['several', 2],
			['several', 2],
			['relayedAgain', 1],
			['relayedElsewhere', 0],
		],
	);
});
