/** What tasks of each route were measured to use; declared sizes are far off. */

import type { TaskNeeds } from '../../protocol/common/jobs.js';
import type { TaskUsage } from './taskRecord.js';

/** Ended tasks of a route that were measured, before measurements replace what is declared. */
const samplesToTrust = 3;
/** Weight of a new measurement that is below the estimate; one above it is taken at once. */
const decayWeight = 0.1;
/** Routes that are kept; the one that was measured longest ago makes room. */
const maxRoutes = 1000;

interface RouteUsage {
	cores: number;
	memoryBytes: number;
	samples: number;
}

/** Estimates of a task's needs by route. */
export class RouteUsageTable {
	private readonly _routes = new Map<string, RouteUsage>();

	/** Takes the greatest use that was measured of one ended task. */
	add(route: string, usage: TaskUsage): void {
		const known = this._routes.get(route) ?? { cores: 0, memoryBytes: 0, samples: 0 };
		known.cores = follow(known.cores, usage.cores);
		known.memoryBytes = follow(known.memoryBytes, usage.memoryBytes);
		known.samples += 1;
		this._routes.delete(route);
		this._routes.set(route, known);
		if (this._routes.size > maxRoutes) {
			const [oldest] = this._routes.keys();
			this._routes.delete(oldest ?? '');
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
