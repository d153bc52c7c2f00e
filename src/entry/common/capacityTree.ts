/**
 * Finds, among the workers that a task fits, the one with the most free slots, usually in a time that grows with the
 * logarithm of the number of workers. The index is a binary tree whose leaves are the workers and whose inner nodes hold
 * the maximum of each resource below them. The maxima may come from different workers, so a search can take longer when
 * many workers lack one resource each.
 */

import { noNeeds, type TaskNeeds } from '../../protocol/common/jobs.js';

/** Number of leaves before the tree first grows. */
const initialLeafCount = 16;

/** Unused resources by node: one array per resource. */
interface CapacityColumns {
	readonly freeSlots: Float64Array;
	readonly cores: Float64Array;
	readonly memoryBytes: Float64Array;
	readonly accelerators: Float64Array;
}

/** Unused resources of workers, by leaf index. */
export class CapacityTree {
	/** Number of leaves; a power of two. */
	private _leafCount = initialLeafCount;
	/** Node 1 is the root, the children of node n are 2n and 2n + 1, and the leaves come last. */
	private _nodes = createColumns(initialLeafCount);
	/** State of the running search: the task's needs, the range of leaf indexes, and the best leaf found so far. */
	private _searchNeeds: TaskNeeds = noNeeds;
	private _searchStart = 0;
	private _searchEnd = 0;
	private _foundIndex = -1;
	private _foundFreeSlots = 0;

	/** Excludes a leaf from searches. */
	clear(index: number): void {
		this.set(index, -Infinity, -Infinity, -Infinity, -Infinity);
	}

	/** Sets the unused resources of a leaf. Free slots are negative when starts wait at the worker. */
	set(index: number, freeSlots: number, cores: number, memoryBytes: number, accelerators: number): void {
		while (index >= this._leafCount) {
			this._grow();
		}
		const leaf = this._leafCount + index;
		this._nodes.freeSlots[leaf] = freeSlots;
		this._nodes.cores[leaf] = cores;
		this._nodes.memoryBytes[leaf] = memoryBytes;
		this._nodes.accelerators[leaf] = accelerators;
		let node = leaf >> 1;
		while (node >= 1 && this._updateNode(node)) {
			node >>= 1;
		}
	}

	/**
	 * Returns the index of the leaf with the most free slots among those that the needs fit, or undefined if there is
	 * none. Without needs, it is the first of equal leaves from `start` on, wrapping around at the end; with needs, it
	 * may be any of them.
	 *
	 * @param moreThan number of free slots that the leaf must exceed
	 * @example
	 * const index = tree.find(noNeeds, 0, 0);
	 */
	find(needs: TaskNeeds, moreThan: number, start: number): number | undefined {
		this._searchNeeds = needs;
		this._foundIndex = -1;
		this._foundFreeSlots = moreThan;
		this._searchStart = start;
		this._searchEnd = this._leafCount;
		this._searchSubtree(1, 0, this._leafCount);
		if (start > 0) {
			this._searchStart = 0;
			this._searchEnd = start;
			this._searchSubtree(1, 0, this._leafCount);
		}
		return this._foundIndex === -1 ? undefined : this._foundIndex;
	}

	/** Searches the subtree of a node, which covers `count` leaves from index `first` on. */
	private _searchSubtree(node: number, first: number, count: number): void {
		const freeSlots = this._freeSlotsAt(node);
		const isOutside = first + count <= this._searchStart || first >= this._searchEnd;
		if (isOutside || freeSlots <= this._foundFreeSlots || !this._mayFit(node)) {
			return;
		}
		if (count === 1) {
			this._foundIndex = first;
			this._foundFreeSlots = freeSlots;
			return;
		}
		const half = count / 2;
		const left = 2 * node;
		// Searches the half with more free slots first, so that the other half can usually be skipped.
		if (this._freeSlotsAt(left + 1) > this._freeSlotsAt(left)) {
			this._searchSubtree(left + 1, first + half, half);
			this._searchSubtree(left, first, half);
			return;
		}
		this._searchSubtree(left, first, half);
		this._searchSubtree(left + 1, first + half, half);
	}

	private _freeSlotsAt(node: number): number {
		return this._nodes.freeSlots[node] ?? -Infinity;
	}

	private _mayFit(node: number): boolean {
		const { cores, memoryBytes, accelerators } = this._nodes;
		const { _searchNeeds: needs } = this;
		return (
			(cores[node] ?? 0) >= needs.cores &&
			(memoryBytes[node] ?? 0) >= needs.memoryBytes &&
			(accelerators[node] ?? 0) >= needs.accelerators
		);
	}

	/** Recomputes a node from its children. Returns whether it has changed. */
	private _updateNode(node: number): boolean {
		const { freeSlots, cores, memoryBytes, accelerators } = this._nodes;
		let hasChanged = updateColumnNode(freeSlots, node);
		hasChanged = updateColumnNode(cores, node) || hasChanged;
		hasChanged = updateColumnNode(memoryBytes, node) || hasChanged;
		return updateColumnNode(accelerators, node) || hasChanged;
	}

	private _grow(): void {
		const before = this._nodes;
		const size = this._leafCount;
		this._leafCount = size * 2;
		this._nodes = createColumns(this._leafCount);
		for (const name of ['freeSlots', 'cores', 'memoryBytes', 'accelerators'] as const) {
			this._nodes[name].set(before[name].subarray(size), this._leafCount);
		}
		for (let node = this._leafCount - 1; node >= 1; node -= 1) {
			this._updateNode(node);
		}
	}
}

function createColumns(size: number): CapacityColumns {
	const column = (): Float64Array => new Float64Array(2 * size).fill(-Infinity);
	return { freeSlots: column(), cores: column(), memoryBytes: column(), accelerators: column() };
}

function updateColumnNode(column: Float64Array, node: number): boolean {
	const left = column[2 * node] ?? -Infinity;
	const right = column[2 * node + 1] ?? -Infinity;
	const greater = left > right ? left : right;
	if (column[node] === greater) {
		return false;
	}
	column[node] = greater;
	return true;
}
