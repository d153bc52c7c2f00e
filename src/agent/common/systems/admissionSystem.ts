/** Starts queued tasks as slots, connections, cores, memory and accelerators fall free. */

import type { TaskNeeds } from '../../../protocol/common/jobs.js';
import type { AgentTables, AgentTick, UpstreamRow } from '../agentTables.js';
import type { LiveTask, TaskRecord } from '../taskRecord.js';
import { endQueued } from './taskEnds.js';
import { isAccepting } from './membershipSystem.js';

/** A connection is kept free for stopping and measuring. */
const reservedConnections = 1;
/** Time for which smaller tasks may pass one that waits for cores, memory or accelerators. */
const maxPassedWaitMs = 250;

interface FreeResources {
	slots: number;
	cores: number;
	memoryBytes: number;
	accelerators: number;
}

/** Whether the upstream could hold a task of a route if it were idle. */
export function canEverFit(tables: AgentTables, route: string, declared: TaskNeeds): boolean {
	const { upstream } = tables;
	if (upstream === undefined) {
		return false;
	}
	const { cores, memoryBytes, accelerators } = upstream.offer;
	return fits(tables.routeUsage.estimate(route, declared), { slots: 1, cores, memoryBytes, accelerators });
}

/** Returns tasks that waited too long, and starts those that fit. */
export function runAdmission(tick: AgentTick): void {
	const { tables, nowMs } = tick;
	endQueued(tick, (record) => (nowMs >= (record.live?.startByMs ?? 0) ? 'startTimePassed' : undefined));
	const { upstream, tasks } = tables;
	if (upstream === undefined || upstream.isSuspect || tasks.queue.length === 0 || !isAccepting(tick)) {
		return;
	}
	const free = freeResources(tables, upstream);
	let isPassingOver = true;
	tasks.queue = tasks.queue.filter((record) => {
		const { live } = record;
		if (live === undefined) {
			return false;
		}
		const needs = cappedNeeds(tables, live, upstream);
		if (free.slots > 0 && isPassingOver && fits(needs, free)) {
			take(needs, free);
			start(tick, record, live);
			return false;
		}
		isPassingOver &&= nowMs - live.receivedAtMs < maxPassedWaitMs;
		return true;
	});
}

/** When the next queued task has waited too long. */
export function nextAdmissionDeadlineMs(tables: AgentTables): number {
	let deadlineMs = Infinity;
	for (const record of tables.tasks.queue) {
		deadlineMs = Math.min(deadlineMs, record.live?.startByMs ?? Infinity);
	}
	return deadlineMs;
}

function start(tick: AgentTick, record: TaskRecord, live: LiveTask): void {
	const { tables, nowMs } = tick;
	const runId = tables.nextRunId;
	tables.nextRunId += 1;
	tables.tasks.startRunning(record, live, runId, nowMs);
	const { submissionId, taskIndex } = record;
	const { route, team, needs, payloadJson } = live;
	const leaseMs = Math.max(1, Math.round(live.leaseEndsMs - nowMs));
	const run = { runId, submissionId, taskIndex, route, team, needs, payloadJson, leaseMs };
	tick.outputs.push({ kind: 'startRun', run });
}

function freeResources(tables: AgentTables, upstream: UpstreamRow): FreeResources {
	const { offer } = upstream;
	const maxRunning = Math.min(offer.slots, Math.max(1, offer.connections - reservedConnections));
	const free: FreeResources = {
		slots: maxRunning,
		cores: offer.cores,
		memoryBytes: offer.memoryBytes,
		accelerators: offer.accelerators,
	};
	for (const { live } of tables.tasks.running) {
		if (live !== undefined) {
			take(cappedNeeds(tables, live, upstream), free);
		}
	}
	return free;
}

/** What a task is expected to use, but no more than the whole upstream: a task that was admitted must get its turn. */
function cappedNeeds(tables: AgentTables, live: LiveTask, upstream: UpstreamRow): TaskNeeds {
	const { cores, memoryBytes, accelerators } = tables.routeUsage.estimate(live.route, live.needs);
	const { offer } = upstream;
	return {
		cores: Math.min(cores, offer.cores),
		memoryBytes: Math.min(memoryBytes, offer.memoryBytes),
		accelerators: Math.min(accelerators, offer.accelerators),
	};
}

function fits(needs: TaskNeeds, free: FreeResources): boolean {
	return (
		needs.cores <= free.cores &&
		needs.memoryBytes <= free.memoryBytes &&
		needs.accelerators <= free.accelerators
	);
}

function take(needs: TaskNeeds, free: FreeResources): void {
	free.slots -= 1;
	free.cores -= needs.cores;
	free.memoryBytes -= needs.memoryBytes;
	free.accelerators -= needs.accelerators;
}
