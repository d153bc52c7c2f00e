/**
 * Formation of a new group, and discovery of an existing group by a keeper with an empty disk or without a leader.
 *
 * A keeper without a group probes all keepers listed in its settings. Only the keeper whose processId sorts first forms
 * the group, and only when every other one has recently answered that it has no group either and lists the same
 * members. A keeper that learns of a group asks to be admitted. A keeper adopts the group of the first
 * message from a candidate or leader that is addressed to its disk's identity.
 */

import { getQuorumTimeoutMs } from './quorum.js';
import type { ProbeAnswer } from './replicaMessages.js';
import type { ReplicaMember } from './replicatedLog.js';
import type { ReplicaState } from './replicaState.js';
import type { StepContext } from './stepContext.js';

/** Number of probe intervals after which a probe answer is outdated. */
const probeAnswerLifetimeIntervals = 8;

/** Probes the other keepers, and forms the group when none of them has one and all list the same members. */
export function tickFormation(ctx: StepContext): void {
	const { state, nowMs } = ctx;
	if (!isLookingForGroup(ctx)) {
		return;
	}
	if (state.hardState.groupId === undefined && canFormGroup(ctx)) {
		formGroup(ctx);
		return;
	}
	if (nowMs < state.formation.nextProbeMs) {
		return;
	}
	state.formation.nextProbeMs = nowMs + getProbeIntervalMs(state);
	for (const processId of getOtherListedIds(state)) {
		ctx.sendFormationMessage(processId, { kind: 'probe' });
	}
}

/** Answers a probe with the group and leader that this keeper knows. */
export function handleProbe(ctx: StepContext, from: string): void {
	const { hardState, leaderId, config } = ctx.state;
	ctx.sendFormationMessage(from, {
		kind: 'probeAnswer',
		diskId: hardState.diskId,
		// A keeper that must not be part of a new group answers with a list that equals no other keeper's.
		listKey: config.mayFormGroup ? createMemberListKey(config.initialMembers) : '',
		groupId: hardState.groupId,
		leaderId,
	});
}

/**
 * Records a probe answer; when it names a group, asks to be admitted. The request goes to the keeper that answered, which
 * passes it on to its leader, since this keeper can reach only the keepers of its settings.
 */
export function handleProbeAnswer(ctx: StepContext, from: string, answer: ProbeAnswer): void {
	const { state, nowMs } = ctx;
	state.formation.probeAnswers.set(from, { answer, receivedMs: nowMs });
	if (!isLookingForGroup(ctx) || answer.groupId === undefined) {
		return;
	}
	if (state.hardState.groupId !== undefined && state.hardState.groupId !== answer.groupId) {
		return;
	}
	const { processId, address } = state.config;
	ctx.sendFormationMessage(from, {
		kind: 'join',
		groupId: answer.groupId,
		processId,
		address,
		diskId: state.hardState.diskId,
	});
}

/** Explains to the operator why this keeper has no group yet. */
export function explainMissingGroup(state: ReplicaState, nowMs: number): string {
	const missingIds = getOtherListedIds(state).filter(
		(processId) => findRecentAnswer(state, processId, nowMs) === undefined,
	);
	if (missingIds.length > 0) {
		return (
			`This keeper's data folder is empty, and it can't tell whether a group exists before it hears from ` +
			`${missingIds.join(', ')}; start these keepers.`
		);
	}
	const answers = getOtherListedIds(state).map((processId) => findRecentAnswer(state, processId, nowMs));
	if (answers.some((answer) => answer?.groupId !== undefined)) {
		return (
			`This keeper's data folder is empty and its group exists; it waits for the leader to admit it as a ` +
			`learner. If it was never a member, add it.`
		);
	}
	return `The group is being formed; the keepers' settings must all list the same members.`;
}

function isLookingForGroup(ctx: StepContext): boolean {
	const { state, nowMs } = ctx;
	if (state.hardState.groupId === undefined) {
		return true;
	}
	// A keeper that was removed while it was away finds itself a voter in its own log, so the log doesn't decide.
	const isLed = state.role === 'leader' || nowMs - state.lastLeaderContactMs <= getQuorumTimeoutMs(state);
	return !isLed && state.departure === 'none';
}

function canFormGroup(ctx: StepContext): boolean {
	const { state, nowMs } = ctx;
	const { config } = state;
	const processIds = config.initialMembers.map((member) => member.processId).sort();
	if (processIds[0] !== config.processId || !config.mayFormGroup) {
		return false;
	}
	const ownListKey = createMemberListKey(config.initialMembers);
	return getOtherListedIds(state).every((processId) => {
		const answer = findRecentAnswer(state, processId, nowMs);
		return answer !== undefined && answer.groupId === undefined && answer.listKey === ownListKey;
	});
}

function formGroup(ctx: StepContext): void {
	const { state } = ctx;
	const { config, hardState, formation } = state;
	const members: ReplicaMember[] = config.initialMembers.map(({ processId, address }) => {
		const answer = formation.probeAnswers.get(processId)?.answer;
		const diskId = processId === config.processId ? hardState.diskId : (answer?.diskId ?? '');
		return { processId, address, diskId, isVoter: true };
	});
	ctx.setHardState({ groupId: config.createGroupId(), term: 1, votedFor: undefined });
	ctx.append([{ kind: 'members', index: 1, term: 1, members }]);
	state.electionDeadlineMs = ctx.nowMs;
}

function findRecentAnswer(state: ReplicaState, processId: string, nowMs: number): ProbeAnswer | undefined {
	const recorded = state.formation.probeAnswers.get(processId);
	const lifetimeMs = probeAnswerLifetimeIntervals * getProbeIntervalMs(state);
	return recorded !== undefined && nowMs - recorded.receivedMs <= lifetimeMs ? recorded.answer : undefined;
}

function getOtherListedIds(state: ReplicaState): string[] {
	const { config, log } = state;
	const processIds = [...config.initialMembers, ...log.members].map((member) => member.processId);
	return [...new Set(processIds)].filter((processId) => processId !== config.processId);
}

function createMemberListKey(
	members: readonly { readonly processId: string; readonly address: string }[],
): string {
	return members
		.map(({ processId, address }) => `${processId}=${address}`)
		.sort()
		.join(' ');
}

function getProbeIntervalMs(state: ReplicaState): number {
	return 2 * state.config.heartbeatIntervalMs;
}
