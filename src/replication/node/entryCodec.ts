/** Encodes log entries and snapshots for their files, and decodes them. */

import { decode, encode } from 'cbor-x';
import { match } from 'ts-pattern';
import type { LogEntry, Snapshot } from '../common/logEntry.js';
import type { ReplicaMember } from '../common/replicatedLog.js';

const termBytes = 6;
/** Size of the header: the kind (1 byte) and the term. */
const headerBytes = 1 + termBytes;
const kindCodes = { command: 1, noop: 2, members: 3 } as const;

/** Reports a record whose checksum is valid but whose bytes can't be decoded as an entry. */
export class EntryFormatError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'EntryFormatError';
	}
}

/**
 * Encodes an entry without its index, which is stored in the log record.
 *
 * @example
 * const record = { index: entry.index, payload: encodeEntry(entry) };
 */
export function encodeEntry(entry: LogEntry): Buffer {
	const body = match(entry)
		.with({ kind: 'command' }, ({ command }) => command)
		.with({ kind: 'noop' }, () => Buffer.alloc(0))
		.with({ kind: 'members' }, ({ members }) => encode(members))
		.exhaustive();
	const bytes = Buffer.allocUnsafe(headerBytes + body.length);
	bytes.writeUInt8(kindCodes[entry.kind], 0);
	bytes.writeUIntBE(entry.term, 1, termBytes);
	bytes.set(body, headerBytes);
	return bytes;
}

/**
 * Decodes an entry that {@link encodeEntry} encoded.
 *
 * @throws EntryFormatError if the entry's kind is unknown to this version
 */
export function decodeEntry(index: number, payload: Uint8Array): LogEntry {
	const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.length);
	const kindCode = bytes.length < headerBytes ? 0 : bytes.readUInt8(0);
	const term = kindCode === 0 ? 0 : bytes.readUIntBE(1, termBytes);
	const body = bytes.subarray(headerBytes);
	switch (kindCode) {
		case kindCodes.command:
			return { kind: 'command', index, term, command: body };
		case kindCodes.noop:
			return { kind: 'noop', index, term };
		case kindCodes.members:
			return { kind: 'members', index, term, members: decode(body) as ReplicaMember[] };
		default:
			throw new EntryFormatError(
				`Entry ${index} has the kind ${kindCode}, which this version does not know; run a newer version.`,
			);
	}
}

/** Encodes a snapshot as CBOR, the content of its file. */
export function encodeSnapshotFile(snapshot: Snapshot): Buffer {
	return encode(snapshot);
}

/** Decodes a snapshot that {@link encodeSnapshotFile} encoded. */
export function decodeSnapshotFile(bytes: Uint8Array): Snapshot {
	return decode(bytes) as Snapshot;
}
