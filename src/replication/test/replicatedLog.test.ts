import test from 'ava';
import { rm } from 'node:fs/promises';
import { waitFor } from '../../base/common/async.js';
import type { FileHandle } from 'node:fs/promises';
import { ReplicatedLog } from '../node/replicatedLog.js';
import { ListStateMachine } from './listStateMachine.js';
import { createOptions, waitTimeoutMs, TestGroup, TestKeeper } from './testKeepers.js';

test('a single keeper keeps acknowledged commands across a restart and locks out a second process', async (t) => {
	const group = await TestGroup.start(1);
	const [keeper] = group.keepers;
	await Promise.all(['a', 'b', 'c'].map((value) => group.propose(keeper!, value)));
	const { processId, address, dataFolder } = keeper!;
	const second = createOptions(processId, address, dataFolder, group.members, new ListStateMachine());
	await t.throwsAsync(ReplicatedLog.open(second), { message: /in use by another process/ });
	await keeper!.stop();
	await keeper!.restart(group.members);
	t.deepEqual(keeper!.machine.values, ['a', 'b', 'c'], 'the state is restored before open returns');
	await group.propose(keeper!, 'd');
	t.deepEqual(keeper!.machine.values, ['a', 'b', 'c', 'd']);
	t.true(keeper!.runningLog.getMaxStateAgeMs() < 100);
	await group.stop();
});

test('three keepers apply the same commands, whichever keeper receives them, and elect a new leader after a loss', async (t) => {
	const group = await TestGroup.start(3);
	const leader = await group.waitForLeader();
	const values = Array.from({ length: 60 }, (_, position) => `value-${position}`);
	await Promise.all(values.map((value, position) => group.propose(group.keepers[position % 3]!, value)));
	await Promise.all(group.keepers.map((keeper) => group.waitForValues(keeper, 60)));
	for (const keeper of group.keepers) {
		t.deepEqual(keeper.machine.values, leader.machine.values);
	}
	await waitFor('every keeper knows the age of its state', waitTimeoutMs, () =>
		group.keepers.every((keeper) => keeper.runningLog.getMaxStateAgeMs() < 1000),
	);
	await leader.stop();
	const next = await group.waitForLeader();
	t.not(next.processId, leader.processId);
	const [follower] = await group.waitForFollowers();
	await group.propose(follower!, 'after');
	await leader.restart(group.members);
	await group.waitForValues(leader, 61);
	t.deepEqual(leader.machine.values, next.machine.values);
	await group.stop();
});

test('the only running keeper of three refuses writes with a reason, and its state becomes stale', async (t) => {
	const group = await TestGroup.start(3);
	const leader = await group.waitForLeader();
	await group.propose(leader, 'a');
	const [first, second] = await group.waitForFollowers();
	await Promise.all([first!.stop(), second!.stop()]);
	const result = await leader.runningLog.propose(Buffer.from('b'), 3000);
	t.true(result.isErr());
	const refused = await leader.runningLog.propose(Buffer.from('c'), 300);
	t.is(refused.unwrapErr().errorKind, 'noLeader');
	t.regex(refused.unwrapErr().message, /hears only 1 of 3 voters.*2 are needed.*Start keeper-/);
	t.true(leader.runningLog.getMaxStateAgeMs() > 600);
	await first!.restart(group.members);
	await group.propose(first!, 'd');
	t.true(first!.machine.values.includes('a'));
	await group.stop();
});

test('a keeper that lost its disk rejoins as a learner and is promoted; losing a second disk then loses no data', async (t) => {
	const group = await TestGroup.start(3, { snapshotAfterBytes: 2000 });
	const leader = await group.waitForLeader();
	for (let position = 0; position < 40; position += 1) {
		await group.propose(leader, `value-${position}`);
	}
	const [first, second] = await group.waitForFollowers();
	const roles: string[] = [];
	const oldDisk = leader.runningLog.status.members.find(
		(each) => each.processId === first!.processId,
	)!.diskId;
	await first!.stop();
	await rm(first!.dataFolder, { recursive: true });
	await first!.restart(group.members);
	first!.runningLog.onDidChangeStatus((status) => roles.push(status.role));
	roles.push(first!.runningLog.status.role);
	const hasVoter = () =>
		leader.runningLog.status.members.some(
			(each) => each.processId === first!.processId && each.isVoter && each.diskId !== oldDisk,
		);
	await waitFor('the keeper with the new disk is a voter', waitTimeoutMs, hasVoter);
	t.is(roles[0], 'learner');
	const expected = [...leader.machine.values];
	await second!.stop();
	await rm(second!.dataFolder, { recursive: true });
	await leader.stop();
	await leader.restart(group.members);
	await group.propose(first!, 'after');
	await group.waitForValues(first!, expected.length + 1);
	t.deepEqual(first!.machine.values, [...expected, 'after']);
	await group.stop();
});

test('a keeper with an empty folder waits for its group instead of forming a second one', async (t) => {
	const group = await TestGroup.start(3);
	const leader = await group.waitForLeader();
	await group.propose(leader, 'a');
	await Promise.all(group.keepers.map((keeper) => keeper.stop()));
	const [first, second, third] = group.keepers;
	await rm(first!.dataFolder, { recursive: true });
	await first!.restart(group.members);
	const refused = await first!.runningLog.propose(Buffer.from('x'), 700);
	t.regex(refused.unwrapErr().message, /folder is empty.*keeper-1, keeper-2/);
	await second!.restart(group.members);
	const withoutQuorum = await second!.runningLog.propose(Buffer.from('x'), 1500);
	t.is(withoutQuorum.unwrapErr().errorKind, 'noLeader', 'a keeper with an empty folder grants no vote');
	await third!.restart(group.members);
	await waitFor('the keeper that lost its folder is a voter again', waitTimeoutMs, () =>
		['leader', 'follower'].includes(first!.runningLog.status.role),
	);
	await group.propose(first!, 'b');
	await group.waitForValues(first!, 2);
	t.deepEqual(first!.machine.values, ['a', 'b']);
	await group.stop();
});

test('a keeper is added as a learner, promoted and removed; removing the last voter is refused', async (t) => {
	const group = await TestGroup.start(1);
	const [first] = group.keepers;
	await group.propose(first!, 'a');
	const added = await TestKeeper.create('keeper-9', group.root);
	await added.open([...group.members]);
	const member = { processId: 'keeper-9', address: added.address, isVoter: false, diskId: '' };
	await waitFor('the keeper has asked to join', waitTimeoutMs, async () => {
		const result = await first!.runningLog.changeMember({ action: 'addLearner', member }, waitTimeoutMs);
		return result.isOk();
	});
	const change = { action: 'promote', processId: 'keeper-9' } as const;
	await waitFor('the learner is promoted', waitTimeoutMs, async () => {
		const result = await added.runningLog.changeMember(change, waitTimeoutMs);
		return result.isOk();
	});
	await group.propose(added, 'b');
	await group.waitForValues(added, 2);
	t.deepEqual(added.machine.values, ['a', 'b']);
	const removal = await first!.runningLog.changeMember(
		{ action: 'remove', processId: 'keeper-9' },
		waitTimeoutMs,
	);
	t.true(removal.isOk());
	const removalOfLastVoter = await first!.runningLog.changeMember(
		{ action: 'remove', processId: 'keeper-0' },
		waitTimeoutMs,
	);
	t.is(removalOfLastVoter.unwrapErr().errorKind, 'refused');
	await added.stop();
	await group.stop();
});

test('a keeper whose settings do not list the leader is admitted as a learner', async (t) => {
	const group = await TestGroup.start(3);
	const leader = await group.waitForLeader();
	const followers = await group.waitForFollowers();
	const added = await TestKeeper.create('keeper-9', group.root);
	const listed = followers.map(({ processId, address }) => ({ processId, address }));
	await added.open([...listed, { processId: 'keeper-9', address: added.address }], { mayForm: false });
	const member = { processId: 'keeper-9', address: added.address, isVoter: false, diskId: '' };
	await waitFor('the keeper has asked to join', waitTimeoutMs, async () => {
		const result = await leader.runningLog.changeMember({ action: 'addLearner', member }, waitTimeoutMs);
		return result.isOk();
	});
	await group.propose(leader, 'a');
	await group.waitForValues(added, 1);
	t.deepEqual(added.machine.values, ['a']);
	await added.stop();
	await group.stop();
});

test('leadership is transferred before a planned stop', async (t) => {
	const group = await TestGroup.start(3);
	const leader = await group.waitForLeader();
	await group.propose(leader, 'a');
	await leader.runningLog.transferLeadership(waitTimeoutMs);
	await waitFor('another keeper leads', waitTimeoutMs, () => leader.runningLog.status.leaderId !== undefined);
	t.not(leader.runningLog.status.leaderId, leader.processId);
	await group.propose(leader, 'b');
	await group.stop();
});

test('a keeper stops on a failed sync and acknowledges nothing more', async (t) => {
	let isBroken = false;
	const syncFile = async (handle: FileHandle) => {
		if (isBroken) {
			throw new Error('EIO: the disk is gone');
		}
		await handle.datasync();
	};
	const group = await TestGroup.start(1, { syncFile });
	const [keeper] = group.keepers;
	await group.propose(keeper!, 'a');
	isBroken = true;
	const answer = await keeper!.runningLog.propose(Buffer.from('b'), waitTimeoutMs);
	t.is(answer.unwrapErr().errorKind, 'unknown');
	t.is(keeper!.runningLog.status.role, 'stopped');
	t.is(keeper!.runningLog.getMaxStateAgeMs(), Infinity);
	isBroken = false;
	t.true((await keeper!.runningLog.propose(Buffer.from('c'), waitTimeoutMs)).isErr());
	await group.stop();
});
