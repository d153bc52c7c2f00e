/** Checks drain timeouts against deadlines: a drain waits for all open jobs, so it must be able to outlast them. */

import type { RouteRow } from './tables.js';

/** Time that a drain needs after the longest deadline, to answer the last jobs and to hand over. */
export const drainMarginMs = 2000;

/** The drain timeout of a process. */
export interface DrainSettings {
	/** Settings file or running process that the timeout belongs to, for messages. */
	readonly place: string;
	readonly drainTimeoutMs: number;
}

/** A route whose jobs may outlast the drain of a process. */
export interface DrainTimeoutViolation {
	readonly route: string;
	/** Whole sentences that name both keys and the remedy. */
	readonly message: string;
}

/**
 * Returns the routes whose jobs may outlast the drain of a process, one element per process and route.
 *
 * @example
 * findDrainTimeoutViolations([{ place: 'entry-1.toml', drainTimeoutMs: 30_000 }], tables.routes);
 */
export function findDrainTimeoutViolations(
	drains: readonly DrainSettings[],
	routes: readonly Pick<RouteRow, 'name' | 'maxDeadlineMs'>[],
): DrainTimeoutViolation[] {
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
