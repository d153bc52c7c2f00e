import test from 'ava';
import fc from 'fast-check';
import { noNetworkFaults, SimulatedGroup, type Faults } from './simulatedGroup.js';

type Action =
	| { kind: 'run'; rounds: number; faults: Faults }
	| { kind: 'calm'; rounds: number }
	| { kind: 'propose'; node: number; count: number }
	| { kind: 'proposeAll'; count: number }
	| { kind: 'crash'; node: number; keptWrites: number }
	| { kind: 'restart'; node: number }
	| { kind: 'loseDisk'; node: number }
	| { kind: 'change'; node: number; target: number; action: 'addLearner' | 'promote' | 'remove' }
	| { kind: 'snapshot'; node: number }
	| { kind: 'transfer'; node: number };

const node = fc.nat({ max: 4 });
const share = fc.constantFrom(0, 0, 0.1, 0.3);
const faults: fc.Arbitrary<Faults> = fc.record({
	drop: share,
	duplicate: share,
	delay: fc.constantFrom(0, 0, 0.3, 0.6),
	slowDisk: fc.constantFrom(0, 0, 0.5, 0.9),
	load: fc.constantFrom(0, 0.1, 0.5),
	cuts: fc.oneof(fc.constant(0), fc.nat({ max: 31 }), fc.nat({ max: 0x1fff })),
});

const action: fc.Arbitrary<Action> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({ kind: fc.constant('run'), rounds: fc.integer({ min: 10, max: 80 }), faults }),
	},
	{
		weight: 3,
		arbitrary: fc.record({ kind: fc.constant('calm'), rounds: fc.integer({ min: 10, max: 100 }) }),
	},
	{
		weight: 3,
		arbitrary: fc.record({ kind: fc.constant('propose'), node, count: fc.integer({ min: 1, max: 6 }) }),
	},
	{
		weight: 5,
		arbitrary: fc.record({ kind: fc.constant('proposeAll'), count: fc.integer({ min: 1, max: 6 }) }),
	},
	{ weight: 3, arbitrary: fc.record({ kind: fc.constant('crash'), node, keptWrites: fc.nat({ max: 3 }) }) },
	{ weight: 3, arbitrary: fc.record({ kind: fc.constant('restart'), node }) },
	{ weight: 3, arbitrary: fc.record({ kind: fc.constant('loseDisk'), node }) },
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('change'),
			node,
			target: node,
			action: fc.constantFrom('addLearner', 'promote', 'remove'),
		}),
	},
	{ weight: 2, arbitrary: fc.record({ kind: fc.constant('snapshot'), node }) },
	{ weight: 1, arbitrary: fc.record({ kind: fc.constant('transfer'), node }) },
);

function perform(group: SimulatedGroup, step: Action): void {
	const { nodes } = group;
	const at = (position: number) => nodes[position % nodes.length]!;
	switch (step.kind) {
		case 'run':
			group.run(step.rounds, step.faults);
			return;
		case 'calm':
			group.run(step.rounds, noNetworkFaults);
			return;
		case 'propose':
			group.propose(at(step.node), step.count);
			return;
		case 'proposeAll':
			for (const each of nodes) {
				group.propose(each, step.count);
			}
			return;
		case 'crash':
			group.crash(at(step.node), step.keptWrites);
			return;
		case 'restart':
			group.restart(at(step.node));
			return;
		case 'loseDisk':
			group.loseDisk(at(step.node));
			return;
		case 'change':
			change(group, at(step.target).position, step.action);
			return;
		case 'snapshot':
			group.takeSnapshot(at(step.node));
			return;
		case 'transfer':
			group.transfer(at(step.node));
			return;
	}
}

function change(
	group: SimulatedGroup,
	target: number,
	changeAction: 'addLearner' | 'promote' | 'remove',
): void {
	if (changeAction === 'remove' && !group.isRepaired()) {
		return;
	}
	const { processId, disk } = group.nodes[target]!;
	const member = { processId, address: `address-of-${processId}`, isVoter: false, diskId: disk.hard.diskId };
	for (const each of group.nodes) {
		group.change(
			each,
			changeAction === 'addLearner' ? { action: 'addLearner', member } : { action: changeAction, processId },
		);
	}
}

function describeFailure<T>(result: fc.RunDetails<T>): string {
	const reason = result.errorInstance instanceof Error ? result.errorInstance.message : '';
	const replay = `REPLICA_SEED=${result.seed} REPLICA_PATH=${result.counterexamplePath ?? ''}`;
	return `${reason}\n${replay}\n${JSON.stringify(result.counterexample)}`;
}

/** Runs of the property; REPLICA_RUNS raises them, REPLICA_SEED and REPLICA_PATH repeat one. */
const runs = Number(process.env.REPLICA_RUNS ?? 150);
const seed = Number(process.env.REPLICA_SEED ?? 20_261_204);
const replayPath = process.env.REPLICA_PATH;

for (const size of [3, 5]) {
	test(`${size} keepers keep the log's rules through faults and come together again`, (t) => {
		let committed = 0;
		let disksLost = 0;
		let snapshotsRestored = 0;
		const property = fc.property(
			fc.array(action, { minLength: 20, maxLength: 60, size: 'max' }),
			fc.integer(),
			(actions, groupSeed) => {
				const group = new SimulatedGroup(size, groupSeed);
				group.run(60, noNetworkFaults);
				for (const each of actions) {
					perform(group, each);
				}
				group.requireConvergence();
				committed += group.committedCount;
				disksLost += group.disksLost;
				snapshotsRestored += group.snapshotsRestored;
			},
		);
		const result = fc.check(property, {
			seed,
			numRuns: runs,
			...(replayPath === undefined ? {} : { path: replayPath }),
		});
		t.false(result.failed, describeFailure(result));
		t.true(committed > 0);
		t.true(disksLost > 0 && snapshotsRestored > 0);
		t.log(`${runs} runs: ${committed} commits, ${disksLost} disks lost, ${snapshotsRestored} snapshots`);
	});
}
