/**
 * Leases of team quotas: how many tasks of a team this entry may have at workers.
 *
 * One entry grants the quotas of all teams (quotaGranterSystem.ts). The others lease parts of them by demand, in one
 * question for all teams; no message depends on the number of tasks.
 */

import type { QuotaDemandMessage, QuotaGrantMessage } from '../../../protocol/common/entryMessages.js';
import type { EntryTables } from '../entryTables.js';
import { assuredLeaseMs, quotaLeaseMs } from '../quotaLedger.js';
import {
	answerDemands,
	grant,
	granterSession,
	handOverQuotas,
	holderKey,
	isWhole,
	mayGrant,
} from './quotaGranterSystem.js';

/** Time between questions for all teams. */
const askIntervalMs = 300;
/** The same at the next home of a pool, which may have to place its tasks at any time and lives on what is assured. */
const standbyIntervalMs = 3000;
/** Time after which a question for all teams that had no answer is put again. */
const askAgainMs = 200;
/** Share of a part of which the loss is confirmed in the next round only. */
const negligibleShare = 0.125;
/** Least time between questions for single teams. */
const promptIntervalMs = 200;

/** Tasks of a team that may be at workers, as started by this entry. */
export function teamShare(tables: EntryTables, team: string): number {
	if (!tables.teamRows.has(team)) {
		return Infinity;
	}
	const { tasks, assured } = tables.quotas.partOf(team, tables.nowMs);
	return Math.max(tasks, assured);
}

/**
 * Asks for parts of the quotas, when it is time or when a team needs more than it has.
 *
 * @param usesHome whether only homes place tasks
 * @returns whether this entry, as the granter, has given itself more
 */
export function leaseQuotas(tables: EntryTables, usesHome: boolean): boolean {
	const { quotas, nowMs } = tables;
	handOverQuotas(tables);
	answerDemands(tables);
	const intervalMs = roundIntervalOf(tables, usesHome);
	const isRound = intervalMs < Infinity && nowMs >= quotas.nextAskMs;
	const isPrompt = quotas.pressing.size > 0 && (nowMs >= quotas.nextPromptMs || mayGrantAtOnce(tables));
	if (quotas.granter === undefined || (!isRound && !isPrompt)) {
		return false;
	}
	const teams = isRound ? [...tables.teamRows.keys()] : [...quotas.pressing];
	// Never infinite: this entry may become a home before the answer to its last question comes.
	quotas.roundIntervalMs = Math.min(intervalMs, standbyIntervalMs);
	quotas.nextPromptMs = nowMs + promptIntervalMs;
	if (quotas.tenure !== undefined) {
		return grantToSelf(tables, teams, isRound);
	}
	ask(tables, teams, isRound);
	return false;
}

/** Takes an answer to one of this entry's questions. Only the answer to a team's last question counts. */
export function takeQuotaGrant(tables: EntryTables, { seq, tasks, assured }: QuotaGrantMessage): void {
	const { quotas, nowMs } = tables;
	const question = quotas.questions.get(seq);
	if (question === undefined) {
		return;
	}
	quotas.questions.delete(seq);
	if (question.isRound) {
		quotas.nextAskMs = question.sentMs + quotas.roundIntervalMs;
	}
	for (const [index, team] of question.teams.entries()) {
		const granted = tasks[index] ?? undefined;
		const before = quotas.partOf(team, nowMs).tasks;
		if (granted === undefined || quotas.leaseOf(team).askedSeq !== seq) {
			continue;
		}
		takePart(tables, team, granted, assured[index] ?? undefined, question.sentMs);
		if (before - granted > before * negligibleShare) {
			// The granter keeps the difference until it hears that this entry goes by the smaller lease.
			quotas.pressing.add(team);
		}
	}
}

/** Puts a granted part in force, from the time of the question on. */
function takePart(
	tables: EntryTables,
	team: string,
	tasks: number,
	assured: number | undefined,
	askedMs: number,
): void {
	const lease = tables.quotas.leaseOf(team);
	lease.tasks = tasks;
	lease.untilMs = askedMs + quotaLeaseMs;
	lease.isShort = wantedTasks(tables, team).wanted > tasks;
	if (assured !== undefined) {
		lease.assured = assured;
		lease.assuredUntilMs = askedMs + assuredLeaseMs;
	}
}

function grantToSelf(tables: EntryTables, teams: readonly string[], isRound: boolean): boolean {
	const { quotas, nowMs } = tables;
	if (!mayGrant(tables)) {
		return false;
	}
	quotas.pressing.clear();
	if (isRound) {
		quotas.nextAskMs = nowMs + quotas.roundIntervalMs;
	}
	const holder = holderKey(tables.options);
	const seq = (quotas.lastSeq += 1);
	let hasMore = false;
	for (const team of teams) {
		const { running, queued } = wantedTasks(tables, team);
		const before = quotas.partOf(team, nowMs);
		// The answer is in force at once, so nothing but the tasks at workers outlasts the earlier lease.
		const assuredElsewhere = isWhole(tables) ? 0 : before.assured;
		const demand = { holder, seq, leased: 0, assured: assuredElsewhere, running, queued };
		const part = grant(tables, team, demand) ?? { tasks: 0, assured: 0 };
		takePart(tables, team, part.tasks, isWhole(tables) ? part.assured : undefined, nowMs);
		hasMore ||= part.tasks > Math.max(before.tasks, before.assured);
	}
	return hasMore;
}

/** Asks the granter for some teams, if it can be reached. */
function ask(tables: EntryTables, teams: readonly string[], isRound: boolean): void {
	const { quotas, nowMs, revision, epoch } = tables;
	const sessionId = granterSession(tables);
	if (sessionId === undefined) {
		return;
	}
	quotas.pressing.clear();
	if (isRound) {
		quotas.nextAskMs = nowMs + askAgainMs;
	}
	if (teams.length === 0) {
		return;
	}
	const seq = (quotas.lastSeq += 1);
	forgetOldQuestions(tables);
	quotas.questions.set(seq, { teams, sentMs: nowMs, isRound });
	for (const team of teams) {
		quotas.leaseOf(team).askedSeq = seq;
	}
	const wanted = teams.map((team) => wantedTasks(tables, team));
	const message: QuotaDemandMessage = {
		kind: 'quotaDemand',
		revision,
		epoch,
		seq,
		teams,
		leased: teams.map((team) => quotas.partOf(team, nowMs).tasks),
		assured: teams.map((team) => quotas.partOf(team, nowMs).assured),
		running: wanted.map(({ running }) => running),
		queued: wanted.map(({ queued }) => queued),
	};
	tables.stats.countWasted('grants', teams.length);
	tables.outbox.to(sessionId).others.push(message);
}

/** Time between questions; infinite at an entry that neither places tasks nor would if one other entry were lost. */
function roundIntervalOf(tables: EntryTables, usesHome: boolean): number {
	if (isPlacing(tables, usesHome)) {
		return askIntervalMs;
	}
	return tables.quotas.isNextHome ? standbyIntervalMs : Infinity;
}

/** Whether tasks are placed here: this entry is a home, or has tasks left from a time when it was. */
function isPlacing(tables: EntryTables, usesHome: boolean): boolean {
	const isHome = [...tables.pools.values()].some((pool) => pool.home.kind === 'self' || pool.queuedTasks > 0);
	return !usesHome || isHome || tables.runningByTeam.size > 0;
}

/** Whether a team that needs more can be answered in this tick, and has not just been. */
function mayGrantAtOnce(tables: EntryTables): boolean {
	const { quotas } = tables;
	return (
		quotas.tenure !== undefined &&
		[...quotas.pressing].some((team) => quotas.leases.get(team)?.isShort !== true)
	);
}

function forgetOldQuestions({ quotas, nowMs }: EntryTables): void {
	for (const [seq, { sentMs }] of quotas.questions) {
		if (nowMs - sentMs >= quotaLeaseMs) {
			quotas.questions.delete(seq);
		}
	}
}

function wantedTasks(
	tables: EntryTables,
	team: string,
): { readonly running: number; readonly queued: number; readonly wanted: number } {
	const limit = tables.teamRows.get(team)?.maxRunningTasks ?? 0;
	const running = tables.runningByTeam.get(team) ?? 0;
	let queued = 0;
	for (const pool of tables.pools.values()) {
		queued += pool.teams.get(team)?.countTasks(limit) ?? 0;
	}
	return { running, queued, wanted: running + queued };
}
