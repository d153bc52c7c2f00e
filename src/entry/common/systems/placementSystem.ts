/** Sends queued tasks to workers. Teams are ordered by fair share, and each team's jobs by arrival. */

import { taskKey } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { IWorkerChooser, PlacementPolicy } from '../policies/placementPolicy.js';
import type { PoolState } from '../poolState.js';
import { TeamOrder } from '../teamOrder.js';
import type { TeamQueue } from '../teamQueue.js';
import type { WorkerRow } from '../workerRow.js';
import { teamTaskLimit } from './quotaLeaseSystem.js';
import { directAnswerEntry } from './directAnswerSystem.js';
import { nextAttemptOf } from './searchSystem.js';

/** Places as many queued tasks as possible in every pool. */
export function placeTasks(tables: EntryTables, policy: PlacementPolicy): void {
	for (const pool of tables.pools.values()) {
		if (pool.queuedTasks > 0 && !isSuperseded(tables, pool)) {
			placeInPool(tables, pool, policy);
		}
	}
}

/** Whether agents refuse starts of this epoch. Nothing can be placed until the keepers' newer directory has arrived. */
function isSuperseded(tables: EntryTables, pool: PoolState): boolean {
	return pool.highestRefusedEpoch >= tables.epoch;
}

function placeInPool(tables: EntryTables, pool: PoolState, policy: PlacementPolicy): void {
	const workers = tables.workersInPool(pool.name);
	pool.slots = Math.max(1, workers.slots);
	sendProbes(tables, pool, workers.workersDueForProbe);
	if (workers.placeableCount === 0) {
		return;
	}
	const chooser = policy.chooserFor(tables, pool, workers);
	const order = new TeamOrder(pool, tables.nowMs);
	for (let queue = order.next(); queue !== undefined; queue = order.next()) {
		if (placeNextTask(tables, pool, queue, chooser)) {
			order.recordStart(queue);
		} else {
			order.exclude(queue);
		}
	}
}

/** Places one task of a team. Returns false when no further task of the team can be placed in this tick. */
function placeNextTask(
	tables: EntryTables,
	pool: PoolState,
	queue: TeamQueue,
	chooser: IWorkerChooser,
): boolean {
	if ((tables.runningTasksByTeam.get(queue.team) ?? 0) >= teamTaskLimit(tables, queue.team)) {
		tables.quotas.urgentTeams.add(queue.team);
		return false;
	}
	let worker: WorkerRow | undefined;
	const job = queue.findJob((candidate) => {
		worker = chooser.choose(candidate);
		return worker !== undefined;
	});
	if (job === undefined || worker === undefined) {
		return false;
	}
	sendTask(tables, pool, queue, job, worker);
	return true;
}

/** Sends each ejected worker that is due for a probe one task of the team that is next. */
function sendProbes(tables: EntryTables, pool: PoolState, workers: ReadonlySet<WorkerRow>): void {
	for (const worker of workers) {
		if (worker.freeSlots(tables.nowMs) <= 0) {
			continue;
		}
		const queue = new TeamOrder(pool, tables.nowMs).next();
		const job = queue?.findJob((candidate) => worker.fitsNow(candidate.submission.needs));
		if (queue === undefined || job === undefined) {
			return;
		}
		worker.health.beginProbe();
		sendTask(tables, pool, queue, job, worker);
	}
}

function sendTask(
	tables: EntryTables,
	pool: PoolState,
	queue: TeamQueue,
	job: JobRow,
	worker: WorkerRow,
): void {
	const taskIndex = job.peekTask();
	if (taskIndex === undefined || worker.sessionId === undefined) {
		throw new Error(`The job ${job.submissionId} has no queued task, or the chosen worker is not connected.`);
	}
	const { submissionId } = job;
	const attempt = nextAttemptOf(tables, job, taskIndex);
	job.markSent(taskIndex, worker.processId);
	worker.assign(taskKey({ submissionId, taskIndex }), {
		submissionId,
		taskIndex,
		job,
		sentMs: tables.nowMs,
		epoch: tables.epoch,
		attempt,
	});
	const answerTo = directAnswerEntry(tables, job);
	tables.outbox.addStart(worker.sessionId, job, { taskIndex, attempt, answerTo }, tables.nowMs);
	tables.addRunningTasks(queue.team, 1);
	tables.stats.startsSent += 1;
	pool.queuedTasks -= 1;
	pool.addRetryCredit();
}
