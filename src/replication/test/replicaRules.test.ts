import test from 'ava';
import type { LogEntry } from '../common/logEntry.js';
import { step } from '../common/replicaCore.js';
import type { GroupMessage, GroupMessageBody } from '../common/replicaMessages.js';
import {
	createReplicaState,
	type ReplicaInput,
	type ReplicaOutput,
	type ReplicaState,
} from '../common/replicaState.js';

const processIds = ['keeper-0', 'keeper-1', 'keeper-2'];
const members = processIds.map((processId) => ({
	processId,
	address: `address-of-${processId}`,
	isVoter: true,
	diskId: `disk-of-${processId}`,
}));
const firstMembersEntry: LogEntry = { kind: 'members', index: 1, term: 1, members };
let nowMs = 0;

/** Creates the core of keeper 0 of three; its disk holds the members entry and one command for each given term. */
function createKeeper(entryTerms: readonly number[], term: number): ReplicaState {
	nowMs = 0;
	const entries = entryTerms.map((entryTerm, position): LogEntry => ({
		kind: 'command',
		index: position + 2,
		term: entryTerm,
		command: Buffer.from('x'),
	}));
	return createReplicaState({
		config: {
			processId: 'keeper-0',
			address: 'address-of-keeper-0',
			initialMembers: members,
			electionTimeoutMs: 300,
			heartbeatIntervalMs: 75,
			maxAppendBytes: 10_000,
			maxSnapshotChunkBytes: 1000,
			trailingEntries: 10,
			random: () => 0.5,
			mayFormGroup: true,
			createGroupId: () => 'group',
		},
		hardState: { diskId: 'disk-of-keeper-0', groupId: 'group', term },
		snapshot: undefined,
		entries: [firstMembersEntry, ...entries],
		nowMs,
	});
}

function stepCore(state: ReplicaState, input: ReplicaInput): ReplicaOutput[] {
	return step(state, input, nowMs);
}

function receive(
	state: ReplicaState,
	from: string,
	body: GroupMessageBody,
	term: number,
	disks: { fromDiskId?: string; toDiskId?: string } = {},
): ReplicaOutput[] {
	const envelope = {
		groupId: 'group',
		term,
		fromDiskId: `disk-of-${from}`,
		toDiskId: 'disk-of-keeper-0',
		...disks,
	};
	return stepCore(state, { kind: 'receive', from, message: { ...body, ...envelope } as GroupMessage });
}

function getSentKinds(outputs: readonly ReplicaOutput[]): string[] {
	return outputs.flatMap((output) => (output.kind === 'send' ? [output.message.kind] : []));
}

function completeWrites(state: ReplicaState): ReplicaOutput[] {
	return stepCore(state, { kind: 'written', sequence: state.lastWriteSequence });
}

/** Lets the keeper start an election and win it with the vote of keeper 1. */
function winElection(state: ReplicaState): void {
	nowMs += 1000;
	stepCore(state, { kind: 'tick' });
	const nextTerm = state.hardState.term + 1;
	receive(state, 'keeper-1', { kind: 'preVoteAnswer', nextTerm, isGranted: true }, state.hardState.term);
	completeWrites(state);
	receive(state, 'keeper-1', { kind: 'voteAnswer', isGranted: true }, nextTerm);
}

function acknowledgeEntry(state: ReplicaState, from: string, index: number): ReplicaOutput[] {
	return receive(
		state,
		from,
		{ kind: 'appendAnswer', isMatch: true, prevIndex: index - 1, index },
		state.hardState.term,
	);
}

test('a vote is sent only once it is durable', (t) => {
	const state = createKeeper([], 1);
	const vote = { kind: 'vote', lastIndex: 1, lastTerm: 1, isTransfer: false } as const;
	t.deepEqual(getSentKinds(receive(state, 'keeper-1', vote, 2)), []);
	t.deepEqual(getSentKinds(completeWrites(state)), ['voteAnswer']);
});

test('a candidate requests votes only once its own vote is durable', (t) => {
	const state = createKeeper([], 1);
	nowMs += 1000;
	stepCore(state, { kind: 'tick' });
	const answer = { kind: 'preVoteAnswer', nextTerm: 2, isGranted: true } as const;
	t.deepEqual(getSentKinds(receive(state, 'keeper-1', answer, 1)), []);
	t.deepEqual(getSentKinds(completeWrites(state)), ['vote', 'vote']);
});

test('a follower acknowledges entries only once they are durable', (t) => {
	const state = createKeeper([], 1);
	const entries: LogEntry[] = [{ kind: 'noop', index: 2, term: 1 }];
	const append = { kind: 'append', prevIndex: 1, prevTerm: 1, entries, commitIndex: 1 } as const;
	t.deepEqual(getSentKinds(receive(state, 'keeper-1', append, 1)), []);
	t.deepEqual(getSentKinds(completeWrites(state)), ['appendAnswer']);
});

test('the leader counts itself towards a quorum only once its own entry is durable', (t) => {
	const state = createKeeper([], 1);
	winElection(state);
	acknowledgeEntry(state, 'keeper-1', 2);
	t.is(state.commitIndex, 0);
	completeWrites(state);
	t.is(state.commitIndex, 2);
});

test('an entry of an earlier term is committed only together with an entry of the current term', (t) => {
	const state = createKeeper([2], 3);
	winElection(state);
	completeWrites(state);
	acknowledgeEntry(state, 'keeper-1', 2);
	t.is(state.commitIndex, 0, 'a quorum stores entry 2 of term 2, but a later leader may still overwrite it');
	acknowledgeEntry(state, 'keeper-1', 3);
	t.is(state.commitIndex, 3);
});

test('a membership change is refused while another is pending or the first entry of the term is not committed', (t) => {
	const state = createKeeper([], 1);
	winElection(state);
	const remove = { kind: 'changeMember', change: { action: 'remove', processId: 'keeper-2' } } as const;
	t.is(stepCore(state, remove)[0]?.kind, 'refused');
	completeWrites(state);
	acknowledgeEntry(state, 'keeper-1', 2);
	t.true(stepCore(state, remove).some((output) => output.kind === 'appended'));
	t.is(stepCore(state, remove)[0]?.kind, 'refused');
});

test('a keeper with a new disk joins as a learner and counts towards no quorum', (t) => {
	const state = createKeeper([], 1);
	winElection(state);
	completeWrites(state);
	acknowledgeEntry(state, 'keeper-1', 2);
	const join = {
		kind: 'join',
		groupId: 'group',
		processId: 'keeper-2',
		address: 'a',
		diskId: 'new-disk',
	} as const;
	stepCore(state, { kind: 'receive', from: 'keeper-2', message: join });
	t.is(state.log.members.length, 3, 'the old disk answered recently, so two processes may be using one name');
	t.is(state.log.lastMembersIndex, 1);
	nowMs += 500;
	receive(state, 'keeper-1', { kind: 'heartbeatAnswer', round: 1, sentMs: 0 }, state.hardState.term);
	nowMs += 500;
	stepCore(state, { kind: 'receive', from: 'keeper-2', message: join });
	const learner = state.log.members.find((member) => member.processId === 'keeper-2');
	t.is(learner?.diskId, 'new-disk');
	t.false(learner?.isVoter);
	const answer = { kind: 'appendAnswer', isMatch: true, prevIndex: 2, index: 3 } as const;
	receive(state, 'keeper-2', answer, state.hardState.term, { fromDiskId: 'new-disk' });
	completeWrites(state);
	t.is(state.commitIndex, 2, 'a learner and the leader are no quorum of the two voters');
	acknowledgeEntry(state, 'keeper-1', 3);
	t.is(state.commitIndex, 3);
});

test('a join request reaches the leader through any member, and is passed on just once', (t) => {
	const state = createKeeper([], 1);
	const heartbeat = { kind: 'heartbeat', commitIndex: 1, round: 1, freshIndex: 1, heldMs: 0 } as const;
	receive(state, 'keeper-1', heartbeat, 1);
	const join = {
		kind: 'join',
		groupId: 'group',
		processId: 'keeper-9',
		address: 'a',
		diskId: 'new-disk',
	} as const;
	const relayed = { ...join, isRelayed: true };
	t.deepEqual(stepCore(state, { kind: 'receive', from: 'keeper-9', message: join }), [
		{ kind: 'send', to: 'keeper-1', message: relayed },
	]);
	t.deepEqual(stepCore(state, { kind: 'receive', from: 'keeper-2', message: relayed }), []);
	t.deepEqual(
		stepCore(state, { kind: 'receive', from: 'keeper-9', message: { ...join, groupId: 'other' } }),
		[],
	);
});

test('a vote answer from, or a vote request to, a disk other than the listed one is ignored', (t) => {
	const state = createKeeper([], 1);
	nowMs += 1000;
	stepCore(state, { kind: 'tick' });
	const granted = { kind: 'preVoteAnswer', nextTerm: 2, isGranted: true } as const;
	receive(state, 'keeper-1', granted, 1, { fromDiskId: 'new-disk' });
	t.is(state.role, 'preCandidate');
	receive(state, 'keeper-1', granted, 1);
	completeWrites(state);
	receive(state, 'keeper-2', { kind: 'voteAnswer', isGranted: true }, 2, { fromDiskId: 'new-disk' });
	t.is(state.role, 'candidate');
	const keeperWithNewDisk = createKeeper([], 1);
	const vote = { kind: 'vote', lastIndex: 9, lastTerm: 9, isTransfer: false } as const;
	t.deepEqual(receive(keeperWithNewDisk, 'keeper-1', vote, 10, { toDiskId: 'lost-disk' }), []);
	t.is(keeperWithNewDisk.hardState.term, 1);
});

test('a follower in contact with its leader refuses a pre-vote, ignores a vote request and keeps its term', (t) => {
	const state = createKeeper([], 1);
	const heartbeat = { kind: 'heartbeat', commitIndex: 1, round: 1, freshIndex: 1, heldMs: 0 } as const;
	receive(state, 'keeper-1', heartbeat, 1);
	const preVote = { kind: 'preVote', nextTerm: 2, lastIndex: 9, lastTerm: 1 } as const;
	const [answer] = receive(state, 'keeper-2', preVote, 1);
	t.like(answer, { kind: 'send', message: { kind: 'preVoteAnswer', isGranted: false } });
	const vote = { kind: 'vote', lastIndex: 9, lastTerm: 1, isTransfer: false } as const;
	t.deepEqual(receive(state, 'keeper-2', vote, 7), []);
	t.is(state.hardState.term, 1);
});

test('a leader without answers from a quorum steps down', (t) => {
	const state = createKeeper([], 1);
	winElection(state);
	nowMs += 601;
	stepCore(state, { kind: 'tick' });
	t.is(state.role, 'follower');
});

test('a keeper without a leader since its start requests pre-votes early, one that had a leader waits the whole timeout', (t) => {
	const started = createKeeper([1, 1], 1);
	nowMs = 0.25 * 300 * 1.5;
	t.true(requestsPreVotes(stepCore(started, { kind: 'tick' })));

	const following = createKeeper([1, 1], 1);
	const heartbeat = { kind: 'append', prevIndex: 3, prevTerm: 1, entries: [], commitIndex: 1 } as const;
	receive(following, 'keeper-1', heartbeat, 1);
	nowMs = 290;
	t.false(requestsPreVotes(stepCore(following, { kind: 'tick' })));
	nowMs = 300 * 1.5;
	t.true(requestsPreVotes(stepCore(following, { kind: 'tick' })));
});

function requestsPreVotes(outputs: readonly ReplicaOutput[]): boolean {
	return outputs.some((output) => output.kind === 'send' && output.message.kind === 'preVote');
}
