import test from 'ava';
import { startSharedInterval } from '../sharedInterval.js';

async function wait(durationMs: number): Promise<void> {
	await new Promise((resolve) => setTimeout(resolve, durationMs));
}

test('intervals that start at different times call their functions in the same turn of the event loop', async (t) => {
	const calls: string[] = [];
	const first = startSharedInterval(() => {
		calls.push('first');
		setImmediate(() => calls.push('nextTurn'));
	}, 50);
	await wait(20);
	const second = startSharedInterval(() => {
		calls.push('second');
	}, 50);
	while (calls.length < 6) {
		await wait(10);
	}
	first.dispose();
	second.dispose();
	t.deepEqual(calls.slice(0, 6), ['first', 'second', 'nextTurn', 'first', 'second', 'nextTurn']);
});

test('disposing one of the calls of an interval ends just that one', async (t) => {
	let firstCalls = 0;
	let secondCalls = 0;
	const first = startSharedInterval(() => {
		firstCalls += 1;
		first.dispose();
		first.dispose();
	}, 10);
	const second = startSharedInterval(() => {
		secondCalls += 1;
	}, 10);
	while (secondCalls < 3) {
		await wait(5);
	}
	second.dispose();
	const secondCallsAtEnd = secondCalls;
	await wait(30);
	t.is(firstCalls, 1);
	t.is(secondCalls, secondCallsAtEnd);
});

test('an interval can be started anew after all of its calls were disposed', async (t) => {
	startSharedInterval(() => undefined, 15).dispose();
	let calls = 0;
	const interval = startSharedInterval(() => {
		calls += 1;
	}, 15);
	while (calls < 2) {
		await wait(5);
	}
	interval.dispose();
	t.pass();
});
