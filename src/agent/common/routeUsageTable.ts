/** What tasks of each route were measured to use; declared sizes are far off. */

import type { RouteUsage } from '../../protocol/common/agentMessages.js';
import type { TaskNeeds } from '../../protocol/common/jobs.js';
import type { TaskUsage } from './taskRecord.js';

/** Ended tasks of a route that were measured, before measurements replace what is declared. */
const samplesToTrust = 3;
/** Weight of a new measurement that is below the estimate; one above it is taken at once. */
const decayWeight = 0.1;
/** Routes that are kept; the one that was measured longest ago makes room. */
const maxRoutes = 1000;

/** Change of an estimate, as a share of what was told of it, from which it is told again. */
const toldChangeShare = 0.1;

interface RouteEstimate {
	cores: number;
	memoryBytes: number;
	samples: number;
	/** What entries are told, and the version of the table since which they are. */
	told: TaskUsage | undefined;
	toldVersion: number;
}

/** Estimates of a task's needs by route. */
export class RouteUsageTable {
	private readonly _routes = new Map<string, RouteEstimate>();
	private _version = 0;

	/** Grows whenever there is something new to tell. */
	get version(): number {
		return this._version;
	}

	/** Estimates that changed noticeably after a version. */
	changesSince(version: number): RouteUsage[] {
		return [...this._routes].flatMap(([route, { told, toldVersion }]) =>
			told !== undefined && toldVersion > version ? [{ route, ...told }] : [],
		);
	}

	/** Takes the greatest use that was measured of one ended task. */
	add(route: string, usage: TaskUsage): void {
		const known = this._routes.get(route) ?? newEstimate();
		known.cores = follow(known.cores, usage.cores);
		known.memoryBytes = follow(known.memoryBytes, usage.memoryBytes);
		known.samples += 1;
		this._routes.delete(route);
		this._routes.set(route, known);
		this._noteChange(known);
		if (this._routes.size > maxRoutes) {
			const [oldest] = this._routes.keys();
			this._routes.delete(oldest ?? '');
		}
	}

	private _noteChange(known: RouteEstimate): void {
		const { cores, memoryBytes, samples, told } = known;
		if (samples < samplesToTrust) {
			return;
		}
		const isNew = told === undefined || differs(told.cores, cores) || differs(told.memoryBytes, memoryBytes);
		if (isNew) {
			this._version += 1;
			known.told = { cores, memoryBytes };
			known.toldVersion = this._version;
		}
	}

	/** What a task is expected to use: measured where enough of its route was, else declared. */
	estimate(route: string, declared: TaskNeeds): TaskNeeds {
		const known = this._routes.get(route);
		if (known === undefined || known.samples < samplesToTrust) {
			return declared;
		}
		return { cores: known.cores, memoryBytes: known.memoryBytes, accelerators: declared.accelerators };
	}
}

function follow(estimate: number, measured: number): number {
	return measured > estimate ? measured : estimate + (measured - estimate) * decayWeight;
}

function newEstimate(): RouteEstimate {
	return { cores: 0, memoryBytes: 0, samples: 0, told: undefined, toldVersion: 0 };
}

function differs(told: number, estimate: number): boolean {
	return Math.abs(estimate - told) > toldChangeShare * told;
}
