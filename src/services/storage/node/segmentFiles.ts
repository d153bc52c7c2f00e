/** Names, reads and validates the segment files of a log. */

import { open, readdir, readFile, unlink } from 'node:fs/promises';
import path from 'node:path';
import { createDamagedFileError } from '../common/storageError.js';
import { syncFolder } from './diskAccess.js';
import {
	hasProofOfSync,
	hasSegmentHeader,
	readRecord,
	segmentHeaderBytes,
	type ScannedRecord,
} from './recordCodec.js';

/** A segment file and the records in it. */
export interface Segment {
	readonly file: string;
	readonly firstIndex: number;
	/** Offset of the end of the last record. */
	sizeBytes: number;
	/** Offset of the end of each record, in the order of the records. */
	readonly recordEndOffsetsBytes: number[];
}

/** A segment and the records read from its file. */
export interface ScannedSegment {
	readonly segment: Segment;
	readonly records: readonly ScannedRecord[];
	/** Number of bytes after the last readable record. */
	readonly cutBytes: number;
}

const fileNamePattern = /^segment-(\d{16})$/;

/** Returns the file name of the segment whose first record has the given index. */
export function getSegmentFileName(firstIndex: number): string {
	return `segment-${String(firstIndex).padStart(16, '0')}`;
}

/** Returns the index of the first record of each segment in a folder, in ascending order. */
export async function listFirstIndexes(folder: string): Promise<number[]> {
	const names = await readdir(folder);
	return names
		.flatMap((name) => fileNamePattern.exec(name)?.[1] ?? [])
		.map(Number)
		.sort((left, right) => left - right);
}

/**
 * Reads a segment before the last one. It was synced completely before the next segment was created.
 *
 * @throws StorageError `damaged` when a record is unreadable or missing
 */
export async function readSealedSegment(
	folder: string,
	firstIndex: number,
	nextFirstIndex: number,
): Promise<ScannedSegment> {
	const file = path.join(folder, getSegmentFileName(firstIndex));
	const bytes = await readFile(file);
	requireHeader(file, bytes, firstIndex);
	const scanned = scanSegment(file, bytes, firstIndex);
	const nextIndex = firstIndex + scanned.records.length;
	if (nextIndex !== nextFirstIndex || scanned.cutBytes > 0) {
		throw createDamagedFileError(
			file,
			scanned.segment.sizeBytes,
			`Record ${nextIndex} is unreadable, and the next segment begins at ${nextFirstIndex}.`,
		);
	}
	return scanned;
}

/**
 * Reads the last segment and removes a torn write at its end. A file without a complete header, left by a crash during
 * its creation, is removed, and `undefined` is returned.
 *
 * @param syncedIndex highest index known to have been synced
 * @throws StorageError `damaged` when a synced record is unreadable or missing
 */
export async function readLastSegment(
	folder: string,
	firstIndex: number,
	syncedIndex: number,
): Promise<ScannedSegment | undefined> {
	const file = path.join(folder, getSegmentFileName(firstIndex));
	const bytes = await readFile(file);
	if (
		bytes.length <= segmentHeaderBytes &&
		!hasSegmentHeader(bytes, firstIndex) &&
		syncedIndex < firstIndex
	) {
		await unlink(file);
		await syncFolder(folder);
		return undefined;
	}
	requireHeader(file, bytes, firstIndex);
	const scanned = scanSegment(file, bytes, firstIndex);
	const unreadableIndex = firstIndex + scanned.records.length;
	const { sizeBytes } = scanned.segment;
	if (unreadableIndex <= syncedIndex || hasProofOfSync(bytes, sizeBytes, unreadableIndex)) {
		throw createDamagedFileError(
			file,
			sizeBytes,
			`Record ${unreadableIndex} is unreadable, although it was synced.`,
		);
	}
	if (scanned.cutBytes > 0) {
		await truncateFile(file, sizeBytes);
	}
	return scanned;
}

/** Truncates a file and waits until the change is synced to the disk. */
export async function truncateFile(file: string, sizeBytes: number): Promise<void> {
	const handle = await open(file, 'r+');
	try {
		await handle.truncate(sizeBytes);
		await handle.sync();
	} finally {
		await handle.close();
	}
}

function requireHeader(file: string, bytes: Buffer, firstIndex: number): void {
	if (!hasSegmentHeader(bytes, firstIndex)) {
		throw createDamagedFileError(
			file,
			0,
			`It does not begin with the header of the segment from ${firstIndex}.`,
		);
	}
}

function scanSegment(file: string, bytes: Buffer, firstIndex: number): ScannedSegment {
	const records: ScannedRecord[] = [];
	const recordEndOffsetsBytes: number[] = [];
	let sizeBytes = segmentHeaderBytes;
	for (;;) {
		const record = readRecord(bytes, sizeBytes);
		if (record?.index !== firstIndex + records.length) {
			break;
		}
		records.push(record);
		sizeBytes = record.endOffsetBytes;
		recordEndOffsetsBytes.push(sizeBytes);
	}
	const segment: Segment = { file, firstIndex, sizeBytes, recordEndOffsetsBytes };
	return { segment, records, cutBytes: bytes.length - sizeBytes };
}
