/** A drain waits for the jobs that are open, so it must be allowed to last longer than any of them. */

import type { RouteRow } from './tables.js';

/** Time that a drain needs beyond the longest deadline: to answer the last jobs and to hand over. */
export const drainMarginMs = 2000;

/** The part of a process's settings that must agree with the routes. */
export interface DrainSettings {
	/** Where the setting stands: a file, or a running process. */
	readonly place: string;
	readonly drainTimeoutMs: number;
}

/** A route whose jobs may outlast a drain. */
export interface ShortDrain {
	readonly route: string;
	/** A sentence that names both keys and the remedy. */
	readonly message: string;
}

/**
 * Finds the routes whose jobs may outlast the drain of a process.
 *
 * @example
 * findShortDrains([{ place: 'entry-1.toml', drainTimeoutMs: 30_000 }], tables.routes);
 */
export function findShortDrains(
	drains: readonly DrainSettings[],
	routes: readonly Pick<RouteRow, 'name' | 'maxDeadlineMs'>[],
): ShortDrain[] {
	return drains.flatMap(({ place, drainTimeoutMs }) =>
		routes
			.filter((route) => route.maxDeadlineMs + drainMarginMs > drainTimeoutMs)
			.map((route) => ({
				route: route.name,
				message:
					`The route "${route.name}" allows jobs of maxDeadlineMs = ${route.maxDeadlineMs}, which may outlast a ` +
					`drain of ${place} with drainTimeoutMs = ${drainTimeoutMs}. Set drainTimeoutMs to at least ` +
					`${route.maxDeadlineMs + drainMarginMs}, or lower maxDeadlineMs to at most ` +
					`${Math.max(0, drainTimeoutMs - drainMarginMs)}.`,
			})),
	);
}
