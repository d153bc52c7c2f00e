/**
 * Order in which teams with waiting tasks get slots.
 *
 * Orderly teams are served by arrival of their jobs, as one central queue would. A team floods when the pool is
 * overloaded and the team asks for much more than its max-min fair share: it then gets its weight's share for as long
 * as others wait, by start-time fair queueing between the orderly teams together and each flooding team.
 *
 * Fair queueing of all teams at all times was tried: it cuts jobs of many tasks short of their turn also when nobody
 * floods, and raised the response over the ideal at 95% load; docs/PLACEMENT.md has the figures.
 */

import { demandAveragingMs } from './demandMeter.js';
import type { PoolState } from './poolState.js';
import type { TeamQueue } from './teamQueue.js';

/** Demand over fair share from which a team floods. A lower one would catch teams of equal demand by chance. */
const floodFactor = 1.5;

/** Demand below which a team isn't active, as a share of the pool's slots. */
const leastDemand = 0.001;

/** The waiting teams of one pool in one tick. */
export class TeamOrder {
	private readonly _orderly: TeamQueue[] = [];
	private readonly _flooding: TeamQueue[] = [];
	private _orderlyWeight = 0;

	constructor(
		private readonly _pool: PoolState,
		nowMs: number,
	) {
		const active = [..._pool.teams.values()]
			.map((queue) => ({ queue, weight: queue.weight, demand: queue.demand.shareAt(nowMs) }))
			.filter(({ queue, demand }) => !queue.isEmpty || demand > leastDemand);
		const level = fairLevel(active);
		const caught: { queue: TeamQueue; excess: number }[] = [];
		for (const { queue, demand, weight } of active) {
			const isFlooding = demand / weight > floodFactor * level;
			if (isFlooding && !queue.isFlooding) {
				caught.push({ queue, excess: demand - level * weight });
			}
			this._join(queue, isFlooding);
		}
		for (const { queue, excess } of caught) {
			this._defer(queue, excess);
		}
		if (this._orderly.length > 0 && !_pool.hadOrderlyWaiting) {
			_pool.orderlyVirtualTime = Math.max(_pool.orderlyVirtualTime, _pool.virtualTime);
		}
		_pool.hadOrderlyWaiting = this._orderly.length > 0;
	}

	/** The team whose task is next. */
	next(): TeamQueue | undefined {
		const orderly = leastOf(this._orderly, (queue) => queue.headReceivedMs);
		const flooding = leastOf(this._flooding, (queue) => queue.virtualTime);
		if (orderly === undefined || flooding === undefined) {
			return orderly ?? flooding;
		}
		return this._pool.orderlyVirtualTime <= flooding.virtualTime ? orderly : flooding;
	}

	/** Leaves out a team that can place nothing more in this tick. */
	drop(queue: TeamQueue): void {
		const members = queue.isFlooding ? this._flooding : this._orderly;
		members.splice(members.indexOf(queue), 1);
	}

	/** Takes account of one started task. */
	charge(queue: TeamQueue): void {
		const pool = this._pool;
		if (queue.isFlooding) {
			pool.virtualTime = Math.max(pool.virtualTime, queue.virtualTime);
			queue.virtualTime += 1 / queue.weight;
			return;
		}
		pool.virtualTime = Math.max(pool.virtualTime, pool.orderlyVirtualTime);
		pool.orderlyVirtualTime += 1 / this._orderlyWeight;
	}

	/** Lets the orderly teams first have as many tasks as the team asked for beyond its share before it was caught. */
	private _defer(queue: TeamQueue, excess: number): void {
		const pool = this._pool;
		const excessTasks = (excess * demandAveragingMs * pool.slots) / pool.expectedRunMs;
		queue.virtualTime =
			Math.max(queue.virtualTime, pool.virtualTime) + excessTasks / Math.max(1, this._orderlyWeight);
	}

	private _join(queue: TeamQueue, isFlooding: boolean): void {
		queue.isFlooding = isFlooding;
		if (!isFlooding) {
			this._orderlyWeight += queue.weight;
		}
		if (!queue.isEmpty) {
			(isFlooding ? this._flooding : this._orderly).push(queue);
		}
	}
}

/** What a team asks of a pool. */
export interface TeamDemand {
	readonly weight: number;
	/** Share of the pool's slots. */
	readonly demand: number;
}

/**
 * Max-min fair share of the pool by unit of weight: every team that asks for less gets all that it asks for, and the
 * others share the rest. Infinite when the pool can do all that is asked.
 *
 * @example
 * fairLevel([{ weight: 1, demand: 0.2 }, { weight: 1, demand: 3 }]); // 0.8
 */
export function fairLevel(teams: readonly TeamDemand[]): number {
	const byNeed = [...teams].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
	let share = 1;
	let weight = byNeed.reduce((sum, team) => sum + team.weight, 0);
	for (const team of byNeed) {
		const level = share / weight;
		if (team.demand / team.weight > level) {
			return level;
		}
		share -= team.demand;
		weight -= team.weight;
	}
	return Infinity;
}

function leastOf(queues: readonly TeamQueue[], valueOf: (queue: TeamQueue) => number): TeamQueue | undefined {
	let least: TeamQueue | undefined;
	let leastValue = Infinity;
	for (const queue of queues) {
		const value = valueOf(queue);
		if (least === undefined || value < leastValue) {
			least = queue;
			leastValue = value;
		}
	}
	return least;
}
