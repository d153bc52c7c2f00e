/**
 * Overload guard: throttles or stops tasks that use more than their share of an overloaded upstream. It decides by
 * measured use only, since declared sizes are far off. Samples arrive late, so after each action the guard waits for a
 * sample that was measured after it.
 */

import type { AgentInput } from '../agentInputs.js';
import type { AgentTables, AgentTick, UpstreamRow } from '../agentTables.js';
import type { LiveTask, TaskRecord, TaskUsage } from '../taskRecord.js';
import { requestStop } from './taskEnds.js';

/** Time between usage samples while tasks run. */
const usageSampleIntervalMs = 500;
/** Share of the upstream's memory above which the task that uses the most is checkpointed. */
const checkpointMemoryShare = 0.9;
/** Share of the upstream's cores below which throttled tasks are released. */
const releaseCoresShare = 0.8;

type UsageInput = Extract<AgentInput, { kind: 'usageSampled' }>;
type RunningTask = TaskRecord & { readonly live: LiveTask };

/** Requests a usage sample when one is due. */
export function requestUsageSample(tick: AgentTick): void {
	const { tables, nowMs } = tick;
	if (tables.tasks.runningCount === 0) {
		tables.nextUsageSampleAtMs = Infinity;
		return;
	}
	if (tables.nextUsageSampleAtMs === Infinity) {
		tables.nextUsageSampleAtMs = nowMs + usageSampleIntervalMs;
		return;
	}
	if (nowMs >= tables.nextUsageSampleAtMs) {
		tables.nextUsageSampleAtMs = nowMs + usageSampleIntervalMs;
		tick.outputs.push({ kind: 'sampleUsage' });
	}
}

/** Returns the time at which the next sample is due; infinite while nothing runs. */
export function nextUsageSampleDeadlineMs(tables: AgentTables): number {
	return tables.nextUsageSampleAtMs;
}

/** Records a usage sample, and acts on an overload of the upstream that it shows. */
export function handleUsageSamples(tick: AgentTick, input: UsageInput): void {
	const { tables, nowMs } = tick;
	let newestAtMs = -Infinity;
	for (const sample of input.samples) {
		const live = tables.tasks.get(sample)?.live;
		if (live?.startedAtMs === undefined) {
			continue;
		}
		recordUsage(live, sample);
		newestAtMs = Math.max(newestAtMs, nowMs - sample.ageMs);
	}
	const { upstream } = tables;
	if (upstream === undefined || newestAtMs <= tables.lastGuardActionAtMs) {
		return;
	}
	const running = [...tables.tasks.running].filter(isNotStopping);
	if (limitMemoryUse(tick, upstream, running) || limitCoreUse(tick, upstream, running)) {
		tables.lastGuardActionAtMs = nowMs;
	}
}

/** Records the latest use of cores and the greatest use of memory of a task. */
export function recordUsage(live: LiveTask, usage: TaskUsage | undefined): void {
	if (usage !== undefined) {
		const memoryBytes = Math.max(usage.memoryBytes, live.usage?.memoryBytes ?? 0);
		live.usage = { cores: usage.cores, memoryBytes };
	}
}

/** Adds the measured use of an ended task to its route's estimate, unless the task is throttled. */
export function addToRouteEstimate(tables: AgentTables, live: LiveTask): void {
	if (live.usage !== undefined && live.throttleShare === 1) {
		tables.routeUsage.addSample(live.route, live.usage);
	}
}

/**
 * Checkpoints the task that is furthest over its share of memory, or stops it when the limit is exceeded. Returns
 * whether it acted.
 */
function limitMemoryUse(tick: AgentTick, upstream: UpstreamRow, running: readonly RunningTask[]): boolean {
	const limitBytes = upstream.offer.memoryBytes;
	const usedBytes = sumUsage(running, (usage) => usage.memoryBytes);
	if (usedBytes <= limitBytes * checkpointMemoryShare) {
		return false;
	}
	const shareBytes = limitBytes / upstream.offer.slots;
	const greatest = findGreatestAbove(running, shareBytes, (usage) => usage.memoryBytes);
	if (greatest === undefined) {
		return false;
	}
	const { live } = greatest;
	if (usedBytes > limitBytes) {
		tick.log('warn', 'guard.stopped', { route: live.route, usedBytes, limitBytes });
		requestStop(tick, greatest, 'The task used more than its share of memory on an overloaded upstream.');
		return true;
	}
	if (live.isCheckpointRequested || live.runId === undefined) {
		return false;
	}
	live.isCheckpointRequested = true;
	tick.outputs.push({ kind: 'checkpointRun', runId: live.runId });
	return true;
}

/**
 * Throttles the task that is furthest over its share of cores, or releases a throttled task once enough cores are
 * free. Returns whether it acted.
 */
function limitCoreUse(tick: AgentTick, upstream: UpstreamRow, running: readonly RunningTask[]): boolean {
	const limitCores = upstream.offer.cores;
	const usedCores = sumUsage(running, (usage) => usage.cores);
	const shareCores = limitCores / upstream.offer.slots;
	if (usedCores > limitCores) {
		const candidates = running.filter(({ live }) => live.throttleShare === 1);
		const greatest = findGreatestAbove(candidates, shareCores, (usage) => usage.cores);
		if (greatest === undefined) {
			return false;
		}
		const { live } = greatest;
		tick.log('warn', 'guard.throttled', { route: live.route, usedCores, limitCores });
		setThrottle(tick, live, shareCores / (live.usage?.cores ?? shareCores));
		return true;
	}
	const throttled = running.find(({ live }) => live.throttleShare < 1);
	if (throttled === undefined || usedCores >= limitCores * releaseCoresShare) {
		return false;
	}
	setThrottle(tick, throttled.live, 1);
	return true;
}

function setThrottle(tick: AgentTick, live: LiveTask, share: number): void {
	live.throttleShare = share;
	if (live.runId !== undefined) {
		tick.outputs.push({ kind: 'throttleRun', runId: live.runId, share });
	}
}

function isNotStopping(record: TaskRecord): record is RunningTask {
	return record.live !== undefined && record.live.stopRequestedAtMs === undefined;
}

function sumUsage(running: readonly RunningTask[], valueOf: (usage: TaskUsage) => number): number {
	return running.reduce((sum, { live }) => sum + (live.usage === undefined ? 0 : valueOf(live.usage)), 0);
}

/** Returns the task with the greatest use above a share; undefined when none is above it. */
function findGreatestAbove(
	running: readonly RunningTask[],
	share: number,
	valueOf: (usage: TaskUsage) => number,
): RunningTask | undefined {
	let greatest: RunningTask | undefined;
	let greatestValue = share;
	for (const record of running) {
		const value = record.live.usage === undefined ? 0 : valueOf(record.live.usage);
		if (value > greatestValue) {
			greatest = record;
			greatestValue = value;
		}
	}
	return greatest;
}
