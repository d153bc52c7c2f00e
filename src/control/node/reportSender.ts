/** Reports the agents that subscribe to this entry to the keeper. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { MemberReportsMessage } from '../../protocol/common/keeperMessages.js';
import type { MemberRecord } from '../common/memberRegistry.js';
import { ReportWriter } from '../common/reportWriter.js';

/** Delay of a report after a change; changes within it are sent in one report. */
const reportDelayMs = 5;

/** The connection on which reports are sent. */
export interface ReportLink {
	/** Returns whether a keeper is connected. */
	readonly isOpen: () => boolean;
	readonly send: (message: MemberReportsMessage) => void;
}

/** Sends a report with each renewal of the entry's own lease and shortly after a change. */
export class ReportSender extends Disposable {
	private _getRecords: (() => Iterable<MemberRecord>) | undefined;
	private _writer = new ReportWriter();
	private _timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly _link: ReportLink,
		private readonly _clock: IClock,
	) {
		super();
		this._register(
			toDisposable(() => {
				clearTimeout(this._timer);
			}),
		);
	}

	/** Sets the function that returns the records to report. */
	setRecordSource(records: () => Iterable<MemberRecord>): void {
		this._getRecords = records;
	}

	/** Forgets what was reported, because the keeper on a new connection has received no report yet. */
	resetReported(): void {
		this._writer = new ReportWriter();
	}

	/** Sends a report now, unless there are no subscribers and the last report had none either. */
	sendReport(): void {
		if (this._getRecords === undefined || !this._link.isOpen()) {
			return;
		}
		const report = this._writer.write(this._getRecords(), this._clock.nowMs());
		if (!this._writer.isEmpty || report.silent.length > 0) {
			this._link.send(report);
		}
	}

	/** Schedules a report after a subscriber has changed. */
	scheduleReport(): void {
		this._timer ??= setTimeout(() => {
			this._timer = undefined;
			this.sendReport();
		}, reportDelayMs);
	}
}
