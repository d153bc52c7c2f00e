/** Pseudo-random numbers from a seed, so that a run can be repeated. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/**
 * Generates a sequence of pseudo-random numbers that depends only on the seed.
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

	/** Returns a number from 0 (included) to 1 (excluded). */
	readonly next = (): number => uniformFloat64(this._generator);

	/** Returns an integer from `low` to `high`, both included. */
	integer(low: number, high: number): number {
		return uniformInt(this._generator, low, high);
	}

	/**
	 * Returns a random element of a list.
	 *
	 * @throws RangeError when the list is empty
	 */
	pick<T>(list: readonly T[]): T {
		const chosen = list[this.integer(0, list.length - 1)];
		if (chosen === undefined) {
			throw new RangeError('An element can only be picked from a list that is not empty.');
		}
		return chosen;
	}

	/** Returns an exponentially distributed number, such as the time between events of a Poisson process. */
	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}
}
