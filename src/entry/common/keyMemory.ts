/**
 * Remembers finished submissions by their identity.
 *
 * The answers are bounded by bytes and the oldest give way; the identities are kept for their whole retention, so
 * that a submission whose answer was given up is still never started again.
 */

import { LRUCache } from 'lru-cache';
import type { JobAnswer } from '../../protocol/common/jobs.js';

/** A finished submission. */
export interface RememberedSubmission {
	/** Absent when the answer had to make room. */
	readonly answer: JobAnswer | undefined;
	readonly fingerprint: string | undefined;
}

interface FinishedKey {
	readonly fingerprint: string | undefined;
	readonly untilMs: number;
}

const maxAnswerBytes = 24 * 1024 * 1024;
/** About 20 MB of identities. */
const maxKeys = 150_000;
const fixedAnswerBytes = 200;

function answerBytes(answer: JobAnswer): number {
	if (answer.status !== 'complete') {
		return fixedAnswerBytes;
	}
	return answer.resultsJson.reduce((sum, text) => sum + text.length, fixedAnswerBytes);
}

/** Memory of finished submissions. */
export class KeyMemory {
	private readonly _answers = new LRUCache<string, JobAnswer>({
		maxSize: maxAnswerBytes,
		sizeCalculation: answerBytes,
	});
	/** In order of expiry, since every key is kept for the same time. */
	private readonly _keys = new Map<string, FinishedKey>();

	constructor(private readonly _retentionMs: number) {}

	/** Whether another key could not be remembered: then no new keyed job may start. */
	get isFull(): boolean {
		return this._keys.size >= maxKeys;
	}

	get size(): number {
		return this._keys.size;
	}

	/** Remembers a submission that may have run. */
	remember(submissionId: string, answer: JobAnswer, fingerprint: string | undefined, nowMs: number): void {
		this._expire(nowMs);
		this._keys.delete(submissionId);
		this._keys.set(submissionId, { fingerprint, untilMs: nowMs + this._retentionMs });
		this._answers.set(submissionId, answer);
	}

	/** What is known of a finished submission. */
	recall(submissionId: string, nowMs: number): RememberedSubmission | undefined {
		this._expire(nowMs);
		const key = this._keys.get(submissionId);
		if (key === undefined) {
			return undefined;
		}
		return { answer: this._answers.get(submissionId), fingerprint: key.fingerprint };
	}

	/** The newest submissions of which the answer is still known. */
	newest(count: number): { submissionId: string; answer: JobAnswer; fingerprint: string | undefined }[] {
		const found: { submissionId: string; answer: JobAnswer; fingerprint: string | undefined }[] = [];
		for (const [submissionId, answer] of this._answers.entries()) {
			if (found.length >= count) {
				break;
			}
			found.push({ submissionId, answer, fingerprint: this._keys.get(submissionId)?.fingerprint });
		}
		return found;
	}

	private _expire(nowMs: number): void {
		for (const [submissionId, { untilMs }] of this._keys) {
			if (untilMs > nowMs) {
				return;
			}
			this._keys.delete(submissionId);
			this._answers.delete(submissionId);
		}
	}
}
