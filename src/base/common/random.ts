/** Seeded random numbers, so that a run can be repeated from its seed. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/**
 * A sequence of random numbers that depends only on its seed.
 *
 * @example
 * const random = new SeededRandom(42);
 * const slot = random.integer(0, 7);
 */
export class SeededRandom {
	private readonly _generator: RandomGenerator;

	constructor(seed: number) {
		this._generator = xoroshiro128plus(seed);
	}

	/** A number from 0 up to, but without, 1. */
	readonly next = (): number => uniformFloat64(this._generator);

	/** A whole number from `low` to `high`, both included. */
	integer(low: number, high: number): number {
		return uniformInt(this._generator, low, high);
	}

	/** One element of a list that isn't empty. */
	pick<T>(list: readonly T[]): T {
		const chosen = list[this.integer(0, list.length - 1)];
		if (chosen === undefined) {
			throw new RangeError('An element can only be picked from a list that is not empty.');
		}
		return chosen;
	}

	/** A time between events of a Poisson process with the given mean. */
	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}
}
