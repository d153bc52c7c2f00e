/**
 * Encodes and decodes the records of a log segment.
 *
 * Segment header: magic (8 bytes), index of the first record (6 bytes), CRC-32 of both (4 bytes).
 * Record: length of the payload (4 bytes), CRC-32 of the length and of all fields after the checksum (4 bytes), index
 * (6 bytes), highest index that was synced when the record was written (6 bytes), payload. Numbers are big-endian.
 */

import { crc32 } from 'node:zlib';

/** A record of a log. Indexes increase by one from record to record. */
export interface LogRecord {
	readonly index: number;
	readonly payload: Uint8Array;
}

/** A record read from a file. */
export interface ScannedRecord extends LogRecord {
	/** All records up to this index were synced before this record was written. */
	readonly syncedIndex: number;
	readonly endOffsetBytes: number;
}

const magic = Buffer.from('YALOG001');
const indexBytes = 6;

/** Size of a segment's header. */
export const segmentHeaderBytes = magic.length + indexBytes + 4;

/** Size of a record without its payload. */
export const recordHeaderBytes = 4 + 4 + indexBytes + indexBytes;

/** Largest payload; limits the bytes that are checksummed for a record with a damaged length. */
export const maxPayloadBytes = 64 * 1024 * 1024;

const checksumOffsetBytes = 4;
const indexOffsetBytes = 8;
const syncedIndexOffsetBytes = indexOffsetBytes + indexBytes;

/** Encodes the header of a segment. */
export function encodeSegmentHeader(firstIndex: number): Buffer {
	const header = Buffer.alloc(segmentHeaderBytes);
	magic.copy(header);
	header.writeUIntBE(firstIndex, magic.length, indexBytes);
	header.writeUInt32BE(crc32(header.subarray(0, segmentHeaderBytes - 4)), segmentHeaderBytes - 4);
	return header;
}

/** Returns whether the bytes begin with the header of the segment whose first record has the given index. */
export function hasSegmentHeader(bytes: Buffer, firstIndex: number): boolean {
	return bytes.subarray(0, segmentHeaderBytes).equals(encodeSegmentHeader(firstIndex));
}

/**
 * Encodes records into one buffer.
 *
 * @param syncedIndex highest index known to be synced at present
 * @example
 * await handle.write(encodeRecords([{ index: 8, payload }], 7));
 */
export function encodeRecords(records: readonly LogRecord[], syncedIndex: number): Buffer {
	const totalBytes = records.reduce((sum, record) => sum + recordHeaderBytes + record.payload.length, 0);
	const bytes = Buffer.allocUnsafe(totalBytes);
	let offsetBytes = 0;
	for (const record of records) {
		const endOffsetBytes = offsetBytes + recordHeaderBytes + record.payload.length;
		bytes.writeUInt32BE(record.payload.length, offsetBytes);
		bytes.writeUIntBE(record.index, offsetBytes + indexOffsetBytes, indexBytes);
		bytes.writeUIntBE(syncedIndex, offsetBytes + syncedIndexOffsetBytes, indexBytes);
		bytes.set(record.payload, offsetBytes + recordHeaderBytes);
		bytes.writeUInt32BE(
			computeChecksum(bytes, offsetBytes, endOffsetBytes),
			offsetBytes + checksumOffsetBytes,
		);
		offsetBytes = endOffsetBytes;
	}
	return bytes;
}

/** Returns the size of an encoded record. */
export function getEncodedSizeBytes(record: LogRecord): number {
	return recordHeaderBytes + record.payload.length;
}

/** Reads the record at an offset; returns `undefined` when none is there or it is incomplete or damaged. */
export function readRecord(bytes: Buffer, offsetBytes: number): ScannedRecord | undefined {
	if (offsetBytes + recordHeaderBytes > bytes.length) {
		return undefined;
	}
	const payloadBytes = bytes.readUInt32BE(offsetBytes);
	const endOffsetBytes = offsetBytes + recordHeaderBytes + payloadBytes;
	if (payloadBytes > maxPayloadBytes || endOffsetBytes > bytes.length) {
		return undefined;
	}
	const checksum = bytes.readUInt32BE(offsetBytes + checksumOffsetBytes);
	if (checksum !== computeChecksum(bytes, offsetBytes, endOffsetBytes)) {
		return undefined;
	}
	return {
		index: bytes.readUIntBE(offsetBytes + indexOffsetBytes, indexBytes),
		syncedIndex: bytes.readUIntBE(offsetBytes + syncedIndexOffsetBytes, indexBytes),
		payload: bytes.subarray(offsetBytes + recordHeaderBytes, endOffsetBytes),
		endOffsetBytes,
	};
}

/**
 * Returns whether a later record in the file proves that an unreadable record was synced. Only a record that was written
 * after that sync is a proof; one of the same unsynced batch isn't, because a disk may write a batch in any order.
 */
export function hasProofOfSync(bytes: Buffer, fromOffsetBytes: number, unreadableIndex: number): boolean {
	const lastOffsetBytes = bytes.length - recordHeaderBytes;
	for (let offsetBytes = fromOffsetBytes; offsetBytes <= lastOffsetBytes; offsetBytes += 1) {
		const syncedIndex = bytes.readUIntBE(offsetBytes + syncedIndexOffsetBytes, indexBytes);
		const index = bytes.readUIntBE(offsetBytes + indexOffsetBytes, indexBytes);
		if (syncedIndex < unreadableIndex || index <= syncedIndex) {
			continue;
		}
		if (readRecord(bytes, offsetBytes) !== undefined) {
			return true;
		}
	}
	return false;
}

function computeChecksum(bytes: Buffer, offsetBytes: number, endOffsetBytes: number): number {
	const lengthChecksum = crc32(bytes.subarray(offsetBytes, offsetBytes + checksumOffsetBytes));
	return crc32(bytes.subarray(offsetBytes + indexOffsetBytes, endOffsetBytes), lengthChecksum);
}
