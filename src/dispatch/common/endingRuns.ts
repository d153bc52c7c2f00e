/** Keeps the earlier starts of tasks that may still be at work at agents, so that no task is started again beside one. */

import type { AgentRow } from './agentTable.js';
import { getTaskKey, isSameStart, type TaskRef, type TaskStartRef } from './dispatchMessages.js';

/** Longest wait for the end of a run at an agent that stays connected; agents report the end of each start. */
const maxWaitMs = 10_000;

interface EndingRun {
	readonly start: TaskStartRef;
	readonly agentId: string;
	/** Incarnation of the agent; `undefined` if the run was sent to an earlier one than is known. */
	readonly agent: AgentRow | undefined;
	/** Time from which on the run can't be at work any more. */
	untilMs: number;
}

/**
 * Holds runs of which an entry has let go: those of jobs that have ended, and those that an agent holds and the entry doesn't know. Their
 * agents were told to stop them, or will be once they connect.
 *
 * @example
 * endingRuns.add({ start, agentId, agent }, nowMs);
 * endingRuns.has(task, nowMs); // true, until the agent reports the end
 */
export class EndingRuns {
	private readonly _runs = new Map<string, EndingRun[]>();

	/** Adds a run; `untilMs` is known if its agent can't be reached. */
	add({ start, agentId, agent }: Omit<EndingRun, 'untilMs'>, nowMs: number, untilMs?: number): void {
		const run = { start, agentId, agent, untilMs: untilMs ?? nowMs + maxWaitMs };
		const key = getTaskKey(start);
		const others = (this._runs.get(key) ?? []).filter(
			(other) => other.agent !== agent || !isSameStart(other.start, start),
		);
		this._runs.set(key, [...others, run]);
	}

	/** Returns whether an earlier start of a task may still be at work. */
	has(task: TaskRef, nowMs: number): boolean {
		return this._runs.get(getTaskKey(task))?.some(({ untilMs }) => nowMs < untilMs) ?? false;
	}

	/** Handles the end of a run that its agent has reported. */
	handleEnd(agent: AgentRow, end: TaskStartRef): void {
		const isEnded = (run: EndingRun): boolean => run.agent === agent && isSameStart(run.start, end);
		this._keepWhere(getTaskKey(end), (run) => !isEnded(run));
	}

	/** Handles that an agent can't be reached, so that its runs end by themselves until a time. */
	handleAgentLost(agent: AgentRow, untilMs: number): void {
		for (const run of [...this._runs.values()].flat()) {
			if (run.agent === agent) {
				run.untilMs = Math.min(run.untilMs, untilMs);
			}
		}
	}

	/** Handles the list of all runs that an agent holds. */
	handleHeldRuns(agent: AgentRow, heldRuns: readonly TaskStartRef[]): void {
		const heldKeys = new Set(heldRuns.map(getTaskKey));
		for (const key of [...this._runs.keys()]) {
			const isHeld = ({ start }: EndingRun): boolean =>
				heldKeys.has(key) && heldRuns.some((held) => getTaskKey(held) === key && isSameStart(held, start));
			this._keepWhere(key, (run) => run.agent !== agent || isHeld(run));
		}
	}

	/** Handles that no run of an agent's earlier incarnations is left. */
	handleEarlierIncarnationsEnded(agent: AgentRow): void {
		for (const key of [...this._runs.keys()]) {
			this._keepWhere(key, (run) => run.agentId !== agent.agentId || run.agent === agent);
		}
	}

	/** Forgets the runs that have ended by themselves. */
	forgetEnded(nowMs: number): void {
		for (const key of [...this._runs.keys()]) {
			this._keepWhere(key, ({ untilMs }) => nowMs < untilMs);
		}
	}

	private _keepWhere(key: string, shouldKeep: (run: EndingRun) => boolean): void {
		const kept = this._runs.get(key)?.filter(shouldKeep) ?? [];
		if (kept.length > 0) {
			this._runs.set(key, kept);
		} else {
			this._runs.delete(key);
		}
	}
}
