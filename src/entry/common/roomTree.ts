/**
 * Finds the place with the most free slots that has room for a task, in a time that grows with the logarithm of the
 * places: a tournament over the places, in which each node holds the greatest values below it.
 */

import { noNeeds, type TaskNeeds } from '../../protocol/common/jobs.js';

/** Places before the first growth. */
const firstSize = 16;

/** What is left at each node, by kind. */
interface Columns {
	readonly freeSlots: Float64Array;
	readonly cores: Float64Array;
	readonly memoryBytes: Float64Array;
	readonly accelerators: Float64Array;
}

/** What is left of workers, by place. */
export class RoomTree {
	/** Leaves; a power of two. */
	private _size = firstSize;
	/** Node 1 is the root, the children of n are 2n and 2n + 1, and the leaves come last. */
	private _nodes = newColumns(firstSize);
	/** The search that is under way: its needs, its range of places, and the best that was found. */
	private _needs: TaskNeeds = noNeeds;
	private _from = 0;
	private _to = 0;
	private _foundPlace = -1;
	private _foundFreeSlots = 0;

	/** Lets nothing be found at a place. */
	clear(place: number): void {
		this.set(place, -Infinity, -Infinity, -Infinity, -Infinity);
	}

	/** Sets what is left at a place. Free slots are negative when starts wait at the worker. */
	set(place: number, freeSlots: number, cores: number, memoryBytes: number, accelerators: number): void {
		while (place >= this._size) {
			this._grow();
		}
		const leaf = this._size + place;
		this._nodes.freeSlots[leaf] = freeSlots;
		this._nodes.cores[leaf] = cores;
		this._nodes.memoryBytes[leaf] = memoryBytes;
		this._nodes.accelerators[leaf] = accelerators;
		let node = leaf >> 1;
		while (node >= 1 && this._join(node)) {
			node >>= 1;
		}
	}

	/**
	 * Returns the place with the most free slots among those where the needs fit, or undefined. Of equal places without
	 * needs it is the first from `start` on, going round.
	 *
	 * @param moreThan free slots that the place must exceed
	 * @example
	 * const place = tree.find(noNeeds, 0, 0);
	 */
	find(needs: TaskNeeds, moreThan: number, start: number): number | undefined {
		this._needs = needs;
		this._foundPlace = -1;
		this._foundFreeSlots = moreThan;
		this._from = start;
		this._to = this._size;
		this._search(1, 0, this._size);
		if (start > 0) {
			this._from = 0;
			this._to = start;
			this._search(1, 0, this._size);
		}
		return this._foundPlace === -1 ? undefined : this._foundPlace;
	}

	/** Searches below a node, which stands for `count` places from `first` on. */
	private _search(node: number, first: number, count: number): void {
		const freeSlots = this._freeSlots(node);
		const isOutside = first + count <= this._from || first >= this._to;
		if (isOutside || freeSlots <= this._foundFreeSlots || !this._mayFit(node)) {
			return;
		}
		if (count === 1) {
			this._foundPlace = first;
			this._foundFreeSlots = freeSlots;
			return;
		}
		const half = count / 2;
		const left = 2 * node;
		// The better half first, so that the other one is passed over.
		if (this._freeSlots(left + 1) > this._freeSlots(left)) {
			this._search(left + 1, first + half, half);
			this._search(left, first, half);
			return;
		}
		this._search(left, first, half);
		this._search(left + 1, first + half, half);
	}

	private _freeSlots(node: number): number {
		return this._nodes.freeSlots[node] ?? -Infinity;
	}

	private _mayFit(node: number): boolean {
		const { cores, memoryBytes, accelerators } = this._nodes;
		const { _needs: needs } = this;
		return (
			(cores[node] ?? 0) >= needs.cores &&
			(memoryBytes[node] ?? 0) >= needs.memoryBytes &&
			(accelerators[node] ?? 0) >= needs.accelerators
		);
	}

	/** Works a node out from its children. Returns whether it has changed. */
	private _join(node: number): boolean {
		const { freeSlots, cores, memoryBytes, accelerators } = this._nodes;
		let hasChanged = joinColumn(freeSlots, node);
		hasChanged = joinColumn(cores, node) || hasChanged;
		hasChanged = joinColumn(memoryBytes, node) || hasChanged;
		return joinColumn(accelerators, node) || hasChanged;
	}

	private _grow(): void {
		const before = this._nodes;
		const size = this._size;
		this._size = size * 2;
		this._nodes = newColumns(this._size);
		for (const name of ['freeSlots', 'cores', 'memoryBytes', 'accelerators'] as const) {
			this._nodes[name].set(before[name].subarray(size), this._size);
		}
		for (let node = this._size - 1; node >= 1; node -= 1) {
			this._join(node);
		}
	}
}

function newColumns(size: number): Columns {
	const column = (): Float64Array => new Float64Array(2 * size).fill(-Infinity);
	return { freeSlots: column(), cores: column(), memoryBytes: column(), accelerators: column() };
}

function joinColumn(column: Float64Array, node: number): boolean {
	const left = column[2 * node] ?? -Infinity;
	const right = column[2 * node + 1] ?? -Infinity;
	const greater = left > right ? left : right;
	if (column[node] === greater) {
		return false;
	}
	column[node] = greater;
	return true;
}
