/**
 * Store of finished submissions by submission id.
 *
 * The answers are limited by size, and the least recently used are evicted first. The ids are kept for the whole
 * retention time, so that a submission whose answer was evicted is still never started again.
 */

import { LRUCache } from 'lru-cache';
import type { JobAnswer } from '../../protocol/common/jobs.js';

/** A finished submission. */
export interface FinishedSubmission {
	/** Absent when the answer has been evicted. */
	readonly answer: JobAnswer | undefined;
	readonly fingerprint: string | undefined;
}

interface RetainedKey {
	readonly fingerprint: string | undefined;
	readonly untilMs: number;
}

/** Maximum total size of the stored answers. */
const maxTotalAnswerBytes = 24 * 1024 * 1024;
/** Maximum number of ids, which take about 20 MB. */
const maxKeys = 150_000;
/** Estimated size of an answer without its results. */
const answerOverheadBytes = 200;

function estimateAnswerBytes(answer: JobAnswer): number {
	if (answer.status !== 'complete') {
		return answerOverheadBytes;
	}
	return answer.resultsJson.reduce((sum, text) => sum + text.length, answerOverheadBytes);
}

/** Finished submissions, with their answers as far as these fit the size limit. */
export class FinishedSubmissions {
	private readonly _answers = new LRUCache<string, JobAnswer>({
		maxSize: maxTotalAnswerBytes,
		sizeCalculation: estimateAnswerBytes,
	});
	/** Retained submission ids. Insertion order is the order of expiry, as all are kept equally long. */
	private readonly _keys = new Map<string, RetainedKey>();

	constructor(private readonly _retentionMs: number) {}

	/** Whether the limit on ids is reached. If so, shared repeatable jobs are refused, as their ids could not be kept. */
	get isFull(): boolean {
		return this._keys.size >= maxKeys;
	}

	get size(): number {
		return this._keys.size;
	}

	/** Records a submission that may have run, and its answer. */
	add(submissionId: string, answer: JobAnswer, fingerprint: string | undefined, nowMs: number): void {
		this._deleteExpired(nowMs);
		this._keys.delete(submissionId);
		this._keys.set(submissionId, { fingerprint, untilMs: nowMs + this._retentionMs });
		this._answers.set(submissionId, answer);
	}

	/** Returns a finished submission, or undefined if it is unknown or its retention has ended. */
	find(submissionId: string, nowMs: number): FinishedSubmission | undefined {
		this._deleteExpired(nowMs);
		const key = this._keys.get(submissionId);
		if (key === undefined) {
			return undefined;
		}
		return { answer: this._answers.get(submissionId), fingerprint: key.fingerprint };
	}

	/** Returns up to `count` of the most recently used submissions whose answers are still stored. */
	recentWithAnswers(
		count: number,
	): { submissionId: string; answer: JobAnswer; fingerprint: string | undefined }[] {
		const found: { submissionId: string; answer: JobAnswer; fingerprint: string | undefined }[] = [];
		for (const [submissionId, answer] of this._answers.entries()) {
			if (found.length >= count) {
				break;
			}
			found.push({ submissionId, answer, fingerprint: this._keys.get(submissionId)?.fingerprint });
		}
		return found;
	}

	private _deleteExpired(nowMs: number): void {
		for (const [submissionId, { untilMs }] of this._keys) {
			if (untilMs > nowMs) {
				return;
			}
			this._keys.delete(submissionId);
			this._answers.delete(submissionId);
		}
	}
}
