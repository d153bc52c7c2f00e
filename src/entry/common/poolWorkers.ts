/**
 * The workers of one pool, with totals over them and an index by free slots. The worker table keeps it up to date;
 * admission and placement read it, so that neither has to scan all workers.
 */

import type { SeededRandom } from '../../base/common/random.js';
import type { TaskNeeds } from '../../protocol/common/jobs.js';
import { CapacityTree } from './capacityTree.js';
import type { WorkerRow } from './workerRow.js';

/**
 * A data centre with more workers with a free slot than this is searched from a random worker on, so that equal workers
 * get equal work.
 */
const randomStartThreshold = 16;

/** The values with which a worker is included in the totals and the index. */
interface CountedWorker {
	readonly group: DataCentreWorkers;
	/** Leaf index of the worker in its data centre's tree. */
	readonly index: number;
	/** Whether its agent is connected. */
	isConnected: boolean;
	isHealthy: boolean;
	/** Number of slots while starts may be sent, else 0. */
	slots: number;
	/** Number of free slots while starts may be sent, else undefined. */
	freeSlots: number | undefined;
}

/** The pool's workers in one data centre. */
class DataCentreWorkers {
	constructor(readonly dataCentre: string) {}

	readonly tree = new CapacityTree();
	/** Workers by leaf index of the tree. */
	readonly rows: (WorkerRow | undefined)[] = [];
	/** Number of placeable workers with a free slot. */
	freeWorkerCount = 0;
	private readonly _unusedIndexes: number[] = [];

	add(row: WorkerRow): number {
		const index = this._unusedIndexes.pop() ?? this.rows.length;
		this.rows[index] = row;
		return index;
	}

	remove(index: number): void {
		this.rows[index] = undefined;
		this.tree.clear(index);
		this._unusedIndexes.push(index);
	}
}

/** Workers of one pool, with totals and an index by free slots. */
export class PoolWorkers {
	/** Number of slots of the workers that may be sent starts, including ejected workers. */
	slots = 0;
	/** Number of free slots of those workers. */
	freeSlots = 0;
	/** Number of healthy workers that may be sent starts. */
	placeableCount = 0;
	/** Number of workers whose agent is connected, and of those among them that are ejected or being probed. */
	connectedCount = 0;
	ejectedCount = 0;
	/** Ejected workers to which a probe task may be sent now. */
	readonly workersDueForProbe = new Set<WorkerRow>();
	private readonly _countedWorkers = new Map<WorkerRow, CountedWorker>();
	/** Workers by name of the data centre. */
	private readonly _dataCentres = new Map<string, DataCentreWorkers>();

	constructor(
		readonly name: string,
		private readonly _ownDataCentre: string,
		private readonly _random: SeededRandom,
	) {}

	/** Returns every worker that serves the pool, connected or not. */
	members(): WorkerRow[] {
		return [...this._countedWorkers.keys()];
	}

	/** Whether some worker is large enough for a task. The first worker checked usually is, so the scan is short. */
	couldAnyEverFit(needs: TaskNeeds): boolean {
		for (const row of this._countedWorkers.keys()) {
			if (row.couldEverFit(needs)) {
				return true;
			}
		}
		return false;
	}

	/** Returns every healthy worker that may be sent starts, for policies that don't use the index. */
	placeableWorkers(): WorkerRow[] {
		const rows: WorkerRow[] = [];
		for (const [row, { freeSlots, isHealthy }] of this._countedWorkers) {
			if (freeSlots !== undefined && isHealthy) {
				rows.push(row);
			}
		}
		return rows;
	}

	/**
	 * Returns the worker of a data centre that has the most free slots among those that a task fits, or undefined if none
	 * has more than `moreThan` free slots.
	 */
	findMostFreeIn(dataCentre: string, needs: TaskNeeds, moreThan: number): WorkerRow | undefined {
		const group = this._dataCentres.get(dataCentre);
		return group === undefined ? undefined : this._findMostFree(group, needs, moreThan);
	}

	/** Searches all data centres except the entry's own; otherwise like {@link findMostFreeIn}. */
	findMostFreeRemote(needs: TaskNeeds, moreThan: number): WorkerRow | undefined {
		let best: WorkerRow | undefined;
		let bestFree = moreThan;
		for (const group of this._dataCentres.values()) {
			const row =
				group.dataCentre === this._ownDataCentre ? undefined : this._findMostFree(group, needs, bestFree);
			if (row !== undefined) {
				best = row;
				bestFree = this._countedWorkers.get(row)?.freeSlots ?? bestFree;
			}
		}
		return best;
	}

	private _findMostFree(group: DataCentreWorkers, needs: TaskNeeds, moreThan: number): WorkerRow | undefined {
		const usesRandomStart = moreThan >= 0 && group.freeWorkerCount > randomStartThreshold;
		const start = usesRandomStart ? this._random.integer(0, group.rows.length - 1) : 0;
		const index = group.tree.find(needs, moreThan, start);
		return index === undefined ? undefined : group.rows[index];
	}

	/** Adds a worker, or updates the totals and the index after a worker has changed. */
	update(row: WorkerRow, nowMs: number): void {
		let counted = this._countedWorkers.get(row);
		if (counted !== undefined && counted.group.dataCentre !== row.dataCentre) {
			this.remove(row);
			counted = undefined;
		}
		if (counted === undefined) {
			const group = this._getOrCreateDataCentre(row.dataCentre);
			const index = group.add(row);
			counted = {
				group,
				index,
				isConnected: false,
				isHealthy: true,
				slots: 0,
				freeSlots: undefined,
			};
			this._countedWorkers.set(row, counted);
		}
		this._addToTotals(counted, -1);
		const canStart = row.canStart(nowMs);
		counted.isConnected = row.sessionId !== undefined;
		counted.isHealthy = row.health.state === 'healthy';
		counted.slots = canStart ? (row.offer?.slots ?? 0) : 0;
		counted.freeSlots = canStart ? row.freeSlots(nowMs) : undefined;
		this._addToTotals(counted, 1);
		this._updateTree(row, counted);
		if (canStart && row.health.isProbeDue(nowMs)) {
			this.workersDueForProbe.add(row);
		} else if (this.workersDueForProbe.size > 0) {
			this.workersDueForProbe.delete(row);
		}
	}

	/** Updates a worker's unused capacity in its data centre's tree, and clears it while the worker isn't placeable. */
	private _updateTree(row: WorkerRow, { group, index, freeSlots, isHealthy }: CountedWorker): void {
		const { tree } = group;
		if (freeSlots === undefined || !isHealthy) {
			tree.clear(index);
			return;
		}
		tree.set(index, freeSlots, row.unusedCores, row.unusedMemoryBytes, row.unusedAccelerators);
	}

	/** Removes a worker that no longer serves the pool. */
	remove(row: WorkerRow): void {
		const counted = this._countedWorkers.get(row);
		if (counted === undefined) {
			return;
		}
		this._addToTotals(counted, -1);
		counted.group.remove(counted.index);
		this._countedWorkers.delete(row);
		this.workersDueForProbe.delete(row);
	}

	private _getOrCreateDataCentre(dataCentre: string): DataCentreWorkers {
		let group = this._dataCentres.get(dataCentre);
		if (group === undefined) {
			group = new DataCentreWorkers(dataCentre);
			this._dataCentres.set(dataCentre, group);
		}
		return group;
	}

	private _addToTotals(
		{ group, isConnected, isHealthy, slots, freeSlots }: CountedWorker,
		sign: 1 | -1,
	): void {
		this.slots += sign * slots;
		this.connectedCount += isConnected ? sign : 0;
		this.ejectedCount += isConnected && !isHealthy ? sign : 0;
		if (freeSlots === undefined) {
			return;
		}
		this.freeSlots += sign * Math.max(0, freeSlots);
		if (isHealthy) {
			this.placeableCount += sign;
			group.freeWorkerCount += freeSlots > 0 ? sign : 0;
		}
	}
}
