/** Leases of running tasks: a checkpoint shortly before the end, a stop at the end, and no endless wait for the stop. */

import type { AgentTables, AgentTick } from '../agentTables.js';
import { endTask, runMsOf, stopRunning } from './taskEnds.js';

/** Time before the end of a lease at which the upstream is asked to save the task's progress. */
const checkpointLeadMs = 500;
/** Leases shorter than this end without a checkpoint. */
const minLeaseForCheckpointMs = 2000;
/** Time that an upstream has to confirm a stop. */
const stopGraceMs = 3000;

/** Checkpoints and stops tasks whose lease ends, and gives up those whose stop was not confirmed. */
export function runLeases(tick: AgentTick): void {
	const { nowMs } = tick;
	for (const record of [...tick.tables.tasks.running]) {
		const { live } = record;
		if (live?.runId === undefined) {
			continue;
		}
		if (live.stopAskedAtMs !== undefined && nowMs >= live.stopAskedAtMs + stopGraceMs) {
			const { runId, stopMessage } = live;
			const message = `${stopMessage} The upstream did not confirm the stop within ${stopGraceMs} ms.`;
			tick.log('warn', 'task.stopUnconfirmed', { route: live.route, runMs: runMsOf(tick, record) });
			endTask(tick, record, { state: 'unknown', message });
			tick.outputs.push({ kind: 'abandonRun', runId });
			continue;
		}
		if (nowMs >= live.leaseEndsMs) {
			stopRunning(tick, record, 'The lease of the task has ended.');
			continue;
		}
		if (!live.isCheckpointed && nowMs >= checkpointAtMs(live.receivedAtMs, live.leaseEndsMs)) {
			live.isCheckpointed = true;
			tick.outputs.push({ kind: 'checkpointRun', runId: live.runId });
		}
	}
}

/** When the next lease needs attention. */
export function nextLeaseDeadlineMs(tables: AgentTables): number {
	let deadlineMs = Infinity;
	for (const { live } of tables.tasks.running) {
		if (live === undefined) {
			continue;
		}
		if (live.stopAskedAtMs !== undefined) {
			deadlineMs = Math.min(deadlineMs, live.stopAskedAtMs + stopGraceMs);
			continue;
		}
		const checkpointMs = live.isCheckpointed ? Infinity : checkpointAtMs(live.receivedAtMs, live.leaseEndsMs);
		deadlineMs = Math.min(deadlineMs, live.leaseEndsMs, checkpointMs);
	}
	return deadlineMs;
}

function checkpointAtMs(receivedAtMs: number, leaseEndsMs: number): number {
	const isLongEnough = leaseEndsMs - receivedAtMs >= minLeaseForCheckpointMs;
	return isLongEnough ? leaseEndsMs - checkpointLeadMs : Infinity;
}
