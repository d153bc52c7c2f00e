/**
 * Order in which teams with waiting tasks get slots.
 *
 * A team floods the pool when the pool is overloaded and the team demands much more than its max-min fair share. The
 * other teams, called conforming, are served in order of job arrival, as by one central queue. While conforming teams
 * wait, a flooding team only gets the share of its weight, by start-time fair queueing among the group of all
 * conforming teams and each flooding team.
 *
 * Fair queueing among all teams at all times would interrupt jobs of many tasks even when no team floods, and raise the
 * response time relative to the ideal at 95% load; docs/PLACEMENT.md has the figures.
 */

import { demandAveragingMs } from './demandMeter.js';
import type { PoolState } from './poolState.js';
import type { TeamQueue } from './teamQueue.js';

/** Ratio of demand to fair share above which a team floods. A lower one would match teams of equal demand by chance. */
const floodFactor = 1.5;

/** Demand, as a share of the pool's slots, up to which a team without queued tasks counts as inactive. */
const minActiveDemand = 0.001;

/** The waiting teams of one pool in one tick. */
export class TeamOrder {
	private readonly _conforming: TeamQueue[] = [];
	private readonly _flooding: TeamQueue[] = [];
	private _conformingWeight = 0;

	constructor(
		private readonly _pool: PoolState,
		nowMs: number,
	) {
		const active = [..._pool.teams.values()]
			.map((queue) => ({ queue, weight: queue.weight, demand: queue.demand.shareAt(nowMs) }))
			.filter(({ queue, demand }) => !queue.isEmpty || demand > minActiveDemand);
		const level = fairSharePerWeight(active);
		const newlyFlooding: { queue: TeamQueue; excess: number }[] = [];
		for (const { queue, demand, weight } of active) {
			const isFlooding = demand / weight > floodFactor * level;
			if (isFlooding && !queue.isFlooding) {
				newlyFlooding.push({ queue, excess: demand - level * weight });
			}
			this._classifyTeam(queue, isFlooding);
		}
		for (const { queue, excess } of newlyFlooding) {
			this._delayFloodingTeam(queue, excess);
		}
		if (this._conforming.length > 0 && !_pool.hadConformingTeamsWaiting) {
			_pool.conformingVirtualTime = Math.max(_pool.conformingVirtualTime, _pool.virtualTime);
		}
		_pool.hadConformingTeamsWaiting = this._conforming.length > 0;
	}

	/** Returns the queue of the team whose task is next, or undefined if no team is left. */
	next(): TeamQueue | undefined {
		const conforming = findLeast(this._conforming, (queue) => queue.headReceivedMs);
		const flooding = findLeast(this._flooding, (queue) => queue.virtualTime);
		if (conforming === undefined || flooding === undefined) {
			return conforming ?? flooding;
		}
		return this._pool.conformingVirtualTime <= flooding.virtualTime ? conforming : flooding;
	}

	/** Excludes a team that can place no more tasks in this tick. */
	exclude(queue: TeamQueue): void {
		const members = queue.isFlooding ? this._flooding : this._conforming;
		members.splice(members.indexOf(queue), 1);
	}

	/** Advances the virtual times by one started task of a team. */
	recordStart(queue: TeamQueue): void {
		const pool = this._pool;
		if (queue.isFlooding) {
			pool.virtualTime = Math.max(pool.virtualTime, queue.virtualTime);
			queue.virtualTime += 1 / queue.weight;
			return;
		}
		pool.virtualTime = Math.max(pool.virtualTime, pool.conformingVirtualTime);
		pool.conformingVirtualTime += 1 / this._conformingWeight;
	}

	/**
	 * Delays a team that has just been found to flood, until the conforming teams have started as many tasks as the team
	 * had requested in excess of its fair share.
	 */
	private _delayFloodingTeam(queue: TeamQueue, excess: number): void {
		const pool = this._pool;
		const excessTasks = (excess * demandAveragingMs * pool.slots) / pool.expectedRunMs;
		queue.virtualTime =
			Math.max(queue.virtualTime, pool.virtualTime) + excessTasks / Math.max(1, this._conformingWeight);
	}

	private _classifyTeam(queue: TeamQueue, isFlooding: boolean): void {
		queue.isFlooding = isFlooding;
		if (!isFlooding) {
			this._conformingWeight += queue.weight;
		}
		if (!queue.isEmpty) {
			(isFlooding ? this._flooding : this._conforming).push(queue);
		}
	}
}

/** A team's demand on a pool. */
export interface TeamDemand {
	readonly weight: number;
	/** Demand as a share of the pool's slots. */
	readonly demand: number;
}

/**
 * Returns the max-min fair share of the pool per unit of weight. Every team that demands less gets its whole demand,
 * and the others share the rest by weight. Infinite when the pool can serve the whole demand.
 *
 * @example
 * fairSharePerWeight([{ weight: 1, demand: 0.2 }, { weight: 1, demand: 3 }]); // 0.8
 */
export function fairSharePerWeight(teams: readonly TeamDemand[]): number {
	const byDemand = [...teams].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
	let remainingShare = 1;
	let remainingWeight = byDemand.reduce((sum, team) => sum + team.weight, 0);
	for (const team of byDemand) {
		const level = remainingShare / remainingWeight;
		if (team.demand / team.weight > level) {
			return level;
		}
		remainingShare -= team.demand;
		remainingWeight -= team.weight;
	}
	return Infinity;
}

function findLeast(
	queues: readonly TeamQueue[],
	valueOf: (queue: TeamQueue) => number,
): TeamQueue | undefined {
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
