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
	excluded: new Set(),
};

function worker(agentId: string, tasksOfRoom: number, state: Partial<WorkerState> = {}): WorkerView {
	return {
		agentId,
		health: createHealthRecord(),
		unseen: noNeeds,
		runCount: 0,
		state: {
			workerId: agentId,
			dataCentre: 'a',
			pool: 'p',
			labels: [],
			capacity: { cpuMillis: 3000 * tasksOfRoom, memoryMb: 65_536, accelerators: 0 },
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

function shares(workers: readonly WorkerView[], asked = request): ReadonlyMap<string, number> {
	const random = new SeededRandom(1);
	const counts = new Map<string, number>();
	for (let choice = 0; choice < 2000; choice += 1) {
		const agentId = chooseWorker(workers, asked, () => random.next())?.agentId ?? 'none';
		counts.set(agentId, (counts.get(agentId) ?? 0) + 1);
	}
	return new Map([...counts].map(([agentId, count]) => [agentId, count / 2000]));
}

test('workers of all sound speeds share the tasks, so that entries do not press to the fastest', (t) => {
	const counts = shares([worker('fast', 3, { speed: 1.25 }), worker('slow', 3, { speed: 0.8 })]);
	t.true(Math.abs((counts.get('slow') ?? 0) - 0.5) < 0.05);
});

test('more room draws more tasks', (t) => {
	const counts = shares([worker('wide', 6), worker('narrow', 2)]);
	t.true(Math.abs((counts.get('wide') ?? 0) - 0.9) < 0.05);
});

test('a worker that turned slow gets a task only when nothing else has room', (t) => {
	const slow = worker('slow', 9, { speed: 0.3 });
	t.is(shares([slow, worker('sound', 1)]).get('slow'), undefined);
	t.is(shares([slow, worker('full', 0)]).get('slow'), 1);
});

test('a task goes near its data while there is room, and elsewhere when there is none', (t) => {
	const asked = { ...request, preferredLabel: 'rack-1' };
	const near = worker('near', 1, { labels: ['rack-1'] });
	t.is(shares([near, worker('away', 9, { labels: ['rack-2'] })], asked).get('near'), 1);
	t.is(shares([worker('full', 0, { labels: ['rack-1'] }), worker('away', 9)], asked).get('away'), 1);
});
