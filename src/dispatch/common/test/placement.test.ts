import test from 'ava';
import { SeededRandom } from '../../../base/common/random.js';
import { noNeeds, type WorkerState } from '../dispatchMessages.js';
import { chooseWorker, type PlacementRequest, type WorkerView } from '../placement.js';
import { createHealthRecord } from '../workerHealth.js';

const request: PlacementRequest = {
	pool: 'p',
	needs: { cpuMillis: 3000, memoryMb: 64, accelerators: 0 },
	estimateMs: 100,
	awayFactor: 1.5,
	isCapacityEnforced: true,
	reservedShare: 0,
	excludedAgentIds: new Set(),
};

function createWorker(agentId: string, slots: number, state: Partial<WorkerState> = {}): WorkerView {
	return {
		agentId,
		health: createHealthRecord(),
		unreportedNeeds: noNeeds,
		runCount: 0,
		state: {
			workerId: agentId,
			dataCentre: 'a',
			pool: 'p',
			labels: [],
			capacity: { cpuMillis: 3000 * slots, memoryMb: 65_536, accelerators: 0 },
			isCapacityGuessed: false,
			used: noNeeds,
			isAccepting: true,
			speed: 1,
			failedEnds: 0,
			doneEnds: 0,
			failureStreak: 0,
			laggards: [],
			...state,
		},
	};
}

function measureShares(
	workers: readonly WorkerView[],
	placementRequest = request,
): ReadonlyMap<string, number> {
	const random = new SeededRandom(1);
	const counts = new Map<string, number>();
	for (let choice = 0; choice < 2000; choice += 1) {
		const agentId = chooseWorker(workers, placementRequest, () => random.next())?.agentId ?? 'none';
		counts.set(agentId, (counts.get(agentId) ?? 0) + 1);
	}
	return new Map([...counts].map(([agentId, count]) => [agentId, count / 2000]));
}

test('workers of different healthy speeds get equal shares, so that entries don’t all choose the fastest', (t) => {
	const counts = measureShares([
		createWorker('fast', 3, { speed: 1.25 }),
		createWorker('slow', 3, { speed: 0.8 }),
	]);
	t.true(Math.abs((counts.get('slow') ?? 0) - 0.5) < 0.05);
});

test('a worker with more free slots gets more tasks, in proportion to the square', (t) => {
	const counts = measureShares([createWorker('wide', 6), createWorker('narrow', 2)]);
	t.true(Math.abs((counts.get('wide') ?? 0) - 0.9) < 0.05);
});

test('a slow worker gets a task only when no other worker has room', (t) => {
	const slow = createWorker('slow', 9, { speed: 0.3 });
	t.is(measureShares([slow, createWorker('sound', 1)]).get('slow'), undefined);
	t.is(measureShares([slow, createWorker('full', 0)]).get('slow'), 1);
});

test('a task runs near its data while there is room, and elsewhere when there is none', (t) => {
	const nearDataRequest = { ...request, preferredLabel: 'rack-1' };
	const near = createWorker('near', 1, { labels: ['rack-1'] });
	t.is(
		measureShares([near, createWorker('away', 9, { labels: ['rack-2'] })], nearDataRequest).get('near'),
		1,
	);
	t.is(
		measureShares(
			[createWorker('full', 0, { labels: ['rack-1'] }), createWorker('away', 9)],
			nearDataRequest,
		).get('away'),
		1,
	);
});

test('a task leaves the reserve for urgent tasks free, and an urgent one uses it', (t) => {
	const worker = createWorker('w', 10, { used: { cpuMillis: 27_000, memoryMb: 0, accelerators: 0 } });
	const lessUrgent = { ...request, reservedShare: 0.03 };
	t.is(
		chooseWorker([worker], request, () => 0.5),
		worker,
	);
	t.is(
		chooseWorker([worker], lessUrgent, () => 0.5),
		undefined,
	);
});

test('a task that needs a whole worker is placed although there is a reserve', (t) => {
	const worker = createWorker('w', 10);
	const needs = { cpuMillis: 30_000, memoryMb: 64, accelerators: 0 };
	t.is(
		chooseWorker([worker], { ...request, needs, reservedShare: 0.03 }, () => 0.5),
		worker,
	);
});
