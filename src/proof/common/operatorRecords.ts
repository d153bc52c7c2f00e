/** Compares what operators were told with the keepers' history. */

/** What an operator was told about one request, over all its resends. */
export interface OperatorRecord {
	readonly requestId: string;
	readonly expectedRevision: number;
	/** Definite results in the order in which they came; all must be equal. */
	readonly results: readonly OperatorResult[];
}

/** A definite result of a change. */
export interface OperatorResult {
	readonly outcome: string;
	/** Revision that was made; absent when none was. */
	readonly revision?: number;
}

/** A change in the history of one keeper. */
export interface KeptChange {
	readonly revision: number;
	readonly requestId: string;
}

/**
 * Finds accepted changes that the history lacks or has twice, changes in it that were refused, and resends that got
 * another result. Returns one sentence for each.
 *
 * @example
 * findLostChanges(operators.records, history); // []
 */
export function findLostChanges(
	records: readonly OperatorRecord[],
	history: readonly KeptChange[],
): string[] {
	const kept = new Map<string, number[]>();
	for (const { requestId, revision } of history) {
		kept.set(requestId, [...(kept.get(requestId) ?? []), revision]);
	}
	return records.flatMap((record) => describeLoss(record, kept.get(record.requestId) ?? []) ?? []);
}

function describeLoss(record: OperatorRecord, keptRevisions: readonly number[]): string | undefined {
	const { requestId, results } = record;
	const [first] = results;
	if (first === undefined) {
		// Never answered for good: it may have been made, but once at most.
		return keptRevisions.length > 1
			? `The unanswered change ${requestId} stands ${keptRevisions.length} times in the history.`
			: undefined;
	}
	const other = results.find(
		(result) => result.outcome !== first.outcome || result.revision !== first.revision,
	);
	if (other !== undefined) {
		return `The change ${requestId} was answered ${JSON.stringify(first)} and then ${JSON.stringify(other)}.`;
	}
	const told = first.outcome === 'accepted' ? [first.revision] : [];
	if (JSON.stringify(told) === JSON.stringify(keptRevisions)) {
		return undefined;
	}
	return `The change ${requestId} was ${first.outcome} as ${told.join()}, but the history has it as ${keptRevisions.join()}.`;
}
