/**
 * Guards: tasks that use more than their share of an overloaded upstream are throttled or stopped. Decisions rest on
 * measured use alone, since declared sizes are far off. Use arrives late, so after each action the guards wait for a
 * sample that was measured after it.
 */

import type { AgentInput } from '../agentInputs.js';
import type { AgentTables, AgentTick, UpstreamRow } from '../agentTables.js';
import type { LiveTask, TaskRecord, TaskUsage } from '../taskRecord.js';
import { stopRunning } from './taskEnds.js';

/** Time between samples while tasks run. */
const usageIntervalMs = 500;
/** Share of the upstream's memory at which the greatest task is checkpointed. */
const checkpointMemoryShare = 0.9;
/** Share of the upstream's cores below which throttled tasks are released. */
const releaseCoresShare = 0.8;

type UsageInput = Extract<AgentInput, { kind: 'usageSampled' }>;
type RunningTask = TaskRecord & { readonly live: LiveTask };

/** Asks for a sample when one is due. */
export function runUsageSampling(tick: AgentTick): void {
	const { tables, nowMs } = tick;
	if (tables.tasks.runningCount === 0) {
		tables.nextUsageSampleAtMs = Infinity;
		return;
	}
	if (tables.nextUsageSampleAtMs === Infinity) {
		tables.nextUsageSampleAtMs = nowMs + usageIntervalMs;
		return;
	}
	if (nowMs >= tables.nextUsageSampleAtMs) {
		tables.nextUsageSampleAtMs = nowMs + usageIntervalMs;
		tick.outputs.push({ kind: 'sampleUsage' });
	}
}

/** When the next sample is due; never while nothing runs. */
export function nextUsageDeadlineMs(tables: AgentTables): number {
	return tables.nextUsageSampleAtMs;
}

/** Takes a sample, and guards the upstream by it. */
export function takeUsage(tick: AgentTick, input: UsageInput): void {
	const { tables, nowMs } = tick;
	let newestAtMs = -Infinity;
	for (const sample of input.samples) {
		const live = tables.tasks.get(sample)?.live;
		if (live?.startedAtMs === undefined) {
			continue;
		}
		noteUsage(live, sample);
		newestAtMs = Math.max(newestAtMs, nowMs - sample.ageMs);
	}
	const { upstream } = tables;
	if (upstream === undefined || newestAtMs <= tables.guardActedAtMs) {
		return;
	}
	const running = [...tables.tasks.running].filter(isRunning);
	if (guardMemory(tick, upstream, running) || guardCores(tick, upstream, running)) {
		tables.guardActedAtMs = nowMs;
	}
}

/** Keeps the latest use of cores and the greatest use of memory. */
export function noteUsage(live: LiveTask, usage: TaskUsage | undefined): void {
	if (usage !== undefined) {
		const memoryBytes = Math.max(usage.memoryBytes, live.usage?.memoryBytes ?? 0);
		live.usage = { cores: usage.cores, memoryBytes };
	}
}

/** Remembers what an ended task was measured to use. */
export function learnUsage(tables: AgentTables, live: LiveTask): void {
	if (live.usage !== undefined && live.throttleShare === 1) {
		tables.routeUsage.add(live.route, live.usage);
	}
}

/** Checkpoints, and past the limit stops, the task furthest over its share of memory. */
function guardMemory(tick: AgentTick, upstream: UpstreamRow, running: readonly RunningTask[]): boolean {
	const limitBytes = upstream.offer.memoryBytes;
	const usedBytes = total(running, (usage) => usage.memoryBytes);
	if (usedBytes <= limitBytes * checkpointMemoryShare) {
		return false;
	}
	const shareBytes = limitBytes / upstream.offer.slots;
	const greatest = greatestOver(running, shareBytes, (usage) => usage.memoryBytes);
	if (greatest === undefined) {
		return false;
	}
	const { live } = greatest;
	if (usedBytes > limitBytes) {
		tick.log('warn', 'guard.stopped', { route: live.route, usedBytes, limitBytes });
		stopRunning(tick, greatest, 'The task used more than its share of memory on an overloaded upstream.');
		return true;
	}
	if (live.isCheckpointed || live.runId === undefined) {
		return false;
	}
	live.isCheckpointed = true;
	tick.outputs.push({ kind: 'checkpointRun', runId: live.runId });
	return true;
}

/** Throttles the task furthest over its share of cores, and releases throttled ones when there is room again. */
function guardCores(tick: AgentTick, upstream: UpstreamRow, running: readonly RunningTask[]): boolean {
	const limitCores = upstream.offer.cores;
	const usedCores = total(running, (usage) => usage.cores);
	const shareCores = limitCores / upstream.offer.slots;
	if (usedCores > limitCores) {
		const candidates = running.filter(({ live }) => live.throttleShare === 1);
		const greatest = greatestOver(candidates, shareCores, (usage) => usage.cores);
		if (greatest === undefined) {
			return false;
		}
		const { live } = greatest;
		tick.log('warn', 'guard.throttled', { route: live.route, usedCores, limitCores });
		throttle(tick, live, shareCores / (live.usage?.cores ?? shareCores));
		return true;
	}
	const throttled = running.find(({ live }) => live.throttleShare < 1);
	if (throttled === undefined || usedCores >= limitCores * releaseCoresShare) {
		return false;
	}
	throttle(tick, throttled.live, 1);
	return true;
}

function throttle(tick: AgentTick, live: LiveTask, share: number): void {
	live.throttleShare = share;
	if (live.runId !== undefined) {
		tick.outputs.push({ kind: 'throttleRun', runId: live.runId, share });
	}
}

function isRunning(record: TaskRecord): record is RunningTask {
	return record.live !== undefined && record.live.stopAskedAtMs === undefined;
}

function total(running: readonly RunningTask[], valueOf: (usage: TaskUsage) => number): number {
	return running.reduce((sum, { live }) => sum + (live.usage === undefined ? 0 : valueOf(live.usage)), 0);
}

function greatestOver(
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
