/** Computes which entries the directory should list. A pure function that the leader calls on every tick. */

import type { DrainRow } from '../../declarations/common/tables.js';
import type { EntryDirectory, EntryMember } from '../../protocol/common/keeperMessages.js';
import type { KnownProcess } from '../../control/common/memberRegistry.js';

/** Inputs of {@link planDirectory}. */
export interface DirectoryPlanInputs {
	readonly directory: EntryDirectory;
	readonly processes: readonly KnownProcess[];
	readonly drains: readonly DrainRow[];
	/**
	 * Whether entries that are not known to be live may be removed. False for a new leader, or one that was itself
	 * suspended, until every process has had time to report.
	 */
	readonly canRemoveSilentEntries: boolean;
}

/**
 * Returns the entries that the directory should list, sorted by id, or undefined if it lists exactly these already.
 *
 * @example
 * const entries = planDirectory({ directory, processes, drains: tables.drains, canRemoveSilentEntries: true });
 */
export function planDirectory(inputs: DirectoryPlanInputs): readonly EntryMember[] | undefined {
	const drainedNames = new Set(inputs.drains.map((drain) => drain.name));
	const entries = new Map<string, EntryMember>();
	for (const member of inputs.directory.entries) {
		entries.set(member.processId, {
			...member,
			isDraining: member.isDraining || drainedNames.has(member.processId),
		});
	}
	const knownEntries = new Map(
		inputs.processes.filter(isEntryProcess).map((process) => [process.processId, process]),
	);
	for (const member of inputs.directory.entries) {
		if (shouldRemoveEntry(member, knownEntries.get(member.processId), inputs.canRemoveSilentEntries)) {
			entries.delete(member.processId);
		}
	}
	for (const process of knownEntries.values()) {
		const member = toEntryMember(process, drainedNames);
		if (process.isLive && member !== undefined) {
			entries.set(member.processId, member);
		}
	}
	const planned = [...entries.values()].sort((a, b) => (a.processId < b.processId ? -1 : 1));
	return areSameMembers(planned, inputs.directory.entries) ? undefined : planned;
}

function isEntryProcess(process: KnownProcess): boolean {
	return process.role === 'entry';
}

function shouldRemoveEntry(
	member: EntryMember,
	process: KnownProcess | undefined,
	canRemoveSilent: boolean,
): boolean {
	if (process?.hasLeft === true && process.incarnation === member.incarnation) {
		return true;
	}
	return canRemoveSilent && process?.isLive !== true;
}

function toEntryMember(process: KnownProcess, drainedNames: ReadonlySet<string>): EntryMember | undefined {
	const { processId, incarnation, status } = process;
	if (status.peerAddress === undefined) {
		return undefined;
	}
	return {
		processId,
		incarnation,
		peerAddress: status.peerAddress,
		dataCentre: status.dataCentre,
		isDraining: status.isDraining || drainedNames.has(processId),
	};
}

function areSameMembers(a: readonly EntryMember[], b: readonly EntryMember[]): boolean {
	return a.length === b.length && a.every((member, index) => isSameMember(member, b[index]));
}

function isSameMember(a: EntryMember, b: EntryMember | undefined): boolean {
	return (
		a.processId === b?.processId &&
		a.incarnation === b.incarnation &&
		a.peerAddress === b.peerAddress &&
		a.dataCentre === b.dataCentre &&
		a.isDraining === b.isDraining
	);
}
