/** Ejects workers whose tasks keep failing, and takes them back after a probe with a single task has succeeded. */

import type { TaskEnd } from '../../../protocol/common/agentMessages.js';
import type { EntryTables } from '../entryTables.js';
import type { EntryOutputs } from '../tickTypes.js';
import type { AssignedTask, WorkerRow } from '../workerRow.js';

/** Updates a worker's health with the end of a task, and ejects the worker or takes it back. */
export function updateWorkerHealth(
	tables: EntryTables,
	worker: WorkerRow,
	task: AssignedTask,
	end: TaskEnd,
	outputs: EntryOutputs,
): void {
	const { health } = worker;
	if (end.state !== 'done' && end.state !== 'failed') {
		// Other ends say nothing about the worker's health. A probe without a result is sent again.
		if (health.state === 'probing') {
			health.eject(tables.nowMs);
		}
		return;
	}
	const hasFailed = end.state === 'failed';
	const route = tables.getOrCreateRoute(task.job.submission.route);
	health.recordOutcome(task.submissionId, hasFailed, route.failureShareAtOtherWorkers(worker.processId));
	route.recordOutcome(worker.processId, hasFailed);
	if (health.state === 'probing') {
		health.endProbe(hasFailed, tables.nowMs);
		logHealthChange(worker, outputs);
		return;
	}
	if (health.state === 'healthy' && health.isFailing && mayEject(tables, worker)) {
		health.eject(tables.nowMs);
		tables.stats.ejections += 1;
		logHealthChange(worker, outputs);
	}
}

/** Whether a worker may be ejected without exceeding the maximum ejected share of its pool. */
function mayEject(tables: EntryTables, worker: WorkerRow): boolean {
	if (worker.pool === undefined) {
		return false;
	}
	const { connectedCount, ejectedCount } = tables.workersInPool(worker.pool);
	return ejectedCount + 1 <= tables.getOrCreatePool(worker.pool).row.maxEjectedShare * connectedCount + 1e-9;
}

function logHealthChange(worker: WorkerRow, outputs: EntryOutputs): void {
	outputs.events.push({
		level: 'warn',
		event: `worker.${worker.health.state}`,
		fields: { worker: worker.processId, pool: worker.pool, failureExcess: worker.health.excessFailureShare },
	});
}
