/** Whether the agent takes starts: the upstream's announcement, drains, and what the tables say about the pool. */

import type { AgentStateMessage, KnownTask, UpstreamOffer } from '../../../protocol/common/agentMessages.js';
import type { Announcement } from '../announcement.js';
import type { AgentTables, AgentTick, PublishedState, UpstreamRow } from '../agentTables.js';
import { endQueued, endTask, identityOf } from './taskEnds.js';

/** Whether a new start may be taken and a queued one started. */
export function isAccepting(tick: AgentTick): boolean {
	const { upstream } = tick.tables;
	return upstream !== undefined && !isLeaving(tick.tables);
}

/** Whether the agent is leaving: by its own drain, the upstream's word, an operator's drain, or a dropped pool. */
export function isLeaving(tables: AgentTables): boolean {
	const { upstream } = tables;
	if (tables.isDraining || tables.isDrainedByOperator || upstream?.isWithdrawn === true) {
		return true;
	}
	return (
		upstream !== undefined &&
		tables.knowsPool(upstream.offer.pool) &&
		!tables.poolNames.has(upstream.offer.pool)
	);
}

/** Takes an upstream's announcement, first or renewed. */
export function takeAnnouncement(tick: AgentTick, announcement: Announcement): void {
	const { tables, nowMs } = tick;
	const earlier = tables.upstream;
	const upstream = toRow(announcement, earlier, nowMs);
	upstream.isWithdrawn = upstream.upstreamId === tables.withdrawnUpstreamId;
	if (earlier?.upstreamId !== upstream.upstreamId || earlier.address !== upstream.address) {
		endRunsOfLostUpstream(tick, earlier);
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

/** Takes the upstream's word that it is leaving. */
export function takeWithdrawal(tick: AgentTick): void {
	const { upstream } = tick.tables;
	if (upstream === undefined || upstream.isWithdrawn) {
		return;
	}
	upstream.isWithdrawn = true;
	tick.tables.withdrawnUpstreamId = upstream.upstreamId;
	tick.log('info', 'upstream.withdrawn', { upstreamId: upstream.upstreamId });
}

/** Forgets an upstream at whose address nothing listens; it comes back with its next announcement. */
export function dropUpstream(tick: AgentTick, cause: 'lapsed' | 'unreachable'): void {
	const { tables } = tick;
	if (tables.upstream === undefined) {
		return;
	}
	tick.log('warn', 'upstream.lost', { upstreamId: tables.upstream.upstreamId, cause });
	tables.upstream = undefined;
}

/** Starts nothing more at an upstream that lost a connection, until it announces itself again. */
export function suspectUpstream(tick: AgentTick, upstream: UpstreamRow): void {
	if (upstream.isSuspect) {
		return;
	}
	upstream.isSuspect = true;
	tick.log('warn', 'upstream.suspected', { upstreamId: upstream.upstreamId });
}

/** Drops a lapsed announcement, returns queued tasks that can't start any more, and tells entries of changes. */
export function runMembership(tick: AgentTick): void {
	const { tables, nowMs } = tick;
	const { upstream } = tables;
	if (upstream !== undefined && nowMs >= upstream.expiresAtMs) {
		const hasLeft = upstream.isWithdrawn && tables.tasks.runningCount === 0;
		if (hasLeft) {
			tables.upstream = undefined;
		} else if (!upstream.isWithdrawn) {
			dropUpstream(tick, 'lapsed');
		}
	}
	if (!isAccepting(tick)) {
		const reason = tables.upstream === undefined && !tables.isDraining ? 'noUpstream' : 'leaving';
		endQueued(tick, () => reason);
	}
	endQueued(tick, (record) =>
		tables.entries.has(record.live?.connectionId ?? 0) ? undefined : 'connectionLost',
	);
	publish(tick);
}

/** When an announcement lapses. */
export function nextMembershipDeadlineMs(tables: AgentTables): number {
	const { upstream } = tables;
	if (upstream === undefined || (upstream.isWithdrawn && tables.tasks.runningCount > 0)) {
		return Infinity;
	}
	return upstream.expiresAtMs;
}

/** Tells entries what has changed, and new connections everything. */
function publish(tick: AgentTick): void {
	const { tables } = tick;
	const state: PublishedState = {
		revision: tables.declarations.revision,
		offer: tables.upstream?.offer,
		isLeaving: isLeaving(tables),
	};
	const hasChanged = !isSameState(state, tables.published);
	if (hasChanged) {
		tables.published = state;
	}
	for (const entry of tables.entries.values()) {
		if (entry.isIntroduced && !hasChanged) {
			continue;
		}
		const knownTasks = entry.isIntroduced ? [] : knownTasksOf(tables);
		entry.isIntroduced = true;
		const message = toStateMessage(tables, state, knownTasks);
		tick.outputs.push({ kind: 'send', connectionId: entry.connectionId, message });
	}
}

function toStateMessage(
	tables: AgentTables,
	state: PublishedState,
	knownTasks: readonly KnownTask[],
): AgentStateMessage {
	const { dataCentre, rack } = tables.options;
	const epoch = state.offer === undefined ? 0 : tables.epochOf(state.offer.pool);
	return { kind: 'agentState', ...state, dataCentre, rack, epoch, knownTasks };
}

function knownTasksOf(tables: AgentTables): readonly KnownTask[] {
	return [...tables.tasks.unsettled()].map((record) => ({ ...identityOf(record), state: record.state }));
}

function isSameState(left: PublishedState, right: PublishedState): boolean {
	return left.revision === right.revision && left.offer === right.offer && left.isLeaving === right.isLeaving;
}

/** A renewal keeps the offer's object as long as nothing in it has changed. */
function toRow(announcement: Announcement, earlier: UpstreamRow | undefined, nowMs: number): UpstreamRow {
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

/** An upstream of another run knows nothing of the tasks of the earlier one. */
function endRunsOfLostUpstream(tick: AgentTick, earlier: UpstreamRow | undefined): void {
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
