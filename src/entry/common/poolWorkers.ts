/**
 * The workers of one pool, with the sums over them and an index by free slots. The worker table keeps it up to date;
 * admission and placement read it, so neither looks at every worker.
 */

import type { SeededRandom } from '../../base/common/random.js';
import type { TaskNeeds } from '../../protocol/common/jobs.js';
import { RoomTree } from './roomTree.js';
import type { WorkerRow } from './workerRow.js';

/** Open workers from which a search starts at a random one, so that equal ones get equal work. */
const manyOpenWorkers = 16;

/** A worker as it is counted. */
interface CountedWorker {
	readonly zone: Zone;
	/** Its place in the zone's tree. */
	readonly place: number;
	/** Whether its agent is connected. */
	isConnected: boolean;
	isHealthy: boolean;
	/** Slots while starts may be sent, else 0. */
	slots: number;
	/** Free slots while starts may be sent; undefined while they may not. */
	freeSlots: number | undefined;
}

/** The workers of one data centre. */
class Zone {
	constructor(readonly dataCentre: string) {}

	readonly tree = new RoomTree();
	/** Workers by place. */
	readonly rows: (WorkerRow | undefined)[] = [];
	/** Workers with a free slot that may get any task. */
	openCount = 0;
	private readonly _freePlaces: number[] = [];

	take(row: WorkerRow): number {
		const place = this._freePlaces.pop() ?? this.rows.length;
		this.rows[place] = row;
		return place;
	}

	leave(place: number): void {
		this.rows[place] = undefined;
		this.tree.clear(place);
		this._freePlaces.push(place);
	}
}

/** Workers of one pool. */
export class PoolWorkers {
	/** Slots of the workers that may get starts, ejected ones included. */
	slots = 0;
	/** Free slots of those workers. */
	freeSlots = 0;
	/** Workers that may get any task. */
	placeableCount = 0;
	/** Workers whose agent is connected, and those of them that are ejected or probed. */
	connectedCount = 0;
	unhealthyCount = 0;
	/** Ejected workers that may be tried with a task. */
	readonly dueProbes = new Set<WorkerRow>();
	private readonly _counted = new Map<WorkerRow, CountedWorker>();
	/** By data centre. */
	private readonly _zones = new Map<string, Zone>();

	constructor(
		readonly name: string,
		private readonly _dataCentre: string,
		private readonly _random: SeededRandom,
	) {}

	/** Every worker that serves the pool, connected or not. */
	members(): WorkerRow[] {
		return [...this._counted.keys()];
	}

	/** Whether some worker is large enough for a task; mostly the first one that is looked at. */
	couldAnyHold(needs: TaskNeeds): boolean {
		for (const row of this._counted.keys()) {
			if (row.couldEverFit(needs)) {
				return true;
			}
		}
		return false;
	}

	/** Every worker that may get any task. Policies without an index look at all of them. */
	placeable(): WorkerRow[] {
		const rows: WorkerRow[] = [];
		for (const [row, { freeSlots, isHealthy }] of this._counted) {
			if (freeSlots !== undefined && isHealthy) {
				rows.push(row);
			}
		}
		return rows;
	}

	/** The worker of a data centre with the most free slots that a task fits, if it has more than so many. */
	freestIn(dataCentre: string, needs: TaskNeeds, moreThan: number): WorkerRow | undefined {
		const zone = this._zones.get(dataCentre);
		return zone === undefined ? undefined : this._freestOf(zone, needs, moreThan);
	}

	/** The same for all data centres but the entry's own. */
	freestElsewhere(needs: TaskNeeds, moreThan: number): WorkerRow | undefined {
		let best: WorkerRow | undefined;
		let bestFree = moreThan;
		for (const zone of this._zones.values()) {
			const row = zone.dataCentre === this._dataCentre ? undefined : this._freestOf(zone, needs, bestFree);
			if (row !== undefined) {
				best = row;
				bestFree = this._counted.get(row)?.freeSlots ?? bestFree;
			}
		}
		return best;
	}

	private _freestOf(zone: Zone, needs: TaskNeeds, moreThan: number): WorkerRow | undefined {
		const isLarge = moreThan >= 0 && zone.openCount > manyOpenWorkers;
		const start = isLarge ? this._random.integer(0, zone.rows.length - 1) : 0;
		const place = zone.tree.find(needs, moreThan, start);
		return place === undefined ? undefined : zone.rows[place];
	}

	/** Counts a worker that has come or changed. */
	update(row: WorkerRow, nowMs: number): void {
		let counted = this._counted.get(row);
		if (counted !== undefined && counted.zone.dataCentre !== row.dataCentre) {
			this.remove(row);
			counted = undefined;
		}
		if (counted === undefined) {
			const zone = this._zoneOf(row.dataCentre);
			const place = zone.take(row);
			counted = { zone, place, isConnected: false, isHealthy: true, slots: 0, freeSlots: undefined };
			this._counted.set(row, counted);
		}
		this._add(counted, -1);
		const canStart = row.canStart(nowMs);
		counted.isConnected = row.sessionId !== undefined;
		counted.isHealthy = row.health.state === 'healthy';
		counted.slots = canStart ? (row.offer?.slots ?? 0) : 0;
		counted.freeSlots = canStart ? row.freeSlots(nowMs) : undefined;
		this._add(counted, 1);
		this._index(row, counted);
		if (canStart && row.health.isProbeDue(nowMs)) {
			this.dueProbes.add(row);
		} else if (this.dueProbes.size > 0) {
			this.dueProbes.delete(row);
		}
	}

	/** Puts what any task may use of a worker into its zone's index. */
	private _index(row: WorkerRow, { zone, place, freeSlots, isHealthy }: CountedWorker): void {
		const { tree } = zone;
		if (freeSlots === undefined || !isHealthy) {
			tree.clear(place);
			return;
		}
		tree.set(place, freeSlots, row.unusedCores, row.unusedMemoryBytes, row.unusedAccelerators);
	}

	/** Forgets a worker that serves the pool no more. */
	remove(row: WorkerRow): void {
		const counted = this._counted.get(row);
		if (counted === undefined) {
			return;
		}
		this._add(counted, -1);
		counted.zone.leave(counted.place);
		this._counted.delete(row);
		this.dueProbes.delete(row);
	}

	private _zoneOf(dataCentre: string): Zone {
		let zone = this._zones.get(dataCentre);
		if (zone === undefined) {
			zone = new Zone(dataCentre);
			this._zones.set(dataCentre, zone);
		}
		return zone;
	}

	private _add({ zone, isConnected, isHealthy, slots, freeSlots }: CountedWorker, sign: 1 | -1): void {
		this.slots += sign * slots;
		this.connectedCount += isConnected ? sign : 0;
		this.unhealthyCount += isConnected && !isHealthy ? sign : 0;
		if (freeSlots === undefined) {
			return;
		}
		this.freeSlots += sign * Math.max(0, freeSlots);
		if (isHealthy) {
			this.placeableCount += sign;
			zone.openCount += freeSlots > 0 ? sign : 0;
		}
	}
}
