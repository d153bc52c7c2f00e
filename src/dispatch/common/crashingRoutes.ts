/**
 * Decides which routes to confine to a part of the workers. Load pattern: many jobs of one kind have a task that crashes its
 * worker. Each of them takes a worker although none is started a third time, so that soon no kind of job finds a worker.
 */

import type { RecordedCrash } from './crashHistory.js';

/** Time in which crashes count as one series. */
const seriesMs = 5000;
/** Crashes within this time are one event, such as the loss of a rack. */
const sameEventMs = 50;
/** Number of events from which tasks, and not workers, are taken as the cause. */
const minEvents = 2;
/** Age at the crash up to which a run has recently started. */
export const recentRunAgeMs = 40;
/** Share of the events from which a route is suspected. */
const minEventShare = 0.75;
/** Share of the events below which a confined route is released early. */
const exonerationShare = 0.5;

/** Crashes of workers that happened together. */
interface CrashEvent {
	readonly atMs: number;
	/** Routes of which a run had recently started at one of the workers. */
	readonly recentRoutes: ReadonlySet<string>;
	/** Routes of which a run was at one of the workers. */
	readonly routes: ReadonlySet<string>;
}

/**
 * Returns the routes of a pool that are to be confined. While two or more events are recent, these are the routes of which a
 * task had just started at most of them; a task that crashes its worker mostly does so soon. If there is none, every route
 * that was there each time is confined, so that each has workers of its own. A confined route is released when it was not there at
 * further crashes, or when none has happened for a while.
 *
 * @param crashes crashes of the pool's workers
 * @param confined routes that are confined at present
 * @example
 * const routes = findCrashingRoutes(history.getRecorded('pool'), new Set(), nowMs);
 */
export function findCrashingRoutes(
	crashes: readonly RecordedCrash[],
	confined: ReadonlySet<string>,
	nowMs: number,
): ReadonlySet<string> {
	const events = groupEvents(crashes.filter(({ atMs }) => nowMs - atMs <= seriesMs));
	if (events.length < minEvents) {
		return new Set([...confined].filter((route) => events.some(({ routes }) => routes.has(route))));
	}
	const recentShares = computeShares(events.map(({ recentRoutes }) => recentRoutes));
	const suspected = selectRoutes(recentShares, minEventShare);
	const kept = [...confined].filter((route) => (recentShares.get(route) ?? 0) >= exonerationShare);
	if (suspected.length + kept.length > 0) {
		return new Set([...suspected, ...kept]);
	}
	return new Set(selectRoutes(computeShares(events.map(({ routes }) => routes)), minEventShare));
}

function groupEvents(crashes: readonly RecordedCrash[]): readonly CrashEvent[] {
	const events: { atMs: number; recentRoutes: Set<string>; routes: Set<string> }[] = [];
	for (const { atMs, runs } of [...crashes].sort((left, right) => left.atMs - right.atMs)) {
		const last = events.at(-1);
		const isSame = last !== undefined && atMs - last.atMs <= sameEventMs;
		const event = isSame ? last : { atMs, recentRoutes: new Set<string>(), routes: new Set<string>() };
		if (!isSame) {
			events.push(event);
		}
		for (const { route, ageMs } of runs) {
			event.routes.add(route);
			if (ageMs <= recentRunAgeMs) {
				event.recentRoutes.add(route);
			}
		}
	}
	return events;
}

function computeShares(routeSets: readonly ReadonlySet<string>[]): ReadonlyMap<string, number> {
	const shares = new Map<string, number>();
	for (const routes of routeSets) {
		for (const route of routes) {
			shares.set(route, (shares.get(route) ?? 0) + 1 / routeSets.length);
		}
	}
	return shares;
}

function selectRoutes(shares: ReadonlyMap<string, number>, minShare: number): readonly string[] {
	return [...shares].filter(([, share]) => share >= minShare - 1e-9).map(([route]) => route);
}
