/** Measures what a process and its links use over a span of time. */

import { delay } from '../../base/common/async.js';
import type { FaultProxy } from '../../proof/node/faultProxy.js';
import { readProcessUsage } from './processUsage.js';

/** Use over a span of time. */
export interface MeteredUsage {
	readonly elapsedMs: number;
	readonly cpuMs: number;
	/** Resident memory at the end. */
	readonly residentBytes: number;
	/** Bytes on the metered links, both ways. */
	readonly linkBytes: number;
}

/**
 * Measures a process while something else goes on.
 *
 * @param links proxies before the process, whose bytes are counted
 * @example
 * const idle = await meter(keeper.process.pid, [keeper.peerProxy], () => delay(5000));
 */
export async function meter(
	pid: number,
	links: readonly (FaultProxy | undefined)[],
	during: () => Promise<void>,
): Promise<MeteredUsage> {
	const before = { ...readProcessUsage(pid), atMs: performance.now(), linkBytes: countBytes(links) };
	await during();
	const after = { ...readProcessUsage(pid), atMs: performance.now(), linkBytes: countBytes(links) };
	return {
		elapsedMs: after.atMs - before.atMs,
		cpuMs: after.cpuMs - before.cpuMs,
		residentBytes: after.residentBytes,
		linkBytes: after.linkBytes - before.linkBytes,
	};
}

/** Measures a process that has nothing to do. */
export async function meterIdle(
	pid: number,
	links: readonly (FaultProxy | undefined)[],
	spanMs: number,
): Promise<MeteredUsage> {
	return meter(pid, links, () => delay(spanMs));
}

function countBytes(links: readonly (FaultProxy | undefined)[]): number {
	return links.reduce(
		(sum, link) => sum + (link?.counts.bytesToServer ?? 0) + (link?.counts.bytesToClient ?? 0),
		0,
	);
}
