/** Replicated routing: the document with the highest version that an operator has published. */

import { Encoder } from 'cbor-x';
import { match } from 'ts-pattern';
import { ReplicatedStateMachine } from '../../replication/common/replicatedLog.js';

/** A published document, in both forms; the bytes are compressed by the caller. */
export interface PublishedRouting {
	readonly version: number;
	/** Digest of the content, by which an equal document is recognised. */
	readonly digest: string;
	/** What the operator sent, for reading it back unchanged. */
	readonly source: Uint8Array;
	/** The decoded document, as processes take it. */
	readonly document: Uint8Array;
}

/** Command of the routing's log. A read takes its place in the log, so that its answer is the newest. */
export type RoutingCommand =
	{ readonly kind: 'publish'; readonly published: PublishedRouting } | { readonly kind: 'read' };

/** What became of a command. `contradicts`: the version holds other content, and the document was not taken. */
export interface RoutingResult {
	readonly outcome: 'stored' | 'unchanged' | 'overtaken' | 'contradicts';
	/** Version in force after the command; 0 before the first. */
	readonly version: number;
}

const snapshotVersion = 1;

interface RoutingSnapshot {
	readonly snapshotVersion: number;
	readonly published: PublishedRouting | undefined;
}

// Records are off, so that each encoded value stands alone.
const codec = new Encoder({ useRecords: false });

/** Encodes a command of the routing's log. */
export function encodeRoutingCommand(command: RoutingCommand): Uint8Array {
	return codec.encode(command);
}

/** Decodes the result of a command. The caller knows the type, since only keepers write to the log. */
export function decodeRoutingResult(bytes: Uint8Array): RoutingResult {
	return codec.decode(bytes) as RoutingResult;
}

/**
 * Holds the document in force. Higher versions replace it; lower ones change nothing.
 *
 * @example
 * const machine = new RoutingStateMachine();
 * machine.apply(1, encodeRoutingCommand({ kind: 'publish', published }));
 */
export class RoutingStateMachine extends ReplicatedStateMachine {
	private _published: PublishedRouting | undefined;

	/** The document in force; `undefined` before the first. */
	get published(): PublishedRouting | undefined {
		return this._published;
	}

	override apply(_index: number, command: Uint8Array): Uint8Array {
		return codec.encode(this.execute(codec.decode(command) as RoutingCommand));
	}

	/** Applies a decoded command. */
	execute(command: RoutingCommand): RoutingResult {
		return match(command)
			.returnType<RoutingResult>()
			.with({ kind: 'publish' }, ({ published }) => this._publish(published))
			.with({ kind: 'read' }, () => ({ outcome: 'unchanged', version: this._published?.version ?? 0 }))
			.exhaustive();
	}

	override encodeSnapshot(): Uint8Array {
		const snapshot: RoutingSnapshot = { snapshotVersion, published: this._published };
		return codec.encode(snapshot);
	}

	override restoreSnapshot(bytes: Uint8Array): void {
		const snapshot = codec.decode(bytes) as RoutingSnapshot;
		if (snapshot.snapshotVersion !== snapshotVersion) {
			throw new Error(
				`The snapshot has version ${snapshot.snapshotVersion}, but this program reads version ` +
					`${snapshotVersion}. Start the program that wrote it.`,
			);
		}
		this._published = snapshot.published;
	}

	private _publish(published: PublishedRouting): RoutingResult {
		const present = this._published;
		if (present === undefined || published.version > present.version) {
			this._published = copyOf(published);
			return { outcome: 'stored', version: published.version };
		}
		if (published.version < present.version) {
			return { outcome: 'overtaken', version: present.version };
		}
		const outcome = published.digest === present.digest ? 'unchanged' : 'contradicts';
		return { outcome, version: present.version };
	}
}

/** The decoded bytes are views of the whole command, which would stay in memory with them. */
function copyOf(published: PublishedRouting): PublishedRouting {
	return {
		...published,
		source: new Uint8Array(published.source),
		document: new Uint8Array(published.document),
	};
}
