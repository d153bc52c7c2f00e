/** Compares the runs that an entry has sent to an agent with those that the agent holds after a reconnection. */

import type { AgentRow, AgentRun } from './agentTable.js';
import { getTaskKey, isSameStart, type TaskStartRef } from './dispatchMessages.js';

/** Result of {@link compareHeldRuns}. */
export interface HeldRunComparison {
	/** Runs that the agent holds and the entry does not know. */
	readonly unknown: readonly TaskStartRef[];
	/** Runs with the phase `inDoubt` that the agent holds, so that they continue. */
	readonly confirmed: readonly AgentRun[];
	/** Runs with the phase `inDoubt` that the agent does not hold, since their start was lost. */
	readonly missing: readonly AgentRun[];
}

/**
 * Compares an agent's held runs with the entry's records.
 *
 * @example
 * const { unknown, confirmed, missing } = compareHeldRuns(agent, report.heldRuns);
 */
export function compareHeldRuns(agent: AgentRow, heldRuns: readonly TaskStartRef[]): HeldRunComparison {
	const getKnown = (run: TaskStartRef): AgentRun | undefined => {
		const known = agent.runs.get(getTaskKey(run));
		return known !== undefined && isSameStart(known.task, run) ? known : undefined;
	};
	const held = new Set(heldRuns.map(getKnown));
	const inDoubt = ({ task }: AgentRun): boolean => task.phase === 'inDoubt';
	return {
		unknown: heldRuns.filter((run) => getKnown(run) === undefined),
		confirmed: heldRuns.flatMap((run) => getKnown(run) ?? []).filter(inDoubt),
		missing: [...agent.runs.values()].filter((run) => !held.has(run) && inDoubt(run)),
	};
}
