/** Collects the writes and messages of a step, and holds messages back until the writes they depend on are durable. */

import type { HardState, LogEntry, Snapshot } from './logEntry.js';
import type { FormationMessage, GroupMessage, GroupMessageBody } from './replicaMessages.js';
import type { HeldMessage, ReplicaOutput, ReplicaState } from './replicaState.js';

/**
 * State that must be durable before a message is sent. `term`: the latest term and vote. `entries`: all changes so far.
 */
export type DurabilityRequirement = 'term' | 'entries';

/** Collects the state changes and outputs of one step. */
export class StepContext {
	readonly outputs: ReplicaOutput[] = [];
	private readonly _queuedMessages: (HeldMessage & { readonly requirement: DurabilityRequirement })[] = [];
	private _hardState: HardState | undefined;
	private _truncateAfter: number | undefined;
	private _entries: LogEntry[] = [];
	private _snapshot: Snapshot | undefined;
	private _restartsLog = false;
	private _dropBefore: number | undefined;

	constructor(
		readonly state: ReplicaState,
		readonly nowMs: number,
	) {}

	/** Queues a group message, to be sent once the state that it depends on is durable. Does nothing without a group. */
	send(to: string, toDiskId: string, body: GroupMessageBody, requirement: DurabilityRequirement): void {
		const { hardState } = this.state;
		if (hardState.groupId === undefined) {
			return;
		}
		const envelope = {
			groupId: hardState.groupId,
			term: hardState.term,
			fromDiskId: hardState.diskId,
			toDiskId,
		};
		// TypeScript does not infer that a body and an envelope together form a message of the union.
		const message = { ...body, ...envelope } as GroupMessage;
		this._queuedMessages.push({ to, message, requirement });
	}

	/** Sends a message that depends on no durable state. */
	sendFormationMessage(to: string, message: FormationMessage): void {
		this.outputs.push({ kind: 'send', to, message });
	}

	/** Changes the term, vote or group, and writes the hard state at the end of the step. */
	setHardState(change: Partial<HardState>): void {
		this.state.hardState = { ...this.state.hardState, ...change };
		this._hardState = this.state.hardState;
	}

	/** Appends entries to the log. */
	append(entries: readonly LogEntry[]): void {
		this.state.log.append(entries);
		this._entries.push(...entries);
	}

	/**
	 * Removes the entries after an index, which conflict with the leader's.
	 *
	 * @throws {Error} when a committed entry would be removed
	 */
	truncateAfter(index: number): void {
		if (index < this.state.commitIndex) {
			throw new Error(`The committed entry ${index + 1} must not be removed.`);
		}
		this.state.log.truncateAfter(index);
		this._limitDurableIndex(index);
		this._truncateAfter = index;
	}

	/** Restores a snapshot. The log keeps the entries after it only if the log matches the snapshot (`keepsLog`). */
	installSnapshot(snapshot: Snapshot, keepsLog: boolean): void {
		const { state } = this;
		if (keepsLog) {
			state.log.compact(snapshot, snapshot.index);
		} else {
			state.log.resetToSnapshot(snapshot);
			this._limitDurableIndex(0);
		}
		this._snapshot = snapshot;
		this._restartsLog = !keepsLog;
		state.commitIndex = snapshot.index;
		this.outputs.push({ kind: 'restore', snapshot });
	}

	/** Allows the storage to delete the entries before an index; a stored snapshot must cover them. */
	dropBefore(index: number): void {
		this._dropBefore = index;
	}

	/** Ends the step and returns its outputs. */
	finish(): ReplicaOutput[] {
		this._outputWrite();
		for (const { to, message, requirement } of this._queuedMessages) {
			this._sendOrHold({ to, message }, requirement);
		}
		return this.outputs;
	}

	/** Lowers the durable index, now and on pending writes, since removed entries must not count as durable. */
	private _limitDurableIndex(index: number): void {
		this.state.durableIndex = Math.min(this.state.durableIndex, index);
		for (const write of this.state.pendingWrites) {
			write.lastIndex = Math.min(write.lastIndex, index);
		}
	}

	private _outputWrite(): void {
		const hasChange =
			this._hardState !== undefined ||
			this._truncateAfter !== undefined ||
			this._snapshot !== undefined ||
			this._dropBefore !== undefined ||
			this._entries.length > 0;
		if (!hasChange) {
			return;
		}
		const { state } = this;
		state.lastWriteSequence += 1;
		const write = {
			sequence: state.lastWriteSequence,
			hardState: this._hardState,
			truncateAfter: this._truncateAfter,
			snapshot: this._snapshot,
			restartsLog: this._restartsLog,
			entries: this._entries,
			dropBefore: this._dropBefore,
		};
		this.outputs.push({ kind: 'write', write });
		state.pendingWrites.push({
			sequence: write.sequence,
			hasHardState: this._hardState !== undefined,
			lastIndex: state.log.lastIndex,
			heldMessages: [],
		});
	}

	private _sendOrHold(held: HeldMessage, requirement: DurabilityRequirement): void {
		const blockingWrite = this.state.pendingWrites.findLast(
			(write) => requirement === 'entries' || write.hasHardState,
		);
		if (blockingWrite === undefined) {
			this.outputs.push({ kind: 'send', ...held });
			return;
		}
		blockingWrite.heldMessages.push(held);
	}
}

/** Marks the writes up to a sequence as durable and sends the messages that were held back for them. */
export function handleWritten(ctx: StepContext, sequence: number): void {
	const { state } = ctx;
	const durableWrites = state.pendingWrites.filter((write) => write.sequence <= sequence);
	state.pendingWrites = state.pendingWrites.filter((write) => write.sequence > sequence);
	for (const write of durableWrites) {
		state.durableIndex = Math.max(state.durableIndex, write.lastIndex);
		for (const held of write.heldMessages) {
			ctx.outputs.push({ kind: 'send', ...held });
		}
	}
}
