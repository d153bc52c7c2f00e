/**
 * Leases of team quotas: how many tasks of a team this entry may have at workers.
 *
 * One entry, the home of the first pool, grants the quotas of all teams. The others lease parts of them by demand, in
 * one question for all teams; no message depends on the number of tasks. docs/PLACEMENT.md has the rules that keep the
 * parts from ever adding up to more than the quota.
 */

import { rendezvousOrder } from '../../../base/common/rendezvous.js';
import type { PeerIdentity } from '../../../platform/transport/common/transport.js';
import type {
	QuotaDemandMessage,
	QuotaGrantMessage,
	QuotaHandOverMessage,
} from '../../../protocol/common/entryMessages.js';
import type { EntryTables } from '../entryTables.js';
import {
	assuredLeaseMs,
	QuotaLedger,
	quotaLeaseMs,
	type QuotaDemand,
	type QuotaPart,
} from '../quotaLedger.js';
import type { GranterTenure } from '../quotaState.js';
import { homeOf } from './controlSystem.js';

/** Age of the control state past which a granter grants nothing: another entry may be the granter. */
const grantAgeLimitMs = 500;
/** Time after which no lease of an earlier granter can be in force. */
const takeoverMs = grantAgeLimitMs + quotaLeaseMs;
/** Time after which no part that an earlier granter has assured can be in force. */
const wholeMs = grantAgeLimitMs + assuredLeaseMs;
/** An epoch that no directory has. */
const noEpoch = -1;
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

/** Takes account of a newer control state: this entry may have become the granter, or ceased to be. */
export function followGranter(tables: EntryTables): void {
	const { quotas, nowMs } = tables;
	const { processId, incarnation } = tables.options;
	quotas.isNextHome = isNextHome(tables);
	const before = quotas.granter;
	const granter = granterOf(tables);
	if (granter?.processId === before?.processId && granter?.incarnation === before?.incarnation) {
		return;
	}
	quotas.granter = granter;
	quotas.nextAskMs = nowMs;
	if (granter?.processId === processId && granter.incarnation === incarnation) {
		quotas.tenure = beginTenure(tables);
		quotas.lastTenure = undefined;
		takeEarlyHandOver(tables);
		return;
	}
	quotas.lastTenure = quotas.tenure;
	quotas.tenure = undefined;
}

/**
 * Begins the granter's tenure anew if another entry may have granted quotas while this one was frozen or cut off. One
 * that did was the granter for as long as a takeover takes.
 *
 * @param lastTickMs time of the last tick
 * @param lastAgeMs age of the control state then
 */
export function noteBlindness(tables: EntryTables, lastTickMs: number, lastAgeMs: number): void {
	if (tables.quotas.tenure !== undefined && lastAgeMs + tables.nowMs - lastTickMs >= takeoverMs) {
		// No hand-over can end this wait: it would be from before the blindness.
		tables.quotas.tenure = { ...closedTenure(tables), epoch: noEpoch };
	}
}

function beginTenure(tables: EntryTables): GranterTenure {
	const { epoch, revision, control, nowMs } = tables;
	// Under the first directory and tables of all, or alone in the first directory, no other can have been the granter.
	const isFirst = epoch <= 1 && (revision <= 1 || control.directory.entries.length === 1);
	return isFirst ? { ...closedTenure(tables), openMs: nowMs, wholeMs: nowMs } : closedTenure(tables);
}

function closedTenure({ epoch, revision, nowMs }: EntryTables): GranterTenure {
	return { epoch, revision, openMs: nowMs + takeoverMs, wholeMs: nowMs + wholeMs };
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
	quotas.roundIntervalMs = intervalMs;
	quotas.nextPromptMs = nowMs + promptIntervalMs;
	if (quotas.tenure !== undefined) {
		return grantToSelf(tables, teams, isRound);
	}
	ask(tables, teams, isRound);
	return false;
}

/** Takes another entry's question. */
export function takeQuotaDemand(
	tables: EntryTables,
	sessionId: number,
	peer: PeerIdentity,
	message: QuotaDemandMessage,
): void {
	tables.quotas.waitingDemands.push({ sessionId, holder: holderKey(peer), message });
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

/** Takes the accounts of the granter before this one, which grants no more. */
export function takeQuotaHandOver(tables: EntryTables, message: QuotaHandOverMessage): void {
	const { quotas, nowMs } = tables;
	if (message.epoch > tables.epoch) {
		quotas.earlyHandOver = message;
		return;
	}
	const { tenure } = quotas;
	if (tenure === undefined || nowMs >= tenure.openMs) {
		return;
	}
	if (message.epoch !== tenure.epoch || message.revision < tenure.revision) {
		// Another granter may have come between.
		return;
	}
	for (const { team, parts } of message.teams) {
		const ledger = ledgerOf(tables, team);
		for (const part of parts) {
			ledger.take(part, nowMs);
		}
	}
	tenure.openMs = Math.min(tenure.openMs, nowMs + message.closedForMs);
	tenure.wholeMs = Math.min(tenure.wholeMs, nowMs + message.unknownForMs);
	quotas.nextAskMs = nowMs;
}

/** Takes a hand-over that came before the directory that makes this entry the granter. */
function takeEarlyHandOver(tables: EntryTables): void {
	const early = tables.quotas.earlyHandOver;
	tables.quotas.earlyHandOver = undefined;
	if (early?.epoch === tables.epoch) {
		takeQuotaHandOver(tables, early);
	}
}

/**
 * The entry that every entry with the same control state takes for the granter: the home of the first pool, so that
 * where there is one pool its home asks nobody.
 */
function granterOf(
	tables: EntryTables,
): { readonly processId: string; readonly incarnation: string } | undefined {
	const { control } = tables;
	const [firstPool] = control.tables.pools.map((row) => row.name).sort();
	if (firstPool === undefined) {
		return undefined;
	}
	const home = homeOf(firstPool, control.directory.entries, tables.options.processId);
	const name = home.kind === 'self' ? tables.options.processId : home.kind === 'other' && home.processId;
	return control.directory.entries.find((entry) => entry.processId === name);
}

/** Whether this entry is the granter for sure, and knows every lease that is in force. */
function mayGrant({ quotas, nowMs, tablesAgeMs }: EntryTables): boolean {
	return nowMs >= (quotas.tenure?.openMs ?? Infinity) && tablesAgeMs <= grantAgeLimitMs;
}

/** Whether every assured part is on an account of this entry. */
function isWhole({ quotas, nowMs }: EntryTables): boolean {
	return nowMs >= (quotas.tenure?.wholeMs ?? Infinity);
}

function grant(tables: EntryTables, team: string, demand: QuotaDemand): QuotaPart | undefined {
	const quota = tables.teamRows.get(team)?.maxRunningTasks ?? 0;
	return ledgerOf(tables, team).grant(demand, quota, tables.nowMs, isWhole(tables));
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

function answerDemands(tables: EntryTables): void {
	const { quotas, revision, epoch } = tables;
	for (const { sessionId, holder, message } of quotas.waitingDemands.splice(0)) {
		if (!mayGrant(tables)) {
			continue;
		}
		const { seq, teams } = message;
		const parts = teams.map((team, index) => {
			const leased = message.leased[index] ?? 0;
			const assured = message.assured[index] ?? 0;
			const running = message.running[index] ?? 0;
			const queued = message.queued[index] ?? 0;
			return grant(tables, team, { holder, seq, leased, assured, running, queued });
		});
		const tasks = parts.map((part) => part?.tasks ?? null);
		const assured = parts.map((part) => (isWhole(tables) ? (part?.assured ?? null) : null));
		tables.stats.countWasted('grants', teams.length);
		tables.outbox.to(sessionId).others.push({ kind: 'quotaGrant', revision, epoch, seq, tasks, assured });
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

function granterSession({ quotas, entrySessions, sessions }: EntryTables): number | undefined {
	const { granter } = quotas;
	const sessionId = granter === undefined ? undefined : entrySessions.get(granter.processId);
	if (sessionId === undefined || sessions.get(sessionId)?.incarnation !== granter?.incarnation) {
		return undefined;
	}
	return sessionId;
}

function handOverQuotas(tables: EntryTables): void {
	const { quotas, nowMs, revision, epoch } = tables;
	const sessionId = granterSession(tables);
	if (quotas.lastTenure === undefined || sessionId === undefined) {
		return;
	}
	const teams = [...quotas.ledgers].map(([team, ledger]) => ({ team, parts: ledger.partsAt(nowMs) }));
	tables.stats.countWasted('handOvers', teams.length);
	const closedForMs = Math.max(0, quotas.lastTenure.openMs - nowMs);
	const unknownForMs = Math.max(0, quotas.lastTenure.wholeMs - nowMs);
	quotas.ledgers.clear();
	quotas.lastTenure = undefined;
	const message = { kind: 'quotaHandOver', revision, epoch, closedForMs, unknownForMs, teams } as const;
	tables.outbox.to(sessionId).others.push(message);
}

/** Time between questions; infinite at an entry that neither places tasks nor would if one other entry were lost. */
function roundIntervalOf(tables: EntryTables, usesHome: boolean): number {
	if (isPlacing(tables, usesHome)) {
		return askIntervalMs;
	}
	return tables.quotas.isNextHome ? standbyIntervalMs : Infinity;
}

/** Whether this entry would be the home of a pool if its home were lost. */
function isNextHome({ control, options }: EntryTables): boolean {
	const names = control.directory.entries
		.filter((entry) => !entry.isDraining)
		.map((entry) => entry.processId);
	return control.tables.pools.some(({ name }) => rendezvousOrder(name, names)[1] === options.processId);
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

function ledgerOf({ quotas }: EntryTables, team: string): QuotaLedger {
	let ledger = quotas.ledgers.get(team);
	if (ledger === undefined) {
		ledger = new QuotaLedger();
		quotas.ledgers.set(team, ledger);
	}
	return ledger;
}

function holderKey({ processId, incarnation }: { processId: string; incarnation: string }): string {
	return `${processId}/${incarnation}`;
}
