/** Ownership of resources. All objects that hold a socket, timer, file or listener implement {@link IDisposable}. */

/** Holds a resource until `dispose` is called. Further calls have no effect. */
export interface IDisposable {
	dispose(): void;
}

/**
 * Creates a disposable that calls a function when it is disposed, at most once.
 *
 * @example
 * const timer = setInterval(poll, 100);
 * store.add(toDisposable(() => { clearInterval(timer); }));
 */
export function toDisposable(release: () => void): IDisposable {
	let isDisposed = false;
	return {
		dispose: () => {
			if (isDisposed) {
				return;
			}
			isDisposed = true;
			release();
		},
	};
}

/**
 * Owns disposables and disposes them together, the newest first.
 *
 * @example
 * const store = new DisposableStore();
 * const server = store.add(new FrameServer(options));
 * store.dispose();
 */
export class DisposableStore implements IDisposable {
	private readonly _members = new Set<IDisposable>();
	private _isDisposed = false;

	/** Whether {@link dispose} has run. */
	get isDisposed(): boolean {
		return this._isDisposed;
	}

	/** Takes ownership of a disposable and returns it; disposes it at once if the store is already disposed. */
	add<T extends IDisposable>(member: T): T {
		if (this._isDisposed) {
			member.dispose();
			return member;
		}
		this._members.add(member);
		return member;
	}

	/** Disposes one member and removes it from the store. */
	delete(member: IDisposable): void {
		if (this._members.delete(member)) {
			member.dispose();
		}
	}

	/** Disposes all members, the newest first. */
	dispose(): void {
		this._isDisposed = true;
		const members = [...this._members].reverse();
		this._members.clear();
		for (const member of members) {
			member.dispose();
		}
	}
}

/** Base class of services that own resources; subclasses register these with `_register`. */
export abstract class Disposable implements IDisposable {
	private readonly _store = new DisposableStore();

	/** Whether {@link dispose} has run. */
	protected get _isDisposed(): boolean {
		return this._store.isDisposed;
	}

	dispose(): void {
		this._store.dispose();
	}

	protected _register<T extends IDisposable>(member: T): T {
		return this._store.add(member);
	}
}
