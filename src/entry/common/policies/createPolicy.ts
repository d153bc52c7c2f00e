/** Creates placement policies by their names in the settings. */

import { match } from 'ts-pattern';
import type { policyNames } from '../entrySettings.js';
import { BatchSamplingPolicy } from './batchSamplingPolicy.js';
import { HomePolicy } from './homePolicy.js';
import type { PlacementPolicy } from './placementPolicy.js';
import { RandomPolicy } from './randomPolicy.js';
import { TwoChoicesPolicy } from './twoChoicesPolicy.js';

/** Name of a placement policy in the settings. */
export type PolicyName = (typeof policyNames)[number];

/**
 * Creates the placement policy with the given name.
 *
 * @example
 * const core = new EntryCore(options, createPolicy('home'), seed);
 */
export function createPolicy(name: PolicyName): PlacementPolicy {
	return match(name)
		.with('home', () => new HomePolicy())
		.with('random', () => new RandomPolicy())
		.with('twoChoices', () => new TwoChoicesPolicy())
		.with('batchSampling', () => new BatchSamplingPolicy())
		.exhaustive();
}
