/** Starts queued tasks as slots, connections, cores, memory and accelerators become free. */

import type { TaskNeeds } from '../../../protocol/common/jobs.js';
import type { AgentTables, AgentTick, UpstreamRow } from '../agentTables.js';
import type { LiveTask, TaskRecord } from '../taskRecord.js';
import { endQueued } from './taskEnds.js';
import { isAcceptingStarts } from './membershipSystem.js';

/** Connections that are kept free for stop and usage requests. */
const reservedConnections = 1;
/** Time for which later tasks may start ahead of one that waits for cores, memory or accelerators. */
const backfillWindowMs = 250;

interface FreeResources {
	slots: number;
	cores: number;
	memoryBytes: number;
	accelerators: number;
}

/** Returns whether a task of a route would fit the upstream if it were idle. */
export function fitsIdleUpstream(tables: AgentTables, route: string, declared: TaskNeeds): boolean {
	const { upstream } = tables;
	if (upstream === undefined) {
		return false;
	}
	const { cores, memoryBytes, accelerators } = upstream.offer;
	return fits(tables.routeUsage.estimate(route, declared), { slots: 1, cores, memoryBytes, accelerators });
}

/** Ends queued tasks whose start deadline has passed, and starts those that fit. */
export function startQueuedTasks(tick: AgentTick): void {
	const { tables, nowMs } = tick;
	endQueued(tick, (record) => (nowMs >= (record.live?.startByMs ?? 0) ? 'startTimePassed' : undefined));
	const { upstream, tasks } = tables;
	if (upstream === undefined || upstream.isSuspect || tasks.queue.length === 0 || !isAcceptingStarts(tick)) {
		return;
	}
	const free = computeFreeResources(tables, upstream);
	let isBackfillAllowed = true;
	tasks.queue = tasks.queue.filter((record) => {
		const { live } = record;
		if (live === undefined) {
			return false;
		}
		const needs = estimateCappedNeeds(tables, live, upstream);
		if (free.slots > 0 && isBackfillAllowed && fits(needs, free)) {
			reserve(needs, free);
			startTask(tick, record, live);
			return false;
		}
		isBackfillAllowed &&= nowMs - live.receivedAtMs < backfillWindowMs;
		return true;
	});
}

/** Returns the earliest start deadline of the queued tasks; infinite when none is queued. */
export function nextAdmissionDeadlineMs(tables: AgentTables): number {
	let deadlineMs = Infinity;
	for (const record of tables.tasks.queue) {
		deadlineMs = Math.min(deadlineMs, record.live?.startByMs ?? Infinity);
	}
	return deadlineMs;
}

function startTask(tick: AgentTick, record: TaskRecord, live: LiveTask): void {
	const { tables, nowMs } = tick;
	const runId = tables.nextRunId;
	tables.nextRunId += 1;
	tables.tasks.startRunning(record, live, runId, nowMs);
	const { submissionId, taskIndex } = record;
	const { route, team, needs, payloadJson } = live;
	const leaseMs = Math.max(1, Math.round(live.leaseEndsAtMs - nowMs));
	const run = { runId, submissionId, taskIndex, route, team, needs, payloadJson, leaseMs };
	tick.outputs.push({ kind: 'startRun', run });
}

function computeFreeResources(tables: AgentTables, upstream: UpstreamRow): FreeResources {
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
			reserve(estimateCappedNeeds(tables, live, upstream), free);
		}
	}
	return free;
}

/** Returns the expected use of a task, capped at the whole upstream, so that every queued task can start eventually. */
function estimateCappedNeeds(tables: AgentTables, live: LiveTask, upstream: UpstreamRow): TaskNeeds {
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

function reserve(needs: TaskNeeds, free: FreeResources): void {
	free.slots -= 1;
	free.cores -= needs.cores;
	free.memoryBytes -= needs.memoryBytes;
	free.accelerators -= needs.accelerators;
}
