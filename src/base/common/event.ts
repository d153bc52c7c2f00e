/** Typed events. A class keeps a private {@link Emitter} and publishes its `event` as `onDidX` or `onWillX`. */

import { toDisposable, type IDisposable } from './disposable.js';

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/**
 * Source of one event.
 *
 * @example
 * private readonly _onDidClose = this._register(new Emitter<void>());
 * readonly onDidClose = this._onDidClose.event;
 */
export class Emitter<T> implements IDisposable {
	private readonly _listeners = new Set<(value: T) => void>();

	/** The function by which others subscribe. */
	readonly event: Event<T> = (listener) => {
		this._listeners.add(listener);
		return toDisposable(() => this._listeners.delete(listener));
	};

	/** Calls every listener that is subscribed now, in order of subscription. */
	fire(value: T): void {
		for (const listener of [...this._listeners]) {
			listener(value);
		}
	}

	dispose(): void {
		this._listeners.clear();
	}
}
