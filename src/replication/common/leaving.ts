/**
 * Planned stop of a member. It tells the leader, which removes it if enough voters remain; otherwise it stays a member,
 * as in a mere restart.
 */

import { otherMembers } from './replicaState.js';
import type { LeaveAnswer, LeaveMessage } from './replicaMessages.js';
import type { StepContext } from './stepContext.js';

/** Tells the leader that this keeper is about to stop. Does nothing while no other keeper is known to lead. */
export function askToLeave(ctx: StepContext): void {
	const { hardState, leaderId, config, departure } = ctx.state;
	ctx.state.departure = departure === 'none' ? 'asked' : departure;
	if (hardState.groupId === undefined || leaderId === undefined || leaderId === config.processId) {
		return;
	}
	ctx.sendFormationMessage(leaderId, {
		kind: 'leave',
		groupId: hardState.groupId,
		processId: config.processId,
		diskId: hardState.diskId,
	});
}

/** Records the request for the next membership change, and answers whether the member's removal is committed. */
export function handleLeaveRequest(ctx: StepContext, from: string, message: LeaveMessage): void {
	const { state, nowMs } = ctx;
	const { leadership, log } = state;
	if (leadership === undefined || message.groupId !== state.hardState.groupId) {
		return;
	}
	const { processId, diskId } = message;
	const isListed = otherMembers(state).some(
		(member) => member.processId === processId && member.diskId === diskId,
	);
	if (isListed) {
		leadership.leaveRequests.set(processId, nowMs);
	}
	const isMember = isListed || log.lastMembersIndex > state.commitIndex;
	ctx.sendFormationMessage(from, { kind: 'leaveAnswer', diskId, isMember });
}

/** Records that this keeper's removal is committed. */
export function handleLeaveAnswer(ctx: StepContext, { diskId, isMember }: LeaveAnswer): void {
	const { state } = ctx;
	if (diskId === state.hardState.diskId && !isMember) {
		state.departure = 'confirmed';
	}
}
