/**
 * Grants parts of the team quotas to entries. The granter is one entry, the home of the first pool; its ledgers record
 * every leased part of every quota. The quota lease system is the lessee's side. docs/PLACEMENT.md has the rules that
 * keep the parts from ever adding up to more than the quota.
 */

import type { PeerIdentity } from '../../../services/transport/common/transport.js';
import type { QuotaDemandMessage, QuotaHandOverMessage } from '../../../protocol/common/entryMessages.js';
import type { EntryIncarnation, EntryTables } from '../entryTables.js';
import {
	assuredLeaseMs,
	QuotaLedger,
	quotaLeaseMs,
	type QuotaDemand,
	type QuotaPart,
} from '../quotaLedger.js';
import type { GranterTenure } from '../quotaState.js';
import { homeMember, homeOrder } from './controlSystem.js';

/** Age of the control state beyond which a granter grants nothing, because another entry may be the granter. */
const maxTablesAgeToGrantMs = 500;
/** Time after which every lease of an earlier granter has ended. */
const leaseTakeoverMs = maxTablesAgeToGrantMs + quotaLeaseMs;
/** Time after which every part that an earlier granter has assured has ended. */
const assuredTakeoverMs = maxTablesAgeToGrantMs + assuredLeaseMs;
/** Epoch that no directory has, so that no hand-over matches it. */
const noEpoch = -1;

/** Determines the granter after a change of the control state, and begins or ends this entry's tenure. */
export function updateGranter(tables: EntryTables): void {
	const { quotas, nowMs } = tables;
	const { processId, incarnation } = tables.options;
	quotas.isNextHome = isNextHomeOfAnyPool(tables);
	const before = quotas.granter;
	const granter = granterOf(tables);
	if (granter?.processId === before?.processId && granter?.incarnation === before?.incarnation) {
		return;
	}
	quotas.granter = granter;
	quotas.nextRoundMs = nowMs;
	if (granter?.processId === processId && granter.incarnation === incarnation) {
		quotas.tenure = beginGranterTenure(tables);
		quotas.endedTenure = undefined;
		applyEarlyQuotaHandOver(tables);
		return;
	}
	quotas.endedTenure = quotas.tenure;
	quotas.tenure = undefined;
}

/**
 * Restarts the granter's tenure if another entry may have granted quotas while this one was frozen or cut off. Another
 * entry can only have done so after being the granter for the time that a takeover of the leases takes.
 *
 * @param lastTickMs time of the last tick
 * @param lastAgeMs age of the control state at the last tick
 */
export function restartTenureAfterGap(tables: EntryTables, lastTickMs: number, lastAgeMs: number): void {
	if (tables.quotas.tenure !== undefined && lastAgeMs + tables.nowMs - lastTickMs >= leaseTakeoverMs) {
		// No hand-over may shorten this wait, because it would date from before the gap.
		tables.quotas.tenure = { ...tenureAwaitingTakeover(tables), epoch: noEpoch };
	}
}

/** Returns a new tenure, which may grant at once if there can't have been an earlier granter. */
function beginGranterTenure(tables: EntryTables): GranterTenure {
	const { epoch, revision, control, nowMs } = tables;
	// Under the first directory, and with the first tables or as the only entry, there was no earlier granter.
	const isFirst = epoch <= 1 && (revision <= 1 || control.directory.entries.length === 1);
	return isFirst
		? { ...tenureAwaitingTakeover(tables), leasesKnownFromMs: nowMs, assuredPartsKnownFromMs: nowMs }
		: tenureAwaitingTakeover(tables);
}

/** Returns a tenure that grants nothing until every lease of an earlier granter has ended. */
function tenureAwaitingTakeover({ epoch, revision, nowMs }: EntryTables): GranterTenure {
	return {
		epoch,
		revision,
		leasesKnownFromMs: nowMs + leaseTakeoverMs,
		assuredPartsKnownFromMs: nowMs + assuredTakeoverMs,
	};
}

/** Queues another entry's demand until all input of the tick has been applied. */
export function queueQuotaDemand(
	tables: EntryTables,
	sessionId: number,
	peer: PeerIdentity,
	message: QuotaDemandMessage,
): void {
	tables.quotas.waitingDemands.push({ sessionId, holder: holderKey(peer), message });
}

/** Applies the ledgers that the previous granter, which no longer grants, has handed over. */
export function applyQuotaHandOver(tables: EntryTables, message: QuotaHandOverMessage): void {
	const { quotas, nowMs } = tables;
	if (message.epoch > tables.epoch) {
		quotas.earlyHandOver = message;
		return;
	}
	const { tenure } = quotas;
	if (tenure === undefined || nowMs >= tenure.leasesKnownFromMs) {
		return;
	}
	if (message.epoch !== tenure.epoch || message.revision < tenure.revision) {
		// There may have been another granter in between.
		return;
	}
	for (const { team, parts } of message.teams) {
		const ledger = ledgerOf(tables, team);
		for (const part of parts) {
			ledger.takeOver(part, nowMs);
		}
	}
	tenure.leasesKnownFromMs = Math.min(tenure.leasesKnownFromMs, nowMs + message.closedForMs);
	tenure.assuredPartsKnownFromMs = Math.min(tenure.assuredPartsKnownFromMs, nowMs + message.unknownForMs);
	quotas.nextRoundMs = nowMs;
}

/** Applies a hand-over that arrived before the directory that makes this entry the granter. */
function applyEarlyQuotaHandOver(tables: EntryTables): void {
	const early = tables.quotas.earlyHandOver;
	tables.quotas.earlyHandOver = undefined;
	if (early?.epoch === tables.epoch) {
		applyQuotaHandOver(tables, early);
	}
}

/**
 * Returns the granter, which is the same at all entries with the same control state. It is the home of the first pool
 * by name, so that in a system with one pool the home needs no other entry.
 */
function granterOf({ control }: EntryTables): EntryIncarnation | undefined {
	const [firstPool] = control.tables.pools.map((row) => row.name).sort();
	return firstPool === undefined ? undefined : homeMember(firstPool, control.directory.entries);
}

/** Whether this entry is certainly the granter and knows every lease that is in force. */
export function mayGrant({ quotas, nowMs, tablesAgeMs }: EntryTables): boolean {
	return nowMs >= (quotas.tenure?.leasesKnownFromMs ?? Infinity) && tablesAgeMs <= maxTablesAgeToGrantMs;
}

/** Whether this entry's ledgers hold every assured part that is in force. */
export function knowsEveryAssuredPart({ quotas, nowMs }: EntryTables): boolean {
	return nowMs >= (quotas.tenure?.assuredPartsKnownFromMs ?? Infinity);
}

/** Grants a part of a team's quota to one holder. Returns undefined for a demand that arrived late or twice. */
export function grantPart(tables: EntryTables, team: string, demand: QuotaDemand): QuotaPart | undefined {
	const quota = tables.teamRows.get(team)?.maxRunningTasks ?? 0;
	return ledgerOf(tables, team).grant(demand, quota, tables.nowMs, knowsEveryAssuredPart(tables));
}

/** Answers the other entries' demands. Those that arrive while this entry may not grant are dropped. */
export function answerQuotaDemands(tables: EntryTables): void {
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
			return grantPart(tables, team, { holder, seq, leased, assured, running, queued });
		});
		const tasks = parts.map((part) => part?.tasks ?? null);
		const assured = parts.map((part) => (knowsEveryAssuredPart(tables) ? (part?.assured ?? null) : null));
		tables.stats.countWasted('grants', teams.length);
		tables.outbox
			.forSession(sessionId)
			.otherEntryMessages.push({ kind: 'quotaGrant', revision, epoch, seq, tasks, assured });
	}
}

/** Returns the session with the granter, if it is another entry and connected. */
export function granterSessionId(tables: EntryTables): number | undefined {
	const { granter } = tables.quotas;
	return granter === undefined ? undefined : tables.findSession(granter);
}

/** Hands the ledgers of an ended tenure over to the next granter, once it is connected. */
export function handOverQuotaLedgers(tables: EntryTables): void {
	const { quotas, nowMs, revision, epoch } = tables;
	const sessionId = granterSessionId(tables);
	if (quotas.endedTenure === undefined || sessionId === undefined) {
		return;
	}
	const teams = [...quotas.ledgers].map(([team, ledger]) => ({ team, parts: ledger.leasedPartsAt(nowMs) }));
	tables.stats.countWasted('handOvers', teams.length);
	const closedForMs = Math.max(0, quotas.endedTenure.leasesKnownFromMs - nowMs);
	const unknownForMs = Math.max(0, quotas.endedTenure.assuredPartsKnownFromMs - nowMs);
	quotas.ledgers.clear();
	quotas.endedTenure = undefined;
	const message = { kind: 'quotaHandOver', revision, epoch, closedForMs, unknownForMs, teams } as const;
	tables.outbox.forSession(sessionId).otherEntryMessages.push(message);
}

/** Whether this entry would become the home of some pool if that pool's home were lost. */
function isNextHomeOfAnyPool({ control, options }: EntryTables): boolean {
	const { entries } = control.directory;
	return control.tables.pools.some(({ name }) => homeOrder(name, entries)[1] === options.processId);
}

/** Returns a team's ledger, which is created on first use. */
function ledgerOf({ quotas }: EntryTables, team: string): QuotaLedger {
	let ledger = quotas.ledgers.get(team);
	if (ledger === undefined) {
		ledger = new QuotaLedger();
		quotas.ledgers.set(team, ledger);
	}
	return ledger;
}

/** Returns the key that identifies an incarnation of an entry in the ledgers. */
export function holderKey({ processId, incarnation }: EntryIncarnation): string {
	return `${processId}/${incarnation}`;
}
