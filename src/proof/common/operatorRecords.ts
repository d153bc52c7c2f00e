/** Compares the results that operators received with the keepers' change history. */

/** Results that an operator received for one request, including its resends. */
export interface OperatorRecord {
	readonly requestId: string;
	readonly expectedRevision: number;
	/** Definite results in the order of arrival; all must be equal. */
	readonly results: readonly OperatorResult[];
}

/** Definite result of a change. */
export interface OperatorResult {
	readonly outcome: string;
	/** Revision that the change created; absent when it created none. */
	readonly revision?: number;
}

/** A change in the history of a keeper. */
export interface CommittedChange {
	readonly revision: number;
	readonly requestId: string;
}

/**
 * Finds accepted changes that are missing from the history or duplicated in it, refused changes that it contains, and
 * resends with a different result. Returns one sentence for each.
 *
 * @example
 * findLostChanges(operators.records, history); // []
 */
export function findLostChanges(
	records: readonly OperatorRecord[],
	history: readonly CommittedChange[],
): string[] {
	const revisionsByRequest = new Map<string, number[]>();
	for (const { requestId, revision } of history) {
		revisionsByRequest.set(requestId, [...(revisionsByRequest.get(requestId) ?? []), revision]);
	}
	return records.flatMap(
		(record) => describeDiscrepancy(record, revisionsByRequest.get(record.requestId) ?? []) ?? [],
	);
}

function describeDiscrepancy(
	record: OperatorRecord,
	committedRevisions: readonly number[],
): string | undefined {
	const { requestId, results } = record;
	const [first] = results;
	if (first === undefined) {
		// The change has no definite result. It may have been committed, but at most once.
		return committedRevisions.length > 1
			? `The unanswered change ${requestId} appears ${committedRevisions.length} times in the history.`
			: undefined;
	}
	const differentResult = results.find(
		(result) => result.outcome !== first.outcome || result.revision !== first.revision,
	);
	if (differentResult !== undefined) {
		return `The change ${requestId} was answered ${JSON.stringify(first)} and then ${JSON.stringify(differentResult)}.`;
	}
	const reportedRevisions = first.outcome === 'accepted' ? [first.revision] : [];
	if (JSON.stringify(reportedRevisions) === JSON.stringify(committedRevisions)) {
		return undefined;
	}
	return `The change ${requestId} was ${first.outcome} as ${reportedRevisions.join()}, but the history has it as ${committedRevisions.join()}.`;
}
