/** Helpers for asynchronous code: deferred results, cancellable delays, backoff and polling. */

/** Thrown by cancelled operations. It is expected, so it is neither logged nor reported. */
export class CancellationError extends Error {
	constructor() {
		super('The operation was cancelled.');
		this.name = 'CancellationError';
	}
}

/** A promise that is settled by the methods of this object. */
export class Deferred<T> {
	readonly promise: Promise<T>;
	private _resolve!: (value: T) => void;
	private _reject!: (reason: Error) => void;
	private _isSettled = false;

	constructor() {
		this.promise = new Promise<T>((resolve, reject) => {
			this._resolve = resolve;
			this._reject = reject;
		});
	}

	/** Whether the promise has been resolved or rejected. */
	get isSettled(): boolean {
		return this._isSettled;
	}

	resolve(value: T): void {
		this._isSettled = true;
		this._resolve(value);
	}

	reject(reason: Error): void {
		this._isSettled = true;
		this._reject(reason);
	}
}

/**
 * Waits for the given time, or until the signal is aborted.
 *
 * @throws CancellationError when the signal is aborted first
 * @example
 * await delay(100, signal);
 */
export function delay(waitMs: number, signal?: AbortSignal): Promise<void> {
	return new Promise((resolve, reject) => {
		if (signal?.aborted) {
			reject(new CancellationError());
			return;
		}
		const onAbort = () => {
			clearTimeout(timer);
			reject(new CancellationError());
		};
		const timer = setTimeout(() => {
			signal?.removeEventListener('abort', onAbort);
			resolve();
		}, waitMs);
		signal?.addEventListener('abort', onAbort, { once: true });
	});
}

/** Waits of an exponential backoff before the first retry and at most, without jitter. */
export interface BackoffOptions {
	readonly firstMs: number;
	readonly maxMs: number;
}

/**
 * Returns the wait before a retry in milliseconds: it doubles with each attempt up to a maximum, and a random part of up
 * to one half is subtracted, so that processes that lost the same peer don't reconnect at the same time.
 *
 * @param attempt number of earlier retries, from 0
 * @param random returns a number from 0 (included) to 1 (excluded)
 * @example
 * await delay(backoffMs({ firstMs: 50, maxMs: 2000 }, attempt, Math.random), signal);
 */
export function backoffMs(options: BackoffOptions, attempt: number, random: () => number): number {
	const ceilingMs = Math.min(options.maxMs, options.firstMs * 2 ** Math.min(attempt, 30));
	return ceilingMs / 2 + (ceilingMs / 2) * random();
}

/**
 * Polls a condition at an interval until it holds. For tests and commands, not for hot paths.
 *
 * @param conditionText the condition in words, for the error message
 * @throws Error that names the condition, on a timeout
 * @example
 * await waitFor('the entry is ready', 5000, async () => (await fetch(url)).ok);
 */
export async function waitFor(
	conditionText: string,
	timeoutMs: number,
	condition: () => boolean | Promise<boolean>,
	intervalMs = 10,
): Promise<void> {
	const timeoutAtMs = performance.now() + timeoutMs;
	while (!(await condition())) {
		if (performance.now() > timeoutAtMs) {
			throw new Error(`Timed out after ${timeoutMs} ms while waiting until ${conditionText}.`);
		}
		await delay(intervalMs);
	}
}
