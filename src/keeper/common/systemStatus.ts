/** Builds the status of the whole system, as one keeper knows it, for the operators' interface. */

import type { ProcessStatus, SystemStatus } from '../../protocol/common/operatorApi.js';
import type { ReplicaStatus } from '../../replication/common/replicatedLog.js';
import type { KeeperStateMachine } from './keeperStateMachine.js';
import { memberRetentionMs, type KnownProcess } from '../../control/common/memberRegistry.js';

/** A keeper that does not report on its subscribers at present. */
export interface SilentKeeper {
	readonly processId: string;
	/** Time since its last report; infinite if it has never reported. */
	readonly silentForMs: number;
}

/** Inputs of {@link createSystemStatus}. */
export interface SystemStatusInputs {
	readonly keeperId: string;
	readonly replica: ReplicaStatus;
	readonly stateMachine: KeeperStateMachine;
	/** Maximum possible age of this keeper's state; undefined if it is unknown. */
	readonly ageMs: number | undefined;
	readonly processes: readonly KnownProcess[];
	readonly silentKeepers: readonly SilentKeeper[];
	/** Time since this keeper started. */
	readonly uptimeMs: number;
	/** Whether this keeper started without any state, so that no process can hold older tables from it. */
	readonly startedWithoutState: boolean;
	readonly nowMs: number;
}

/** Returns the system status for the operators' interface. Processes that have left are not listed. */
export function createSystemStatus(inputs: SystemStatusInputs): SystemStatus {
	const { replica, stateMachine, nowMs } = inputs;
	return {
		keeperId: inputs.keeperId,
		role: replica.role,
		term: replica.term,
		leaderId: replica.leaderId,
		commitIndex: replica.commitIndex,
		appliedIndex: replica.appliedIndex,
		ageMs: inputs.ageMs,
		historyId: stateMachine.historyId,
		revision: stateMachine.tableStore.tables.revision,
		claims: stateMachine.claimCount,
		directory: stateMachine.directory,
		members: replica.members,
		processes: inputs.processes
			.filter((process) => !process.hasLeft)
			.map((process) => toProcessStatus(process, nowMs)),
		silentKeepers: inputs.silentKeepers.map((keeper) => keeper.processId),
		isSettled: areOutdatedProcessesKnown(inputs),
	};
}

/**
 * Returns whether every process that may still use older tables is known. If a keeper has been silent for longer than
 * processes are remembered, its subscribers have moved to another keeper or refuse work because their tables are too
 * old.
 */
function areOutdatedProcessesKnown(inputs: SystemStatusInputs): boolean {
	if (inputs.uptimeMs <= memberRetentionMs) {
		return inputs.startedWithoutState && inputs.silentKeepers.length === 0;
	}
	return inputs.silentKeepers.every((keeper) => keeper.silentForMs > memberRetentionMs);
}

function toProcessStatus(process: KnownProcess, nowMs: number): ProcessStatus {
	const { processId, role, incarnation, keeperId, status, isLive } = process;
	return {
		processId,
		role,
		incarnation,
		dataCentre: status.dataCentre,
		rack: status.rack,
		isDraining: status.isDraining,
		pool: status.offer?.pool,
		httpAddress: status.httpAddress,
		keeperId,
		revisionInForce: status.revisionInForce,
		ageMs: process.ageMs,
		heardAgoMs: Math.round(nowMs - process.heardAtMs),
		isLive,
	};
}
