/** Core of the agent: each tick handles all pending inputs, runs the systems in a fixed order, and returns outputs. */

import { match } from 'ts-pattern';
import type { Tables } from '../../declarations/common/tables.js';
import type { TableScope } from '../../protocol/common/keeperMessages.js';
import type { AgentInput, AgentOutput } from './agentInputs.js';
import { AgentTick, type AgentTables } from './agentTables.js';
import { nextAdmissionDeadlineMs, startQueuedTasks } from './systems/admissionSystem.js';
import { handleEntryMessage } from './systems/entryMessageSystem.js';
import { handleUsageSamples, nextUsageSampleDeadlineMs, requestUsageSample } from './systems/guardSystem.js';
import { enforceLeases, nextLeaseDeadlineMs } from './systems/leaseSystem.js';
import {
	handleAnnouncement,
	handleWithdrawal,
	nextMembershipDeadlineMs,
	updateMembership,
} from './systems/membershipSystem.js';
import { sendOutcomes } from './systems/outcomeSystem.js';
import { handleRunEnd } from './systems/runSystem.js';

/** Longest time by which a task is forgotten late, so that expired tasks are removed in batches. */
const maxForgetDelayMs = 1000;

/**
 * Runs one tick: changes the tables and returns the outputs. The result depends only on the arguments.
 *
 * @param nowMs monotonic time of the tick; never less than that of the previous tick
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
		handleInput(tick, input);
	}
	enforceLeases(tick);
	updateMembership(tick);
	startQueuedTasks(tick);
	requestUsageSample(tick);
	sendOutcomes(tick);
	return tick.outputs;
}

/** Returns the time at which the next tick is due if no input arrives before; infinite when none is due. */
export function nextDeadlineMs(tables: AgentTables): number {
	return Math.min(
		nextMembershipDeadlineMs(tables),
		nextAdmissionDeadlineMs(tables),
		nextLeaseDeadlineMs(tables),
		nextUsageSampleDeadlineMs(tables),
		tables.tasks.nextForgetAtMs + maxForgetDelayMs,
	);
}

function applyDeclarations(tables: AgentTables, declarations: Tables, scope: TableScope | undefined): void {
	if (declarations.revision < tables.declarations.revision) {
		return;
	}
	const { processId } = tables.options;
	tables.declarations = declarations;
	tables.scope = scope;
	tables.poolByRoute = new Map(declarations.routes.map((route) => [route.name, route.pool]));
	tables.poolNames = new Set(declarations.pools.map((pool) => pool.name));
	tables.isDrainedByOperator = declarations.drains.some((drain) => drain.name === processId);
}

function handleInput(tick: AgentTick, input: AgentInput): void {
	const { tables } = tick;
	match(input)
		.with({ kind: 'entryConnected' }, ({ connectionId, entryId, incarnation }) => {
			const entry = { connectionId, entryId, incarnation, isInitialStateSent: false, sentUsageVersion: 0 };
			tables.entries.set(connectionId, entry);
			tick.newConnections.add(entry);
		})
		.with({ kind: 'entryClosed' }, ({ connectionId }) => {
			tables.entries.delete(connectionId);
		})
		.with({ kind: 'entryMessage' }, (message) => {
			handleEntryMessage(tick, message);
		})
		.with({ kind: 'announced' }, ({ announcement }) => {
			handleAnnouncement(tick, announcement);
		})
		.with({ kind: 'withdrawn' }, () => {
			handleWithdrawal(tick);
		})
		.with({ kind: 'tablesChanged' }, ({ tables: declarations, scope }) => {
			applyDeclarations(tables, declarations, scope);
		})
		.with({ kind: 'directorySeen' }, ({ epoch }) => {
			tables.firstDirectoryEpoch = Math.max(tables.firstDirectoryEpoch, epoch);
		})
		.with({ kind: 'drainAsked' }, () => {
			tables.isDraining = true;
		})
		.with({ kind: 'runEnded' }, (report) => {
			handleRunEnd(tick, report);
		})
		.with({ kind: 'usageSampled' }, (report) => {
			handleUsageSamples(tick, report);
		})
		.exhaustive();
}
