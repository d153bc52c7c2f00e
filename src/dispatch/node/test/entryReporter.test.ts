import test from 'ava';
import { ManualClock } from '../../../base/common/clock.js';
import { noNeeds, type AgentReportMessage, type WorkerState } from '../../common/dispatchMessages.js';
import { EntryReporter } from '../entryReporter.js';

const idleState: WorkerState = {
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
const busyState: WorkerState = { ...idleState, used: { cpuMillis: 20_000, memoryMb: 640, accelerators: 0 } };

function createReporter(entryCount: number) {
	const sent: { readonly connectionId: number; readonly message: AgentReportMessage }[] = [];
	const clock = new ManualClock();
	const source = {
		current: idleState,
		getWorkerState: () => source.current,
		getHeldRuns: () => [],
		send: (connectionId: number, message: AgentReportMessage) => {
			sent.push({ connectionId, message });
		},
	};
	const reporter = new EntryReporter(source, clock);
	for (let connectionId = 1; connectionId <= entryCount; connectionId += 1) {
		reporter.addConnection(connectionId, `entry-${connectionId}/1`, []);
	}
	reporter.flush();
	sent.length = 0;
	return { sent, clock, source, reporter };
}

test('an insignificant state change is not sent, and a significant one is sent to every entry', (t) => {
	const { sent, source, reporter } = createReporter(13);
	source.current = { ...idleState, pace: 1.05, doneEnds: 19.5, speed: 1.01 };
	reporter.flush();
	t.is(sent.length, 0);

	source.current = busyState;
	reporter.flush();
	t.is(sent.length, 13);
	reporter.dispose();
});

test('a change of the used capacity is significant in proportion to what remains free', (t) => {
	const { sent, source, reporter } = createReporter(1);
	const used = (cpuMillis: number): WorkerState => ({ ...idleState, used: { ...noNeeds, cpuMillis } });
	source.current = used(3000);
	reporter.flush();
	t.is(sent.length, 0);
	source.current = used(27_000);
	reporter.flush();
	t.is(sent.length, 1);
	source.current = used(30_000);
	reporter.flush();
	t.is(sent.length, 2);
	source.current = used(32_000);
	reporter.flush();
	t.is(sent.length, 3);
	source.current = used(30_000);
	reporter.flush();
	t.is(sent.length, 4);
	reporter.dispose();
});

test('an insignificant state change is sent after the maximum report interval', (t) => {
	const { sent, clock, source, reporter } = createReporter(2);
	source.current = { ...idleState, doneEnds: 10 };
	clock.advance(250);
	reporter.flush();
	t.is(sent.length, 2);
	reporter.dispose();
});

test('an entry that received a temporary state together with an end receives the earlier state when the worker returns to it', async (t) => {
	const { sent, source, reporter } = createReporter(2);
	source.current = busyState;
	reporter.reportEnd('entry-1/1', { jobId: 'j', taskIndex: 0, run: 1, end: 'done' });
	await new Promise((resolve) => setImmediate(resolve));
	t.deepEqual(
		sent.map(({ connectionId }) => connectionId),
		[1],
	);

	source.current = idleState;
	reporter.flush();
	t.deepEqual(
		sent.map(({ connectionId, message }) => [connectionId, message.state?.used.cpuMillis]),
		[
			[1, 20_000],
			[1, 0],
		],
	);
	reporter.dispose();
});

for (const [title, change] of [
	['a low pace', { pace: 0.5 }],
	['a pace that became unknown', { pace: undefined }],
	['a failure', { failedEnds: 1, failureStreak: 1 }],
	['a worker that stops accepting', { isAccepting: false }],
	['a lagging run', { laggards: [{ jobId: 'j', taskIndex: 0, run: 1 }] }],
] as const) {
	test(`${title} is reported as a significant change`, (t) => {
		const { sent, source, reporter } = createReporter(1);
		source.current = { ...idleState, ...change };
		reporter.flush();
		t.is(sent.length, 1);
		reporter.dispose();
	});
}
