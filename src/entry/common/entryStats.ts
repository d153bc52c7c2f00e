/** Counters of an entry since its start. A frame is one message on a connection; items are the tasks or jobs in it. */

/** Number of messages of one kind beyond the one start and one answer that each task needs. */
export interface WastedMessageCount {
	frames: number;
	items: number;
}

/** Kinds of messages beyond the one start and one answer that each task needs. */
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

function createMessageCount(): WastedMessageCount {
	return { frames: 0, items: 0 };
}

/** Counters that the core updates. */
export class EntryStats {
	jobs = 0;
	tasks = 0;
	startsSent = 0;
	startFrames = 0;
	outcomesReceived = 0;
	outcomeFrames = 0;
	/** Jobs relayed to their pool's home, and answers sent back to the entries that relayed jobs here. */
	relayedJobs = 0;
	relayedAnswers = 0;
	/** Answers to relayed jobs that an agent sent directly to this entry. */
	directAnswers = 0;
	completeAnswers = 0;
	failedAnswers = 0;
	notRunAnswers = 0;
	joinedSubmissions = 0;
	retries = 0;
	ejections = 0;
	readonly wastedMessages: Record<WastedMessageKind, WastedMessageCount> = {
		probes: createMessageCount(),
		refusals: createMessageCount(),
		polls: createMessageCount(),
		grants: createMessageCount(),
		cancels: createMessageCount(),
		fences: createMessageCount(),
		acknowledgements: createMessageCount(),
		handOvers: createMessageCount(),
		assumptions: createMessageCount(),
	};

	/** Counts one frame that contains the given number of tasks or jobs. */
	countWasted(kind: WastedMessageKind, items: number): void {
		this.wastedMessages[kind].frames += 1;
		this.wastedMessages[kind].items += items;
	}
}
