import test from 'ava';
import { fitLine } from '../common/linearFit.js';

test('points on a line give its slope and intercept', (t) => {
	const fit = fitLine([10, 50, 200].map((x) => ({ x, y: 3 + 0.5 * x })));
	t.true(Math.abs(fit.slope - 0.5) < 1e-9);
	t.true(Math.abs(fit.intercept - 3) < 1e-9);
	t.true(fit.explainedShare > 0.999999);
});

test('scattered points explain less', (t) => {
	const fit = fitLine([
		{ x: 0, y: 0 },
		{ x: 1, y: 10 },
		{ x: 2, y: 0 },
		{ x: 3, y: 10 },
	]);
	t.true(fit.explainedShare < 0.5);
});

test('one place gives no line', (t) => {
	t.throws(
		() =>
			fitLine([
				{ x: 1, y: 1 },
				{ x: 1, y: 2 },
			]),
		{ instanceOf: RangeError },
	);
});
