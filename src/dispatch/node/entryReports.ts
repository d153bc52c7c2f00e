/** What an agent tells each entry: its worker's state when that changes, and the ends of the entry's runs at once. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type {
	AgentReportMessage,
	TaskEndReport,
	TaskRunRef,
	WorkerState,
} from '../common/dispatchMessages.js';

/** State-only news wait for others so long. */
const reportDelayMs = 6;

/** Where reports get their content, and where they go. */
export interface IReportSource {
	/** State of the worker; `undefined` while none can be used. */
	state(): WorkerState | undefined;
	/** Runs that are held for an entry. */
	heldRunsOf(entryKey: string): readonly TaskRunRef[];
	send(linkId: number, message: AgentReportMessage): void;
}

interface EntryLink {
	readonly linkId: number;
	readonly entryKey: string;
	handledSequence: number;
	ends: TaskEndReport[];
	isStateDue: boolean;
	isIntroduced: boolean;
}

/** Gathers and sends reports. */
export class EntryReports extends Disposable {
	private readonly _links = new Map<number, EntryLink>();
	private _timer: NodeJS.Timeout | undefined;
	private _isDueNow = false;

	constructor(private readonly _source: IReportSource) {
		super();
		this._register(
			toDisposable(() => {
				clearTimeout(this._timer);
			}),
		);
	}

	/** Begins to report on a connection, first of all ends that the entry may have missed. */
	open(linkId: number, entryKey: string, missedEnds: readonly TaskEndReport[]): void {
		this._links.set(linkId, {
			linkId,
			entryKey,
			handledSequence: 0,
			ends: [...missedEnds],
			isStateDue: true,
			isIntroduced: false,
		});
		this._sendNow();
	}

	/** Ends a connection. Returns its entry, when no other connection to it is open. */
	close(linkId: number): string | undefined {
		const link = this._links.get(linkId);
		this._links.delete(linkId);
		return link === undefined || this._linkOf(link.entryKey) !== undefined ? undefined : link.entryKey;
	}

	/** Run of the entry behind a connection. */
	entryKeyOf(linkId: number): string | undefined {
		return this._links.get(linkId)?.entryKey;
	}

	/** Notes that a message of starts is taken into account. */
	noteHandled(linkId: number, sequence: number): void {
		const link = this._links.get(linkId);
		if (link !== undefined) {
			link.handledSequence = Math.max(link.handledSequence, sequence);
		}
	}

	/** Reports an end at once; an entry that is not connected is told when it is. */
	tell(entryKey: string, report: TaskEndReport): void {
		const link = this._linkOf(entryKey);
		if (link !== undefined) {
			link.ends.push(report);
			this._sendNow();
		}
	}

	/** Reports the state soon. */
	stateChanged(): void {
		for (const link of this._links.values()) {
			link.isStateDue = true;
		}
		this._timer ??= setTimeout(() => {
			this._timer = undefined;
			this.flush();
		}, reportDelayMs);
	}

	/** Sends all that is due. */
	flush(): void {
		this._send(({ isStateDue, ends }) => isStateDue || ends.length > 0);
	}

	private _sendNow(): void {
		if (this._isDueNow) {
			return;
		}
		this._isDueNow = true;
		setImmediate(() => {
			this._isDueNow = false;
			this._send(({ isIntroduced, ends }) => !isIntroduced || ends.length > 0);
		});
	}

	private _send(isDue: (link: EntryLink) => boolean): void {
		const links = [...this._links.values()].filter(isDue);
		if (links.length === 0) {
			return;
		}
		const state = this._source.state();
		for (const link of links) {
			const { linkId, handledSequence, ends, entryKey, isIntroduced } = link;
			link.isIntroduced = true;
			link.isStateDue = false;
			link.ends = [];
			this._source.send(linkId, {
				kind: 'agentReport',
				handledSequence,
				ends,
				...(state === undefined ? {} : { state }),
				...(isIntroduced ? {} : { heldRuns: this._source.heldRunsOf(entryKey) }),
			});
		}
	}

	private _linkOf(entryKey: string): EntryLink | undefined {
		for (const link of this._links.values()) {
			if (link.entryKey === entryKey) {
				return link;
			}
		}
		return undefined;
	}
}
