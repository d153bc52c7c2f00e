/** Draws the faults of a soak test from a seeded random generator. */

import type { SeededRandom } from '../../base/common/random.js';

/** Kinds of faults that a soak injects. */
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

/** Kind of a soak fault. */
export type SoakFaultKind = (typeof soakFaultKinds)[number];

/** One fault of a soak. */
export interface SoakFault {
	readonly kind: SoakFaultKind;
	/** Index, from 0, of the affected process within its role; taken modulo the number of processes. */
	readonly targetIndex: number;
	readonly durationMs: number;
	/** Pause between the end of the fault and the next one of the same sequence. */
	readonly pauseMs: number;
}

const durationMs = { least: 300, most: 4000 } as const;
const pauseMs = { least: 300, most: 2000 } as const;
const maxTargetIndex = 1000;

/**
 * Draws the next fault of a sequence.
 *
 * @example
 * const random = new SeededRandom(seed);
 * const fault = drawFault(random);
 */
export function drawFault(random: SeededRandom): SoakFault {
	return {
		kind: random.pick(soakFaultKinds),
		targetIndex: random.integer(0, maxTargetIndex),
		durationMs: random.integer(durationMs.least, durationMs.most),
		pauseMs: random.integer(pauseMs.least, pauseMs.most),
	};
}
