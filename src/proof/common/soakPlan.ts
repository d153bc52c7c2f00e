/** Plans a soak: a seeded mix of faults, two at a time, each of which ends after a while. */

import type { SeededRandom } from '../../base/common/random.js';

/** Kinds of faults that a soak mixes. */
export const soakFaultKinds = [
	'killEntry',
	'killAgent',
	'killUpstream',
	'killKeeper',
	'freezeEntry',
	'freezeAgent',
	'freezeKeeper',
	'loseKeeperDisk',
	'cutAgentToEntry',
	'cutEntryToAgent',
	'cutEntryToKeeper',
	'cutKeeperToEntry',
	'breakEntryPeers',
	'breakKeeperPeers',
	'delayEntryPeers',
	'drainEntry',
	'drainUpstream',
	'drainAgent',
	'drainAgentByOperator',
] as const;

/** Kind of a fault. */
export type SoakFaultKind = (typeof soakFaultKinds)[number];

/** One fault of a soak. */
export interface SoakFault {
	readonly kind: SoakFaultKind;
	/** Which of the processes of its role it hits, from 0; taken modulo their number. */
	readonly target: number;
	readonly durationMs: number;
	/** Rest after the fault before the lane's next one. */
	readonly pauseMs: number;
}

const durationMs = { least: 300, most: 4000 } as const;
const pauseMs = { least: 300, most: 2000 } as const;
const highestTarget = 1000;

/**
 * Draws the next fault of a lane.
 *
 * @example
 * const random = new SeededRandom(seed);
 * const fault = drawFault(random);
 */
export function drawFault(random: SeededRandom): SoakFault {
	return {
		kind: random.pick(soakFaultKinds),
		target: random.integer(0, highestTarget),
		durationMs: random.integer(durationMs.least, durationMs.most),
		pauseMs: random.integer(pauseMs.least, pauseMs.most),
	};
}
