/** Drains a process, or ends its drain, by editing one row of the drains table. */

import type { DrainRow, TableEdit } from '../../declarations/common/tables.js';
import type { CommandResult } from '../common/commandResult.js';
import { operatorExitCodes } from '../common/operatorExitCodes.js';
import { changeTables, toErrorResult, type ApplyOptions } from './applyOperation.js';
import type { OperatorClient } from './operatorClient.js';

/** Attempts after conflicts. Retrying is safe, because a drain depends on no other row. */
const maxAttempts = 10;

/**
 * Sets or removes the drain of a process.
 *
 * @param isUndo whether to remove the drain instead of setting it
 * @example
 * await drainProcess(client, 'agent-7', false, { author: 'ana', isDryRun: false, waitMs: 5000 });
 */
export async function drainProcess(
	client: OperatorClient,
	processId: string,
	isUndo: boolean,
	options: ApplyOptions,
): Promise<CommandResult> {
	for (let attempt = 1; ; attempt += 1) {
		const read = await client.readTables();
		if (read.isErr()) {
			return toErrorResult(read.error);
		}
		const { tables } = read.value;
		if (isDrained(tables.drains, processId) !== isUndo) {
			return {
				exitCode: operatorExitCodes.noChange,
				text: `The process "${processId}" is ${isUndo ? 'not drained' : 'already drained'}; nothing was changed.`,
				json: { outcome: 'unchanged', revision: tables.revision },
			};
		}
		const result = await changeTables(client, [createEdit(processId, isUndo)], tables.revision, options);
		if (result.exitCode !== operatorExitCodes.conflict || attempt === maxAttempts) {
			return result;
		}
	}
}

function isDrained(drains: readonly DrainRow[], processId: string): boolean {
	return drains.some((drain) => drain.name === processId);
}

function createEdit(processId: string, isUndo: boolean): TableEdit {
	return isUndo
		? { action: 'delete', table: 'drains', name: processId }
		: { action: 'put', table: 'drains', row: { name: processId } };
}
