/** Intervals that share one timer, so that a process with many of them wakes up once for all. */

import { toDisposable, type IDisposable } from '../common/disposable.js';

interface SharedTimer {
	readonly calls: Set<() => void>;
	readonly timer: NodeJS.Timeout;
}

const timersByIntervalMs = new Map<number, SharedTimer>();

/**
 * Calls a function at an interval, together with all others of the same interval. The first call may come sooner than after
 * one interval.
 *
 * @returns a disposable that ends the calls
 * @example
 * store.add(startSharedInterval(() => { sendHeartbeat(); }, 300));
 */
export function startSharedInterval(run: () => void, intervalMs: number): IDisposable {
	const shared = timersByIntervalMs.get(intervalMs) ?? createTimer(intervalMs);
	// A function of its own for each start, so that the same function can be started more than once.
	const call = (): void => {
		run();
	};
	shared.calls.add(call);
	return toDisposable(() => {
		shared.calls.delete(call);
		if (shared.calls.size === 0) {
			clearInterval(shared.timer);
			timersByIntervalMs.delete(intervalMs);
		}
	});
}

function createTimer(intervalMs: number): SharedTimer {
	const calls = new Set<() => void>();
	const timer = setInterval(() => {
		for (const call of calls) {
			call();
		}
	}, intervalMs);
	const shared = { calls, timer };
	timersByIntervalMs.set(intervalMs, shared);
	return shared;
}
