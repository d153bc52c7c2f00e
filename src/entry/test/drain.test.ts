import test from 'ava';
import { SeededRandom } from '../../base/common/random.js';
import { submissionOf, SimulatedSystem } from './simulatedSystem.js';

/** Runs three entries under load and drains them one after another, without any other fault. */
function rollingDrain(seed: number): SimulatedSystem {
	const random = new SeededRandom(seed);
	const system = new SimulatedSystem({
		seed,
		entries: 3,
		agents: 3,
		slots: 4,
		oneWayMs: 1,
		jitterMs: 2,
		runMs: (own) => own.integer(20, 300),
	});
	let count = 0;
	for (let atMs = 2000; atMs < 20_000; atMs += random.exponential(120)) {
		count += 1;
		const kind = random.pick(['plain', 'keyed', 'once']);
		const submission = submissionOf(`s${count}`, random.integer(1, 12), {
			isKeyed: kind !== 'plain',
			repeatable: kind !== 'once',
			route: kind === 'once' ? 'excusal' : 'lookup',
			remainingMs: 10_000,
		});
		system.after(atMs, () => {
			// The balancer sends readers to entries that say that they are ready.
			const ready = system.entries.findIndex((entry) => entry.isAlive && !entry.isDraining);
			system.submit(ready, submission);
		});
	}
	for (const [index, atMs] of [4000, 9000, 14_000].entries()) {
		system.after(atMs, () => {
			system.drainEntry(index);
		});
	}
	system.runUntil(34_000);
	return system;
}

test('entries drained one after another cut off no request, of any kind', (t) => {
	for (let seed = 1; seed <= 20; seed += 1) {
		const system = rollingDrain(seed);
		const cut = system.answers.filter(({ answer }) => answer.status !== 'complete');
		t.deepEqual(
			cut.map(({ submission, answer }) => [submission.submissionId, answer]),
			[],
			`seed ${seed}`,
		);
		t.is(system.answers.length, system.submissions.size, `seed ${seed}`);
		t.deepEqual(system.doubleStarts, []);
	}
});
