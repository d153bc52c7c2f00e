/**
 * The granter of team quotas: one entry, the home of the first pool, on whose accounts every leased part of every quota
 * is. quotaSystem.ts is the side of the entries that lease. docs/PLACEMENT.md has the rules that keep the parts from
 * ever adding up to more than the quota.
 */

import type { PeerIdentity } from '../../../services/transport/common/transport.js';
import type { QuotaDemandMessage, QuotaHandOverMessage } from '../../../protocol/common/entryMessages.js';
import type { EntryRunKey, EntryTables } from '../entryTables.js';
import {
	assuredLeaseMs,
	QuotaLedger,
	quotaLeaseMs,
	type QuotaDemand,
	type QuotaPart,
} from '../quotaLedger.js';
import type { GranterTenure } from '../quotaState.js';
import { homeMember, homeOrder } from './controlSystem.js';

/** Age of the control state past which a granter grants nothing: another entry may be the granter. */
const grantAgeLimitMs = 500;
/** Time after which no lease of an earlier granter can be in force. */
const takeoverMs = grantAgeLimitMs + quotaLeaseMs;
/** Time after which no part that an earlier granter has assured can be in force. */
const wholeMs = grantAgeLimitMs + assuredLeaseMs;
/** An epoch that no directory has. */
const noEpoch = -1;

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

/** Takes another entry's question. */
export function takeQuotaDemand(
	tables: EntryTables,
	sessionId: number,
	peer: PeerIdentity,
	message: QuotaDemandMessage,
): void {
	tables.quotas.waitingDemands.push({ sessionId, holder: holderKey(peer), message });
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
function granterOf({ control }: EntryTables): EntryRunKey | undefined {
	const [firstPool] = control.tables.pools.map((row) => row.name).sort();
	return firstPool === undefined ? undefined : homeMember(firstPool, control.directory.entries);
}

/** Whether this entry is the granter for sure, and knows every lease that is in force. */
export function mayGrant({ quotas, nowMs, tablesAgeMs }: EntryTables): boolean {
	return nowMs >= (quotas.tenure?.openMs ?? Infinity) && tablesAgeMs <= grantAgeLimitMs;
}

/** Whether every assured part is on an account of this entry. */
export function isWhole({ quotas, nowMs }: EntryTables): boolean {
	return nowMs >= (quotas.tenure?.wholeMs ?? Infinity);
}

/** Answers one holder's demand for one team; undefined for a question that came late or twice. */
export function grant(tables: EntryTables, team: string, demand: QuotaDemand): QuotaPart | undefined {
	const quota = tables.teamRows.get(team)?.maxRunningTasks ?? 0;
	return ledgerOf(tables, team).grant(demand, quota, tables.nowMs, isWhole(tables));
}

/** Answers the other entries' questions of this tick. */
export function answerDemands(tables: EntryTables): void {
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

/** Session with the granter, if it is another entry that can be reached. */
export function granterSession(tables: EntryTables): number | undefined {
	const { granter } = tables.quotas;
	return granter === undefined ? undefined : tables.sessionWith(granter);
}

/** Hands the accounts of a tenure that has ended to the next granter, once it can be reached. */
export function handOverQuotas(tables: EntryTables): void {
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

/** Whether this entry would be the home of a pool if its home were lost. */
function isNextHome({ control, options }: EntryTables): boolean {
	const { entries } = control.directory;
	return control.tables.pools.some(({ name }) => homeOrder(name, entries)[1] === options.processId);
}

function ledgerOf({ quotas }: EntryTables, team: string): QuotaLedger {
	let ledger = quotas.ledgers.get(team);
	if (ledger === undefined) {
		ledger = new QuotaLedger();
		quotas.ledgers.set(team, ledger);
	}
	return ledger;
}

/** Text form of a run of an entry, for the accounts. */
export function holderKey({ processId, incarnation }: EntryRunKey): string {
	return `${processId}/${incarnation}`;
}
