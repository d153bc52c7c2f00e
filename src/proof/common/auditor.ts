/** Compares the starts on the upstreams with the readers' answers, and counts broken guarantees. */

import type {
	AuditCoverage,
	AuditInput,
	AuditReport,
	Breach,
	UpstreamLeaving,
	PromiseName,
	ReaderOutcome,
	ReaderRecord,
	RevisionObservation,
	StartRecord,
} from './auditRecords.js';
import { findLostChanges } from './operatorRecords.js';

/** Time after an upstream begins to leave during which it may still receive starts. */
export const upstreamLeavingGraceMs = 2000;

/** Time after its acceptance within which a change must be in force in every process. */
export const inForceLimitMs = 3000;

/**
 * Audits one run and reports every breach of a guarantee.
 *
 * @example
 * const report = audit({ starts: parseJournalStarts(system.readJournals()), readers: readers.records });
 * t.deepEqual(report.breaches, []);
 */
export function audit(input: AuditInput): AuditReport {
	const startsByToken = groupBy(input.starts, (start) => start.token);
	const breaches = [
		...findDuplicateStarts(startsByToken),
		...input.readers.flatMap((record) => findPartialAnswer(record)),
		...input.readers.flatMap((record) => findCrossedAnswer(record)),
		...findUntrueRefusals(input.readers, startsByToken),
		...findCutRequests(input),
		...findLateStarts(input.starts, input.leavings ?? []),
		...findRevertedChanges(input),
		...findLostChangeBreaches(input),
	];
	return {
		counts: countBreaches(breaches),
		breaches,
		outcomes: countOutcomes(input.readers),
		reasons: countReasons(input.readers),
		starts: input.starts.length,
		seen: measureCoverage(input),
		refusalsBesideOtherAttempt: countRefusalsBesideOtherAttempt(input.readers, startsByToken),
	};
}

function findDuplicateStarts(startsByToken: ReadonlyMap<string, readonly StartRecord[]>): Breach[] {
	const breaches: Breach[] = [];
	for (const [token, starts] of startsByToken) {
		const upstreams = starts.map((start) => start.upstream).join(', ');
		for (let extra = 1; extra < starts.length; extra += 1) {
			breaches.push(
				createBreach(
					'doubleStarts',
					`Task ${token} was started ${starts.length} times: ${upstreams}.`,
					token,
				),
			);
		}
	}
	return breaches;
}

function findPartialAnswer(record: ReaderRecord): Breach[] {
	if (record.outcome.kind !== 'complete') {
		return [];
	}
	const { echoedTokens } = record.outcome;
	const missing = echoedTokens.filter((token) => token === undefined).length;
	if (echoedTokens.length === record.tokens.length && missing === 0) {
		return [];
	}
	const resultCount = echoedTokens.length - missing;
	return [
		createBreach(
			'partialAnswers',
			`${describeJob(record)} has ${resultCount} of ${record.tokens.length} results.`,
		),
	];
}

function findCrossedAnswer(record: ReaderRecord): Breach[] {
	if (record.outcome.kind !== 'complete') {
		return [];
	}
	const foreignToken = record.outcome.echoedTokens.find(
		(token, index) => token !== undefined && token !== record.tokens[index],
	);
	if (foreignToken === undefined) {
		return [];
	}
	return [createBreach('crossedAnswers', `${describeJob(record)} got the result of task ${foreignToken}.`)];
}

/**
 * Finds refused attempts whose tasks were started nevertheless. A start is attributed to the refused attempt when no
 * other attempt with the same token that may have started it was sent before the start.
 */
function findUntrueRefusals(
	readers: readonly ReaderRecord[],
	startsByToken: ReadonlyMap<string, readonly StartRecord[]>,
): Breach[] {
	const possibleStartersByToken = groupAttemptsByToken(readers.filter(mayHaveStarted));
	const breaches: Breach[] = [];
	for (const record of readers) {
		if (record.outcome.kind !== 'notRun') {
			continue;
		}
		const startedTokens = record.tokens.filter((token) => {
			const others = possibleStartersByToken.get(token) ?? [];
			return (startsByToken.get(token) ?? []).some(
				(start) => !others.some((other) => other.sentAtMs <= start.atMs),
			);
		});
		if (startedTokens.length > 0) {
			const { reason } = record.outcome;
			breaches.push(
				createBreach(
					'untrueRefusals',
					`${describeJob(record)} was refused (${reason}) but started ${startedTokens[0]}.`,
					startedTokens[0],
				),
			);
		}
	}
	return breaches;
}

function countRefusalsBesideOtherAttempt(
	readers: readonly ReaderRecord[],
	startsByToken: ReadonlyMap<string, readonly StartRecord[]>,
): number {
	return readers.filter(
		(record) =>
			record.outcome.kind === 'notRun' &&
			record.tokens.some((token) =>
				(startsByToken.get(token) ?? []).some((start) => start.atMs < record.endedAtMs),
			),
	).length;
}

function findCutRequests(input: AuditInput): Breach[] {
	const faults = input.entryFaults ?? [];
	const unansweredAttempts = input.readers.filter(
		(record) =>
			record.outcome.kind === 'noAnswer' &&
			!faults.some(
				(fault) =>
					fault.entry === record.entry &&
					fault.fromMs <= record.endedAtMs &&
					fault.untilMs >= record.sentAtMs,
			),
	);
	return unansweredAttempts.map((record) => {
		const message = record.outcome.kind === 'noAnswer' ? record.outcome.message : '';
		return createBreach('cutRequests', `${describeJob(record)} got no answer: ${message}`, record.tokens[0]);
	});
}

function findLateStarts(starts: readonly StartRecord[], leavings: readonly UpstreamLeaving[]): Breach[] {
	return leavings.flatMap((leaving) => {
		const graceEndMs = leaving.leftAtMs + upstreamLeavingGraceMs;
		const returnedAtMs = leaving.returnedAtMs ?? Infinity;
		return starts
			.filter(
				(start) =>
					start.upstream === leaving.upstream && start.atMs > graceEndMs && start.atMs < returnedAtMs,
			)
			.map((start) => {
				const sinceLeavingMs = Math.round(start.atMs - leaving.leftAtMs);
				const description = `${leaving.upstream} got task ${start.token} ${sinceLeavingMs} ms after it left.`;
				return createBreach('lateStarts', description, start.token);
			});
	});
}

function findRevertedChanges(input: AuditInput): Breach[] {
	const observations = [...(input.observations ?? [])].sort((a, b) => a.atMs - b.atMs);
	const highestRevisionByRun = new Map<string, number>();
	const breaches: Breach[] = [];
	for (const observation of observations) {
		const runKey = `${observation.processId}/${observation.incarnation}`;
		const highest = highestRevisionByRun.get(runKey) ?? 0;
		highestRevisionByRun.set(runKey, Math.max(highest, observation.revision));
		const required = observation.isDue === false ? 0 : getRequiredRevision(observation, input);
		if (observation.revision < highest || observation.revision < required) {
			breaches.push(
				createBreach(
					'revertedChanges',
					`${observation.processId} had revision ${observation.revision} in force, not ${Math.max(highest, required)}.`,
				),
			);
		}
	}
	return breaches;
}

function findLostChangeBreaches({ operators }: AuditInput): Breach[] {
	const sentences = operators === undefined ? [] : findLostChanges(operators.records, operators.history);
	return sentences.map((sentence) => createBreach('lostChanges', sentence));
}

function measureCoverage(input: AuditInput): AuditCoverage {
	const leavings = input.leavings ?? [];
	const isAfterLeaving = (start: StartRecord): boolean =>
		leavings.some(
			(leaving) =>
				leaving.upstream === start.upstream &&
				leaving.leftAtMs < start.atMs &&
				start.atMs < (leaving.returnedAtMs ?? Infinity),
		);
	return {
		leavings: leavings.length,
		startsAfterLeaving: input.starts.filter(isAfterLeaving).length,
		observations: input.observations?.length ?? 0,
		changes: input.changes?.length ?? 0,
		operatorRequests: input.operators?.records.length ?? 0,
	};
}

/** Returns the newest revision accepted more than {@link inForceLimitMs} before an observation; 0 when there is none. */
function getRequiredRevision(observation: RevisionObservation, input: AuditInput): number {
	const requiredChanges = (input.changes ?? []).filter(
		(change) => change.acceptedAtMs + inForceLimitMs < observation.atMs,
	);
	return requiredChanges.reduce((highest, change) => Math.max(highest, change.revision), 0);
}

/** Returns whether an attempt may have started its tasks, judging by its answer. */
function mayHaveStarted(record: ReaderRecord): boolean {
	return record.outcome.kind !== 'notRun' && record.outcome.kind !== 'badRequest';
}

function groupAttemptsByToken(records: readonly ReaderRecord[]): ReadonlyMap<string, ReaderRecord[]> {
	const attemptsByToken = new Map<string, ReaderRecord[]>();
	for (const record of records) {
		for (const token of record.tokens) {
			attemptsByToken.set(token, [...(attemptsByToken.get(token) ?? []), record]);
		}
	}
	return attemptsByToken;
}

function groupBy<T>(values: readonly T[], keyOf: (value: T) => string): Map<string, T[]> {
	const grouped = new Map<string, T[]>();
	for (const value of values) {
		const key = keyOf(value);
		const group = grouped.get(key);
		if (group === undefined) {
			grouped.set(key, [value]);
		} else {
			group.push(value);
		}
	}
	return grouped;
}

function countBreaches(breaches: readonly Breach[]): Record<PromiseName, number> {
	const counts: Record<PromiseName, number> = {
		doubleStarts: 0,
		partialAnswers: 0,
		untrueRefusals: 0,
		crossedAnswers: 0,
		cutRequests: 0,
		lateStarts: 0,
		revertedChanges: 0,
		lostChanges: 0,
	};
	for (const { promise } of breaches) {
		counts[promise] += 1;
	}
	return counts;
}

function countOutcomes(readers: readonly ReaderRecord[]): Record<ReaderOutcome['kind'], number> {
	const counts = { complete: 0, failed: 0, notRun: 0, badRequest: 0, noAnswer: 0, left: 0 };
	for (const record of readers) {
		counts[record.outcome.kind] += 1;
	}
	return counts;
}

function countReasons(readers: readonly ReaderRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const { outcome } of readers) {
		if (outcome.kind === 'failed' || outcome.kind === 'notRun') {
			counts[outcome.reason] = (counts[outcome.reason] ?? 0) + 1;
		}
	}
	return counts;
}

function createBreach(promise: PromiseName, description: string, token?: string): Breach {
	return { promise, description, ...(token === undefined ? {} : { token }) };
}

function describeJob(record: ReaderRecord): string {
	const first = record.tokens[0] ?? 'without tasks';
	return `The job of task ${first} at ${record.entry}`;
}
