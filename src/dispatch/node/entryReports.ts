/** What an agent tells each entry: its worker's state when that changes, and the ends of the entry's runs at once. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type {
	AgentReportMessage,
	TaskEndReport,
	TaskRunRef,
	WorkerState,
} from '../common/dispatchMessages.js';
import { isWorkerNews } from '../common/workerNews.js';

/** Least time that news of the worker alone waits for more of it; a collision by an older view costs about as much. */
const minDelayMs = 6;
/** The same for each connected entry, so that an agent's messages grow little with the entries. */
const delayPerEntryMs = 2;
/** Longest time without a report while anything changes, however little. */
const maxQuietMs = 240;

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
	told: WorkerState | undefined;
	toldAtMs: number;
	isIntroduced: boolean;
}

/** Gathers and sends reports. */
export class EntryReports extends Disposable {
	private readonly _links = new Map<number, EntryLink>();
	private _timer: NodeJS.Timeout | undefined;
	private _isDueNow = false;

	constructor(
		private readonly _source: IReportSource,
		private readonly _clock: IClock,
	) {
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
			told: undefined,
			toldAtMs: -Infinity,
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

	/** Reports the state soon to those for whom it is news. */
	stateChanged(): void {
		this._timer ??= setTimeout(
			() => {
				this._timer = undefined;
				this.flush();
			},
			Math.max(minDelayMs, delayPerEntryMs * this._links.size),
		);
	}

	/** Sends all that is due. */
	flush(): void {
		const quietSinceMs = this._clock.nowMs() - maxQuietMs;
		this._send(
			(link, state) => isDue(link) || link.toldAtMs <= quietSinceMs || isWorkerNews(link.told, state),
		);
	}

	private _sendNow(): void {
		if (this._isDueNow) {
			return;
		}
		this._isDueNow = true;
		setImmediate(() => {
			this._isDueNow = false;
			this._send(isDue);
		});
	}

	private _send(isWanted: (link: EntryLink, state: WorkerState | undefined) => boolean): void {
		if (this._links.size === 0) {
			return;
		}
		const state = this._source.state();
		for (const link of this._links.values()) {
			if (isWanted(link, state)) {
				this._sendTo(link, state);
			}
		}
	}

	private _sendTo(link: EntryLink, state: WorkerState | undefined): void {
		const { linkId, handledSequence, ends, entryKey, isIntroduced } = link;
		link.isIntroduced = true;
		link.told = state;
		link.toldAtMs = this._clock.nowMs();
		link.ends = [];
		this._source.send(linkId, {
			kind: 'agentReport',
			handledSequence,
			ends,
			...(state === undefined ? {} : { state }),
			...(isIntroduced ? {} : { heldRuns: this._source.heldRunsOf(entryKey) }),
		});
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

/** Whether a connection's first report, or an end, has to be sent. */
function isDue({ isIntroduced, ends }: EntryLink): boolean {
	return !isIntroduced || ends.length > 0;
}
