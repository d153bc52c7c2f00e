/** Takes the platform's reports of how runs ended. */

import { match } from 'ts-pattern';
import type { TaskEnd } from '../../../protocol/common/agentMessages.js';
import type { AgentInput, RunEnd } from '../agentInputs.js';
import type { AgentTick } from '../agentTables.js';
import type { LiveTask, TaskRecord } from '../taskRecord.js';
import { learnUsage, noteUsage } from './guardSystem.js';
import { dropUpstream, suspectUpstream } from './membershipSystem.js';
import { endTask, notStartedEnd, runMsOf } from './taskEnds.js';

type RunEndedInput = Extract<AgentInput, { kind: 'runEnded' }>;

/** Takes the end of a run. One that was given up earlier has no record any more and changes nothing. */
export function takeRunEnd(tick: AgentTick, input: RunEndedInput): void {
	const { tables } = tick;
	const record = tables.tasks.getRun(input.runId);
	if (record?.live === undefined) {
		return;
	}
	if ('usage' in input.end) {
		noteUsage(record.live, input.end.usage);
	}
	learnUsage(tables, record.live);
	if (input.end.state === 'done' && record.live.answerTo !== undefined) {
		tick.answerTo.set(record, record.live.answerTo);
	}
	endTask(tick, record, toTaskEnd(tick, record, record.live, input.end));
	if (input.end.state === 'notStarted' && input.end.cause === 'unreachable') {
		dropUpstream(tick, 'unreachable');
	}
	if (input.end.state === 'lost' && tables.upstream !== undefined) {
		suspectUpstream(tick, tables.upstream);
	}
}

function toTaskEnd(tick: AgentTick, record: TaskRecord, live: LiveTask, end: RunEnd): TaskEnd {
	const runMs = runMsOf(tick, record);
	return match(end)
		.returnType<TaskEnd>()
		.with({ state: 'done' }, ({ resultJson }) => ({ state: 'done', resultJson, runMs }))
		.with({ state: 'failed' }, ({ message }) => ({ state: 'failed', message, runMs }))
		.with({ state: 'stopped' }, () => ({
			state: 'stopped',
			message: live.stopMessage === '' ? 'The upstream stopped the task.' : live.stopMessage,
			runMs,
		}))
		.with({ state: 'notStarted' }, () => notStartedEnd(record, 'upstreamRefused'))
		.with({ state: 'lost' }, ({ message }) => ({ state: 'unknown', message }))
		.exhaustive();
}
