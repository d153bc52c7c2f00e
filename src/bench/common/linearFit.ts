/** Straight lines through measured points: what one more member, task or change costs. */

/** A measured point. */
export interface Point {
	readonly x: number;
	readonly y: number;
}

/** `y = intercept + slope * x`, fitted by least squares. */
export interface LinearFit {
	readonly intercept: number;
	readonly slope: number;
	/** Share of the variation that the line explains, from 0 to 1. */
	readonly explainedShare: number;
}

/**
 * Fits a line by least squares.
 *
 * @throws RangeError for fewer than two different values of `x`
 * @example
 * const { slope } = fitLine([{ x: 10, y: 42 }, { x: 200, y: 61 }]);
 */
export function fitLine(points: readonly Point[]): LinearFit {
	const meanX = mean(points.map((point) => point.x));
	const meanY = mean(points.map((point) => point.y));
	const spreadX = sum(points.map((point) => (point.x - meanX) ** 2));
	if (spreadX === 0) {
		throw new RangeError('A line needs points at two different places.');
	}
	const slope = sum(points.map((point) => (point.x - meanX) * (point.y - meanY))) / spreadX;
	const intercept = meanY - slope * meanX;
	const spreadY = sum(points.map((point) => (point.y - meanY) ** 2));
	const residual = sum(points.map((point) => (point.y - intercept - slope * point.x) ** 2));
	return { intercept, slope, explainedShare: spreadY === 0 ? 1 : 1 - residual / spreadY };
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
	return sum(values) / values.length;
}
