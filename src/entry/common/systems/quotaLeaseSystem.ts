/**
 * Leases parts of the team quotas, which limit how many tasks of a team this entry may have at workers.
 *
 * One entry grants the quotas of all teams (quotaGranterSystem.ts). The other entries request their parts by demand, in
 * one message for all teams, so the number of messages doesn't depend on the number of tasks.
 */

import type { QuotaDemandMessage, QuotaGrantMessage } from '../../../protocol/common/entryMessages.js';
import type { EntryTables } from '../entryTables.js';
import { assuredLeaseMs, quotaLeaseMs } from '../quotaLedger.js';
import {
	answerQuotaDemands,
	grantPart,
	granterSessionId,
	handOverQuotaLedgers,
	holderKey,
	knowsEveryAssuredPart,
	mayGrant,
} from './quotaGranterSystem.js';

/** Interval between demands for all teams at an entry that places tasks. */
const demandIntervalMs = 300;
/**
 * Interval between demands for all teams at the next home of a pool. That entry may have to place the pool's tasks at
 * any time, and then uses its assured parts.
 */
const standbyDemandIntervalMs = 3000;
/** Time after which an unanswered demand for all teams is sent again. */
const demandRetryMs = 200;
/** A lease that shrinks by at most this share is confirmed to the granter with the next demand for all teams. */
const negligibleDecreaseShare = 0.125;
/** Minimum interval between urgent demands, which cover single teams; one limit for all of them. */
const urgentDemandIntervalMs = 200;

/** Returns how many tasks of a team this entry may have at workers. A team that isn't in the tables is unlimited. */
export function teamTaskLimit(tables: EntryTables, team: string): number {
	if (!tables.teamRows.has(team)) {
		return Infinity;
	}
	const { tasks, assured } = tables.quotas.currentPart(team, tables.nowMs);
	return Math.max(tasks, assured);
}

/**
 * Renews the leases of all teams when the interval has passed, and those of single teams that need more than they have.
 * Also does the granter's periodic work.
 *
 * @param usesHome whether only homes place tasks
 * @returns whether this entry is the granter and has increased one of its own leases
 */
export function renewQuotaLeases(tables: EntryTables, usesHome: boolean): boolean {
	const { quotas, nowMs } = tables;
	handOverQuotaLedgers(tables);
	answerQuotaDemands(tables);
	const intervalMs = demandIntervalOf(tables, usesHome);
	const isRound = intervalMs < Infinity && nowMs >= quotas.nextRoundMs;
	const isUrgent =
		quotas.urgentTeams.size > 0 && (nowMs >= quotas.nextUrgentDemandMs || canGrantThisTick(tables));
	if (quotas.granter === undefined || (!isRound && !isUrgent)) {
		return false;
	}
	const teams = isRound ? [...tables.teamRows.keys()] : [...quotas.urgentTeams];
	// Must be finite: this entry may become a home before the answer to its last demand arrives.
	quotas.roundIntervalMs = Math.min(intervalMs, standbyDemandIntervalMs);
	quotas.nextUrgentDemandMs = nowMs + urgentDemandIntervalMs;
	if (quotas.tenure !== undefined) {
		return grantToSelf(tables, teams, isRound);
	}
	sendQuotaDemand(tables, teams, isRound);
	return false;
}

/** Applies the granter's answer to a demand. Only the answer to the last demand for a team counts. */
export function applyQuotaGrant(tables: EntryTables, { seq, tasks, assured }: QuotaGrantMessage): void {
	const { quotas, nowMs } = tables;
	const pendingDemand = quotas.pendingDemands.get(seq);
	if (pendingDemand === undefined) {
		return;
	}
	quotas.pendingDemands.delete(seq);
	if (pendingDemand.isForAllTeams) {
		quotas.nextRoundMs = pendingDemand.sentMs + quotas.roundIntervalMs;
	}
	for (const [index, team] of pendingDemand.teams.entries()) {
		const granted = tasks[index] ?? undefined;
		const previousTasks = quotas.currentPart(team, nowMs).tasks;
		if (granted === undefined || quotas.getOrCreateLease(team).demandSeq !== seq) {
			continue;
		}
		updateLease(tables, team, granted, assured[index] ?? undefined, pendingDemand.sentMs);
		if (previousTasks - granted > previousTasks * negligibleDecreaseShare) {
			// The granter keeps the difference reserved until it learns that this entry uses the smaller lease.
			quotas.urgentTeams.add(team);
		}
	}
}

/** Updates a team's lease with a granted part. Lease times count from when the demand was sent. */
function updateLease(
	tables: EntryTables,
	team: string,
	tasks: number,
	assured: number | undefined,
	demandSentMs: number,
): void {
	const lease = tables.quotas.getOrCreateLease(team);
	lease.tasks = tasks;
	lease.untilMs = demandSentMs + quotaLeaseMs;
	lease.isLessThanDemanded = countWantedTasks(tables, team).wanted > tasks;
	if (assured !== undefined) {
		lease.assured = assured;
		lease.assuredUntilMs = demandSentMs + assuredLeaseMs;
	}
}

/** Renews the granter's own leases, and returns whether one of them has increased. */
function grantToSelf(tables: EntryTables, teams: readonly string[], isRound: boolean): boolean {
	const { quotas, nowMs } = tables;
	if (!mayGrant(tables)) {
		return false;
	}
	quotas.urgentTeams.clear();
	if (isRound) {
		quotas.nextRoundMs = nowMs + quotas.roundIntervalMs;
	}
	const holder = holderKey(tables.options);
	const seq = (quotas.lastDemandSeq += 1);
	let hasIncreased = false;
	for (const team of teams) {
		const { running, queued } = countWantedTasks(tables, team);
		const previousPart = quotas.currentPart(team, nowMs);
		// The grant takes effect at once, so only tasks that are already at workers outlast the earlier lease.
		const assuredElsewhere = knowsEveryAssuredPart(tables) ? 0 : previousPart.assured;
		const demand = { holder, seq, leased: 0, assured: assuredElsewhere, running, queued };
		const part = grantPart(tables, team, demand) ?? { tasks: 0, assured: 0 };
		updateLease(tables, team, part.tasks, knowsEveryAssuredPart(tables) ? part.assured : undefined, nowMs);
		hasIncreased ||= part.tasks > Math.max(previousPart.tasks, previousPart.assured);
	}
	return hasIncreased;
}

/** Sends the granter a demand for some teams, if it is connected. */
function sendQuotaDemand(tables: EntryTables, teams: readonly string[], isForAllTeams: boolean): void {
	const { quotas, nowMs, revision, epoch } = tables;
	const sessionId = granterSessionId(tables);
	if (sessionId === undefined) {
		return;
	}
	quotas.urgentTeams.clear();
	if (isForAllTeams) {
		quotas.nextRoundMs = nowMs + demandRetryMs;
	}
	if (teams.length === 0) {
		return;
	}
	const seq = (quotas.lastDemandSeq += 1);
	removeExpiredDemands(tables);
	quotas.pendingDemands.set(seq, { teams, sentMs: nowMs, isForAllTeams });
	for (const team of teams) {
		quotas.getOrCreateLease(team).demandSeq = seq;
	}
	const wanted = teams.map((team) => countWantedTasks(tables, team));
	const message: QuotaDemandMessage = {
		kind: 'quotaDemand',
		revision,
		epoch,
		seq,
		teams,
		leased: teams.map((team) => quotas.currentPart(team, nowMs).tasks),
		assured: teams.map((team) => quotas.currentPart(team, nowMs).assured),
		running: wanted.map(({ running }) => running),
		queued: wanted.map(({ queued }) => queued),
	};
	tables.stats.countWasted('grants', teams.length);
	tables.outbox.forSession(sessionId).otherEntryMessages.push(message);
}

/**
 * Returns the interval between demands for all teams. It is infinite at an entry that doesn't place tasks and wouldn't
 * have to if one other entry were lost.
 */
function demandIntervalOf(tables: EntryTables, usesHome: boolean): number {
	if (isPlacingTasks(tables, usesHome)) {
		return demandIntervalMs;
	}
	return tables.quotas.isNextHome ? standbyDemandIntervalMs : Infinity;
}

/** Whether this entry places tasks: it is a home, or still has tasks from when it was one. */
function isPlacingTasks(tables: EntryTables, usesHome: boolean): boolean {
	const isHome = [...tables.pools.values()].some((pool) => pool.home.kind === 'self' || pool.queuedTasks > 0);
	return !usesHome || isHome || tables.runningTasksByTeam.size > 0;
}

/** Whether this entry is the granter and some team that needs more was not just granted less than it wanted. */
function canGrantThisTick(tables: EntryTables): boolean {
	const { quotas } = tables;
	return (
		quotas.tenure !== undefined &&
		[...quotas.urgentTeams].some((team) => quotas.leases.get(team)?.isLessThanDemanded !== true)
	);
}

/** Removes demands that were sent so long ago that a lease granted for them would already have ended. */
function removeExpiredDemands({ quotas, nowMs }: EntryTables): void {
	for (const [seq, { sentMs }] of quotas.pendingDemands) {
		if (nowMs - sentMs >= quotaLeaseMs) {
			quotas.pendingDemands.delete(seq);
		}
	}
}

/** Counts a team's tasks at workers and its queued tasks in all pools, the latter in each pool only up to the quota. */
function countWantedTasks(
	tables: EntryTables,
	team: string,
): { readonly running: number; readonly queued: number; readonly wanted: number } {
	const limit = tables.teamRows.get(team)?.maxRunningTasks ?? 0;
	const running = tables.runningTasksByTeam.get(team) ?? 0;
	let queued = 0;
	for (const pool of tables.pools.values()) {
		queued += pool.teams.get(team)?.countQueuedTasks(limit) ?? 0;
	}
	return { running, queued, wanted: running + queued };
}
