/** Enforces leases of running tasks: a checkpoint shortly before the end, a stop at the end, a timeout for the stop. */

import type { AgentTables, AgentTick } from '../agentTables.js';
import { endTask, requestStop, runDurationMs } from './taskEnds.js';

/** Time before the end of a lease at which the upstream is asked to save the task's progress. */
const checkpointLeadMs = 500;
/** Shortest lease that gets a checkpoint before its end. */
const minLeaseForCheckpointMs = 2000;
/** Time within which the upstream must confirm a stop. */
const stopTimeoutMs = 3000;

/** Checkpoints and stops tasks whose lease ends, and abandons those whose stop was not confirmed in time. */
export function enforceLeases(tick: AgentTick): void {
	const { nowMs } = tick;
	for (const record of [...tick.tables.tasks.running]) {
		const { live } = record;
		if (live?.runId === undefined) {
			continue;
		}
		if (live.stopRequestedAtMs !== undefined && nowMs >= live.stopRequestedAtMs + stopTimeoutMs) {
			const { runId, stopMessage } = live;
			const message = `${stopMessage} The upstream did not confirm the stop within ${stopTimeoutMs} ms.`;
			tick.log('warn', 'task.stopUnconfirmed', { route: live.route, runMs: runDurationMs(tick, record) });
			endTask(tick, record, { state: 'unknown', message });
			tick.outputs.push({ kind: 'abandonRun', runId });
			continue;
		}
		if (nowMs >= live.leaseEndsAtMs) {
			requestStop(tick, record, 'The lease of the task has ended.');
			continue;
		}
		if (!live.isCheckpointRequested && nowMs >= checkpointTimeMs(live.receivedAtMs, live.leaseEndsAtMs)) {
			live.isCheckpointRequested = true;
			tick.outputs.push({ kind: 'checkpointRun', runId: live.runId });
		}
	}
}

/** Returns the time of the next checkpoint, stop or stop timeout; infinite when none is due. */
export function nextLeaseDeadlineMs(tables: AgentTables): number {
	let deadlineMs = Infinity;
	for (const { live } of tables.tasks.running) {
		if (live === undefined) {
			continue;
		}
		if (live.stopRequestedAtMs !== undefined) {
			deadlineMs = Math.min(deadlineMs, live.stopRequestedAtMs + stopTimeoutMs);
			continue;
		}
		const checkpointMs = live.isCheckpointRequested
			? Infinity
			: checkpointTimeMs(live.receivedAtMs, live.leaseEndsAtMs);
		deadlineMs = Math.min(deadlineMs, live.leaseEndsAtMs, checkpointMs);
	}
	return deadlineMs;
}

function checkpointTimeMs(receivedAtMs: number, leaseEndsMs: number): number {
	const isLongEnough = leaseEndsMs - receivedAtMs >= minLeaseForCheckpointMs;
	return isLongEnough ? leaseEndsMs - checkpointLeadMs : Infinity;
}
