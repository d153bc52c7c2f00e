/** Refuses starts, and keeps the refusals that wait until an earlier run of the task has ended. */

import type { ILogService } from '../../services/log/common/log.js';
import { toRunRef, toStartRef, type RefusalReason, type TaskStartRef } from '../common/dispatchMessages.js';
import type { HeldRun } from '../common/heldRuns.js';
import type { RunRecords } from './runRecords.js';
import type { RunStopper } from './runStopper.js';

/**
 * Refuses starts. A refusal lets the entry start the task elsewhere, so it is reported only once no earlier run of the task is held.
 * A held run that a newer start replaces is stopped.
 *
 * @example
 * refusedStarts.refuse('entry-1/life-1', start, 'noRoom');
 */
export class RefusedStarts {
	constructor(
		private readonly _records: RunRecords,
		private readonly _stopper: RunStopper,
		private readonly _log: ILogService,
	) {}

	refuse(entryKey: string, start: TaskStartRef, reason: RefusalReason): void {
		const { runs } = this._records;
		const knownRun = runs.getLastRunNumber(start);
		const heldRun = runs.get(start);
		if (knownRun > 0) {
			this._log.info('start.refused', {
				...{ ...toRunRef(start), reason, knownRun, entryKey },
				...{ heldPhase: heldRun?.phase, heldFor: heldRun?.entryKey },
			});
		}
		this._records.reportRefusal(entryKey, toStartRef(start), reason);
		if (heldRun !== undefined && isReplaced(heldRun, entryKey, start, reason)) {
			this._stopper.stop(heldRun, 'replaced');
		}
	}
}

/**
 * Returns whether a start shows that a held run of the task is not wanted any more: its entry has let go of it, or the caller has come
 * to another entry.
 */
function isReplaced(heldRun: HeldRun, entryKey: string, start: TaskStartRef, reason: RefusalReason): boolean {
	if (heldRun.entryKey !== entryKey) {
		// A start that comes late may be older than the held run.
		return reason !== 'expired';
	}
	const isIdKnown = heldRun.startId !== undefined && start.startId !== undefined;
	return !isIdKnown || heldRun.startId < start.startId;
}
