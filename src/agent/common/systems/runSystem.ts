/** Handles the ends of runs that the platform reports. */

import { match } from 'ts-pattern';
import type { TaskEnd } from '../../../protocol/common/agentMessages.js';
import type { AgentInput, RunEnd } from '../agentInputs.js';
import type { AgentTick } from '../agentTables.js';
import type { LiveTask, TaskRecord } from '../taskRecord.js';
import { addToRouteEstimate, recordUsage } from './guardSystem.js';
import { markUpstreamSuspect, removeUpstream } from './membershipSystem.js';
import { endTask, runDurationMs, toNotStartedEnd } from './taskEnds.js';

type RunEndedInput = Extract<AgentInput, { kind: 'runEnded' }>;

/** Ends the task of a run. Ignores a run that was abandoned earlier, since it has no record any more. */
export function handleRunEnd(tick: AgentTick, input: RunEndedInput): void {
	const { tables } = tick;
	const record = tables.tasks.getByRunId(input.runId);
	if (record?.live === undefined) {
		return;
	}
	if ('usage' in input.end) {
		recordUsage(record.live, input.end.usage);
	}
	addToRouteEstimate(tables, record.live);
	if (input.end.state === 'done' && record.live.answerTo !== undefined) {
		tick.directAnswerEntries.set(record, record.live.answerTo);
	}
	endTask(tick, record, toTaskEnd(tick, record, record.live, input.end));
	if (input.end.state === 'notStarted' && input.end.cause === 'unreachable') {
		removeUpstream(tick, 'unreachable');
	}
	if (input.end.state === 'lost' && tables.upstream !== undefined) {
		markUpstreamSuspect(tick, tables.upstream);
	}
}

function toTaskEnd(tick: AgentTick, record: TaskRecord, live: LiveTask, end: RunEnd): TaskEnd {
	const runMs = runDurationMs(tick, record);
	return match(end)
		.returnType<TaskEnd>()
		.with({ state: 'done' }, ({ resultJson }) => ({ state: 'done', resultJson, runMs }))
		.with({ state: 'failed' }, ({ message }) => ({ state: 'failed', message, runMs }))
		.with({ state: 'stopped' }, () => ({
			state: 'stopped',
			message: live.stopMessage === '' ? 'The upstream stopped the task.' : live.stopMessage,
			runMs,
		}))
		.with({ state: 'notStarted' }, () => toNotStartedEnd(record, 'upstreamRefused'))
		.with({ state: 'lost' }, ({ message }) => ({ state: 'unknown', message }))
		.exhaustive();
}
