/** Replicated state machine that holds the published routing document with the highest version. */

import { Encoder } from 'cbor-x';
import { match } from 'ts-pattern';
import { ReplicatedStateMachine } from '../../replication/common/replicatedLog.js';

/** A published document in two compressed forms: as the operator sent it, and as processes decode it. */
export interface PublishedRouting {
	readonly version: number;
	/** Digest of the content, used to recognise an equal document. */
	readonly digest: string;
	/** Compressed bytes that the operator sent, so that they can be read back unchanged. */
	readonly source: Uint8Array;
	/** Compressed encoding of the parsed document, which processes decode. */
	readonly document: Uint8Array;
}

/** Command in the replicated log. Reads are appended to the log too, which makes them linearizable. */
export type RoutingCommand =
	{ readonly kind: 'publish'; readonly published: PublishedRouting } | { readonly kind: 'read' };

/**
 * Result of a command. `overtaken`: a higher version is in force. `contradicts`: the version is in force with other
 * content. In both cases the document was not stored.
 */
export interface RoutingResult {
	readonly outcome: 'stored' | 'unchanged' | 'overtaken' | 'contradicts';
	/** Version in force after the command; 0 before the first document. */
	readonly version: number;
}

const snapshotVersion = 1;

interface RoutingSnapshot {
	readonly snapshotVersion: number;
	readonly published: PublishedRouting | undefined;
}

// Records are off, so that each value can be decoded on its own.
const codec = new Encoder({ useRecords: false });

/** Encodes a command for the replicated log. */
export function encodeRoutingCommand(command: RoutingCommand): Uint8Array {
	return codec.encode(command);
}

/** Decodes the result of a command. The type is not checked, since only keepers write to the log. */
export function decodeRoutingResult(bytes: Uint8Array): RoutingResult {
	return codec.decode(bytes) as RoutingResult;
}

/**
 * Holds the document in force. A higher version replaces it; a lower version is ignored.
 *
 * @example
 * const machine = new RoutingStateMachine();
 * machine.apply(1, encodeRoutingCommand({ kind: 'publish', published }));
 */
export class RoutingStateMachine extends ReplicatedStateMachine {
	private _published: PublishedRouting | undefined;

	/** Document in force; `undefined` before the first one. */
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
		const current = this._published;
		if (current === undefined || published.version > current.version) {
			this._published = copyPublishedRouting(published);
			return { outcome: 'stored', version: published.version };
		}
		if (published.version < current.version) {
			return { outcome: 'overtaken', version: current.version };
		}
		const outcome = published.digest === current.digest ? 'unchanged' : 'contradicts';
		return { outcome, version: current.version };
	}
}

/** Copies the byte arrays. The decoded ones are views of the whole command and would keep it in memory. */
function copyPublishedRouting(published: PublishedRouting): PublishedRouting {
	return {
		...published,
		source: new Uint8Array(published.source),
		document: new Uint8Array(published.document),
	};
}
