/** Typed events. A class holds a private {@link Emitter} and exposes its `event` as `onDidX` or `onWillX`. */

import { toDisposable, type IDisposable } from './disposable.js';

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/**
 * Fires one event and holds its listeners.
 *
 * @example
 * private readonly _onDidClose = this._register(new Emitter<void>());
 * readonly onDidClose = this._onDidClose.event;
 */
export class Emitter<T> implements IDisposable {
	private readonly _listeners = new Set<(value: T) => void>();

	/** Subscribes a listener to the event. */
	readonly event: Event<T> = (listener) => {
		this._listeners.add(listener);
		return toDisposable(() => this._listeners.delete(listener));
	};

	/** Calls all listeners that are subscribed at the time of the call, in the order of subscription. */
	fire(value: T): void {
		for (const listener of [...this._listeners]) {
			listener(value);
		}
	}

	dispose(): void {
		this._listeners.clear();
	}
}
