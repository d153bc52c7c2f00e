import test from 'ava';
import { ManualClock } from '../../../base/common/clock.js';
import { noNeeds, type AgentReportMessage, type WorkerState } from '../../common/dispatchMessages.js';
import { EntryReports } from '../entryReports.js';

const idle: WorkerState = {
	workerId: 'w',
	dataCentre: 'a',
	pool: 'p',
	labels: [],
	capacity: { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 },
	isCapacityGuessed: false,
	used: noNeeds,
	isAccepting: true,
	speed: 1,
	pace: 1,
	failedEnds: 0,
	doneEnds: 20,
	failureStreak: 0,
	laggards: [],
};
const busy: WorkerState = { ...idle, used: { cpuMillis: 3000, memoryMb: 64, accelerators: 0 } };

function createReports(entries: number) {
	const sent: { readonly linkId: number; readonly message: AgentReportMessage }[] = [];
	const clock = new ManualClock();
	const source = {
		current: idle,
		state: () => source.current,
		heldRunsOf: () => [],
		send: (linkId: number, message: AgentReportMessage) => {
			sent.push({ linkId, message });
		},
	};
	const reports = new EntryReports(source, clock);
	for (let linkId = 1; linkId <= entries; linkId += 1) {
		reports.open(linkId, `entry-${linkId}/1`, []);
	}
	reports.flush();
	sent.length = 0;
	return { sent, clock, source, reports };
}

test('a state that changes no decision is not sent to every entry, one that does is', (t) => {
	const { sent, source, reports } = createReports(13);
	source.current = { ...idle, pace: 1.05, doneEnds: 19.5, speed: 1.01 };
	reports.flush();
	t.is(sent.length, 0);

	source.current = busy;
	reports.flush();
	t.is(sent.length, 13);
	reports.dispose();
});

test('what changes little is told after a while all the same', (t) => {
	const { sent, clock, source, reports } = createReports(2);
	source.current = { ...idle, doneEnds: 10 };
	clock.advance(250);
	reports.flush();
	t.is(sent.length, 2);
	reports.dispose();
});

test('an entry that heard a passing state with its end is told when the worker is back at the earlier one', async (t) => {
	const { sent, source, reports } = createReports(2);
	source.current = busy;
	reports.tell('entry-1/1', { jobId: 'j', taskIndex: 0, run: 1, end: 'done' });
	await new Promise((resolve) => setImmediate(resolve));
	t.deepEqual(
		sent.map(({ linkId }) => linkId),
		[1],
	);

	source.current = idle;
	reports.flush();
	t.deepEqual(
		sent.map(({ linkId, message }) => [linkId, message.state?.used.cpuMillis]),
		[
			[1, 3000],
			[1, 0],
		],
	);
	reports.dispose();
});

for (const [title, change] of [
	['a low pace', { pace: 0.5 }],
	['no pace any more', { pace: undefined }],
	['a failure', { failedEnds: 1, failureStreak: 1 }],
	['a worker that leaves', { isAccepting: false }],
	['a run that lags', { laggards: [{ jobId: 'j', taskIndex: 0, run: 1 }] }],
] as const) {
	test(`${title} is news`, (t) => {
		const { sent, source, reports } = createReports(1);
		source.current = { ...idle, ...change };
		reports.flush();
		t.is(sent.length, 1);
		reports.dispose();
	});
}
