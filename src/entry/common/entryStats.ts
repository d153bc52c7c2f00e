/** Counters of an entry since its start. Frames are what travels; items are the tasks or jobs named in them. */

/** Messages beyond one start and one answer a task, by kind. */
export interface WastedMessages {
	frames: number;
	items: number;
}

/** Kinds of messages beyond one start and one answer a task. */
export type WastedMessageKind =
	| 'probes'
	| 'refusals'
	| 'polls'
	| 'grants'
	| 'cancels'
	| 'fences'
	| 'acknowledgements'
	| 'handOvers'
	| 'assumptions';

function noMessages(): WastedMessages {
	return { frames: 0, items: 0 };
}

/** Counters that the core keeps. */
export class EntryStats {
	jobs = 0;
	tasks = 0;
	startsSent = 0;
	startFrames = 0;
	outcomesReceived = 0;
	outcomeFrames = 0;
	/** Whole jobs handed to another entry, and answers handed back. */
	relayedJobs = 0;
	relayedAnswers = 0;
	/** Answers to relayed jobs that came straight from an agent. */
	directAnswers = 0;
	completeAnswers = 0;
	failedAnswers = 0;
	notRunAnswers = 0;
	joinedSubmissions = 0;
	retries = 0;
	ejections = 0;
	readonly wastedMessages: Record<WastedMessageKind, WastedMessages> = {
		probes: noMessages(),
		refusals: noMessages(),
		polls: noMessages(),
		grants: noMessages(),
		cancels: noMessages(),
		fences: noMessages(),
		acknowledgements: noMessages(),
		handOvers: noMessages(),
		assumptions: noMessages(),
	};

	/** Counts one frame that names some tasks. */
	countWasted(kind: WastedMessageKind, items: number): void {
		this.wastedMessages[kind].frames += 1;
		this.wastedMessages[kind].items += items;
	}
}
