/** Takes workers that fail everything out of their pool, and tries them again with a single task. */

import type { TaskEnd } from '../../../protocol/common/agentMessages.js';
import type { EntryTables } from '../entryTables.js';
import type { EntryOutputs } from '../tickTypes.js';
import type { AssignedTask, WorkerRow } from '../workerRow.js';

/** Takes account of a task that ran, and ejects or takes back its worker. */
export function noteRun(
	tables: EntryTables,
	worker: WorkerRow,
	task: AssignedTask,
	end: TaskEnd,
	outputs: EntryOutputs,
): void {
	const { health } = worker;
	if (end.state !== 'done' && end.state !== 'failed') {
		// Anything else says nothing about the worker's soundness; a probe without an answer is sent again.
		if (health.state === 'probing') {
			health.eject(tables.nowMs);
		}
		return;
	}
	const hasFailed = end.state === 'failed';
	const route = tables.routeOf(task.job.submission.route);
	health.note(task.submissionId, hasFailed, route.failureShareElsewhere(worker.processId));
	route.noteOutcome(worker.processId, hasFailed);
	if (health.state === 'probing') {
		health.endProbe(hasFailed, tables.nowMs);
		logHealth(worker, outputs);
		return;
	}
	if (health.state === 'healthy' && health.isFailing && mayEject(tables, worker)) {
		health.eject(tables.nowMs);
		tables.stats.ejections += 1;
		logHealth(worker, outputs);
	}
}

/** Whether one more worker of the pool may be ejected. */
function mayEject(tables: EntryTables, worker: WorkerRow): boolean {
	if (worker.pool === undefined) {
		return false;
	}
	const { connectedCount, unhealthyCount } = tables.workersOf(worker.pool);
	return unhealthyCount + 1 <= tables.poolOf(worker.pool).row.maxEjectedShare * connectedCount + 1e-9;
}

function logHealth(worker: WorkerRow, outputs: EntryOutputs): void {
	outputs.events.push({
		level: 'warn',
		event: `worker.${worker.health.state}`,
		fields: { worker: worker.processId, pool: worker.pool, failureExcess: worker.health.excess },
	});
}
