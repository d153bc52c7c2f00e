/** The agent's core: a tick takes all waiting inputs, runs the systems in a fixed order, and returns outputs. */

import { match } from 'ts-pattern';
import type { Tables } from '../../declarations/common/tables.js';
import type { TableScope } from '../../protocol/common/keeperMessages.js';
import type { AgentInput, AgentOutput } from './agentInputs.js';
import { AgentTick, type AgentTables } from './agentTables.js';
import { nextAdmissionDeadlineMs, runAdmission } from './systems/admissionSystem.js';
import { takeEntryMessage } from './systems/entryMessageSystem.js';
import { nextUsageDeadlineMs, runUsageSampling, takeUsage } from './systems/guardSystem.js';
import { nextLeaseDeadlineMs, runLeases } from './systems/leaseSystem.js';
import {
	nextMembershipDeadlineMs,
	runMembership,
	takeAnnouncement,
	takeWithdrawal,
} from './systems/membershipSystem.js';
import { runOutcomes } from './systems/outcomeSystem.js';
import { takeRunEnd } from './systems/runSystem.js';

/** Tasks are forgotten in batches: each by this much later than it could be. */
const forgetSlackMs = 1000;

/**
 * Runs one tick. Depends only on its arguments; changes the tables.
 *
 * @param nowMs monotonic time of the tick; never less than that of the tick before
 * @example
 * const outputs = runTick(tables, [{ kind: 'withdrawn' }], clock.nowMs());
 */
export function runTick(
	tables: AgentTables,
	inputs: readonly AgentInput[],
	nowMs: number,
): readonly AgentOutput[] {
	const tick = new AgentTick(tables, nowMs);
	tables.tasks.forgetExpired(nowMs);
	for (const input of inputs) {
		takeInput(tick, input);
	}
	runLeases(tick);
	runMembership(tick);
	runAdmission(tick);
	runUsageSampling(tick);
	runOutcomes(tick);
	return tick.outputs;
}

/** When the next tick is due if no input comes before; infinite when none is. */
export function nextDeadlineMs(tables: AgentTables): number {
	return Math.min(
		nextMembershipDeadlineMs(tables),
		nextAdmissionDeadlineMs(tables),
		nextLeaseDeadlineMs(tables),
		nextUsageDeadlineMs(tables),
		tables.tasks.nextForgetAtMs + forgetSlackMs,
	);
}

function takeTables(tables: AgentTables, declarations: Tables, scope: TableScope | undefined): void {
	if (declarations.revision < tables.declarations.revision) {
		return;
	}
	const { processId } = tables.options;
	tables.declarations = declarations;
	tables.scope = scope;
	tables.poolOfRoute = new Map(declarations.routes.map((route) => [route.name, route.pool]));
	tables.poolNames = new Set(declarations.pools.map((pool) => pool.name));
	tables.isDrainedByOperator = declarations.drains.some((drain) => drain.name === processId);
}

function takeInput(tick: AgentTick, input: AgentInput): void {
	const { tables } = tick;
	match(input)
		.with({ kind: 'entryConnected' }, ({ connectionId, entryId, incarnation }) => {
			const entry = { connectionId, entryId, incarnation, isIntroduced: false, toldUsageVersion: 0 };
			tables.entries.set(connectionId, entry);
			tick.connected.add(entry);
		})
		.with({ kind: 'entryClosed' }, ({ connectionId }) => {
			tables.entries.delete(connectionId);
		})
		.with({ kind: 'entryMessage' }, (message) => {
			takeEntryMessage(tick, message);
		})
		.with({ kind: 'announced' }, ({ announcement }) => {
			takeAnnouncement(tick, announcement);
		})
		.with({ kind: 'withdrawn' }, () => {
			takeWithdrawal(tick);
		})
		.with({ kind: 'tablesChanged' }, ({ tables: declarations, scope }) => {
			takeTables(tables, declarations, scope);
		})
		.with({ kind: 'directorySeen' }, ({ epoch }) => {
			tables.firstEpoch = Math.max(tables.firstEpoch, epoch);
		})
		.with({ kind: 'drainAsked' }, () => {
			tables.isDraining = true;
		})
		.with({ kind: 'runEnded' }, (report) => {
			takeRunEnd(tick, report);
		})
		.with({ kind: 'usageSampled' }, (report) => {
			takeUsage(tick, report);
		})
		.exhaustive();
}
