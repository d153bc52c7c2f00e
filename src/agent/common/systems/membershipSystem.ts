/** Decides whether the agent accepts starts, by the upstream's announcement, drains, and the declared pools. */

import type { AgentStateMessage, KnownTask, UpstreamOffer } from '../../../protocol/common/agentMessages.js';
import type { Announcement } from '../announcement.js';
import type { AgentTables, AgentTick, PublishedState, UpstreamRow } from '../agentTables.js';
import { endQueued, endTask, toIdentity } from './taskEnds.js';

/** Returns whether new starts may be accepted and queued tasks started. */
export function isAcceptingStarts(tick: AgentTick): boolean {
	const { upstream } = tick.tables;
	return upstream !== undefined && !isLeaving(tick.tables);
}

/**
 * Returns whether the agent is leaving: because of its own drain, the upstream's withdrawal, an operator's drain, or a
 * pool that is no longer declared.
 */
export function isLeaving(tables: AgentTables): boolean {
	const { upstream } = tables;
	if (tables.isDraining || tables.isDrainedByOperator || upstream?.isWithdrawn === true) {
		return true;
	}
	return (
		upstream !== undefined &&
		tables.coversPool(upstream.offer.pool) &&
		!tables.poolNames.has(upstream.offer.pool)
	);
}

/** Handles the first or a renewed announcement of an upstream. */
export function handleAnnouncement(tick: AgentTick, announcement: Announcement): void {
	const { tables, nowMs } = tick;
	const earlier = tables.upstream;
	const upstream = toUpstreamRow(announcement, earlier, nowMs);
	upstream.isWithdrawn = upstream.upstreamId === tables.withdrawnUpstreamId;
	if (earlier?.upstreamId !== upstream.upstreamId || earlier.address !== upstream.address) {
		endTasksOfEarlierUpstream(tick, earlier);
		tick.log('info', 'upstream.announced', {
			upstreamId: upstream.upstreamId,
			pool: upstream.offer.pool,
			address: upstream.address,
			slots: upstream.offer.slots,
		});
	}
	if (earlier?.address !== upstream.address || earlier.offer.connections !== upstream.offer.connections) {
		const { address, offer } = upstream;
		tick.outputs.push({ kind: 'useUpstream', address, connections: offer.connections });
	}
	tables.upstream = upstream;
}

/** Handles the upstream's notice that it is leaving. */
export function handleWithdrawal(tick: AgentTick): void {
	const { upstream } = tick.tables;
	if (upstream === undefined || upstream.isWithdrawn) {
		return;
	}
	upstream.isWithdrawn = true;
	tick.tables.withdrawnUpstreamId = upstream.upstreamId;
	tick.log('info', 'upstream.withdrawn', { upstreamId: upstream.upstreamId });
}

/** Removes an upstream that is unreachable or whose announcement has lapsed; its next announcement restores it. */
export function removeUpstream(tick: AgentTick, cause: 'lapsed' | 'unreachable'): void {
	const { tables } = tick;
	if (tables.upstream === undefined) {
		return;
	}
	tick.log('warn', 'upstream.lost', { upstreamId: tables.upstream.upstreamId, cause });
	tables.upstream = undefined;
}

/** Marks an upstream that lost a connection: nothing is started there until its next announcement. */
export function markUpstreamSuspect(tick: AgentTick, upstream: UpstreamRow): void {
	if (upstream.isSuspect) {
		return;
	}
	upstream.isSuspect = true;
	tick.log('warn', 'upstream.suspected', { upstreamId: upstream.upstreamId });
}

/** Removes a lapsed upstream, ends queued tasks that can't start any more, and sends changes of the state to entries. */
export function updateMembership(tick: AgentTick): void {
	const { tables, nowMs } = tick;
	const { upstream } = tables;
	if (upstream !== undefined && nowMs >= upstream.expiresAtMs) {
		const hasLeft = upstream.isWithdrawn && tables.tasks.runningCount === 0;
		if (hasLeft) {
			tables.upstream = undefined;
		} else if (!upstream.isWithdrawn) {
			removeUpstream(tick, 'lapsed');
		}
	}
	if (!isAcceptingStarts(tick)) {
		const reason = tables.upstream === undefined && !tables.isDraining ? 'noUpstream' : 'leaving';
		endQueued(tick, () => reason);
	}
	endQueued(tick, (record) =>
		tables.entries.has(record.live?.connectionId ?? 0) ? undefined : 'connectionLost',
	);
	publishState(tick);
}

/**
 * Returns the time at which the announcement lapses; infinite without an upstream, and while tasks run at a withdrawn
 * one.
 */
export function nextMembershipDeadlineMs(tables: AgentTables): number {
	const { upstream } = tables;
	if (upstream === undefined || (upstream.isWithdrawn && tables.tasks.runningCount > 0)) {
		return Infinity;
	}
	return upstream.expiresAtMs;
}

/** Sends the agent's state to all entries when it has changed, and with the known tasks to each new connection. */
function publishState(tick: AgentTick): void {
	const { tables } = tick;
	const state: PublishedState = {
		revision: tables.declarations.revision,
		offer: tables.upstream?.offer,
		isLeaving: isLeaving(tables),
	};
	const hasChanged = !isSameState(state, tables.publishedState);
	if (hasChanged) {
		tables.publishedState = state;
	}
	for (const entry of tables.entries.values()) {
		if (entry.isInitialStateSent && !hasChanged) {
			continue;
		}
		const knownTasks = entry.isInitialStateSent ? [] : listKnownTasks(tables);
		entry.isInitialStateSent = true;
		const message = createStateMessage(tables, state, knownTasks);
		tick.outputs.push({ kind: 'send', connectionId: entry.connectionId, message });
	}
}

function createStateMessage(
	tables: AgentTables,
	state: PublishedState,
	knownTasks: readonly KnownTask[],
): AgentStateMessage {
	const { dataCentre, rack } = tables.options;
	const epoch = state.offer === undefined ? 0 : tables.minAcceptedEpoch(state.offer.pool);
	return { kind: 'agentState', ...state, dataCentre, rack, epoch, knownTasks };
}

function listKnownTasks(tables: AgentTables): readonly KnownTask[] {
	return [...tables.tasks.unfinishedOrUnacknowledged()].map((record) => ({
		...toIdentity(record),
		state: record.state,
	}));
}

function isSameState(left: PublishedState, right: PublishedState): boolean {
	return left.revision === right.revision && left.offer === right.offer && left.isLeaving === right.isLeaving;
}

/**
 * Creates the row of an announcement. Reuses the earlier offer object if it is equal, since {@link isSameState} compares
 * offers by identity.
 */
function toUpstreamRow(
	announcement: Announcement,
	earlier: UpstreamRow | undefined,
	nowMs: number,
): UpstreamRow {
	const { upstreamId, address, ttlMs, pool, slots, connections, cores, memoryBytes, accelerators } =
		announcement;
	const offer = { pool, slots, connections, cores, memoryBytes, accelerators };
	return {
		upstreamId,
		address,
		offer: earlier !== undefined && isSameOffer(earlier.offer, offer) ? earlier.offer : offer,
		expiresAtMs: nowMs + ttlMs,
		isWithdrawn: false,
		isSuspect: false,
	};
}

function isSameOffer(left: UpstreamOffer, right: UpstreamOffer): boolean {
	return (
		left.pool === right.pool &&
		left.slots === right.slots &&
		left.connections === right.connections &&
		left.cores === right.cores &&
		left.memoryBytes === right.memoryBytes &&
		left.accelerators === right.accelerators
	);
}

/** Ends all running tasks as `unknown` when the upstream is replaced: the new one knows nothing of them. */
function endTasksOfEarlierUpstream(tick: AgentTick, earlier: UpstreamRow | undefined): void {
	if (earlier === undefined) {
		return;
	}
	for (const record of [...tick.tables.tasks.running]) {
		const runId = record.live?.runId;
		endTask(tick, record, {
			state: 'unknown',
			message: 'The upstream was started anew while the task ran.',
		});
		if (runId !== undefined) {
			tick.outputs.push({ kind: 'abandonRun', runId });
		}
	}
}
