/** Places waiting tasks on workers, and gathers the starts of one moment in one message an agent. */

import { addRun, numberStarts, type AgentRow, type AgentTable } from './agentTable.js';
import type { JobStart, StartTasksMessage } from './dispatchMessages.js';
import { noteStep, type JobRow, type TaskRow } from './jobTable.js';
import { chooseWorker, isEligible, toPlacement, type PlacementRequest } from './placement.js';

/** Weight of a newly placed task in the mean duration. */
const meanWeight = 0.02;
/** First figure of the mean duration. */
const initialMeanTaskMs = 300;

type Starts = Map<AgentRow, Map<JobRow, JobStart>>;

/** Places tasks, job by job. */
export class TaskPlacer {
	private _meanTaskMs = initialMeanTaskMs;

	constructor(
		private readonly _agents: AgentTable,
		private readonly _send: (linkId: number, message: StartTasksMessage) => void,
		private readonly _random: () => number,
	) {}

	/** Mean duration of the tasks that were placed lately, by their estimates. */
	get meanTaskMs(): number {
		return this._meanTaskMs;
	}

	/**
	 * Places what fits now.
	 *
	 * @param jobs with waiting tasks, the most urgent first
	 * @returns the number of starts that were sent
	 */
	place(jobs: readonly JobRow[], nowMs: number): number {
		const starts: Starts = new Map();
		const blockedCpuMillis = new Map<string, number>();
		for (const job of jobs) {
			const { needs, pool, requiredLabel } = job.request;
			// Where a task of an earlier job found no room, one that is as large finds none either.
			const place = `${pool}/${requiredLabel ?? ''}`;
			const blocked = blockedCpuMillis.get(place) ?? Infinity;
			if (needs.cpuMillis < blocked && !this._placeJob(job, starts, nowMs)) {
				blockedCpuMillis.set(place, needs.cpuMillis);
			}
		}
		let sent = 0;
		for (const [agent, byJob] of starts) {
			sent += this._sendStarts(agent, [...byJob.values()]);
		}
		return sent;
	}

	/** Places a job's waiting tasks; returns whether none of them lacked room. */
	private _placeJob(job: JobRow, starts: Starts, nowMs: number): boolean {
		for (const task of job.tasks) {
			if (task.phase !== 'waiting') {
				continue;
			}
			const placement = toPlacement(job.request, task.excluded);
			const agent = chooseWorker(this._agents.all, placement, this._random);
			if (agent !== undefined) {
				this._start(job, task, agent, starts);
				noteStep(job, task, 'placed', agent.agentId, nowMs);
				continue;
			}
			if (task.excluded.size === 0) {
				return false;
			}
			this._forgiveWhenNoneIsLeft(task, placement);
		}
		return true;
	}

	/** A task that was refused or failed everywhere may go anywhere again. */
	private _forgiveWhenNoneIsLeft(task: TaskRow, placement: PlacementRequest): void {
		for (const agent of this._agents.all) {
			if (isEligible(agent, placement)) {
				return;
			}
		}
		task.excluded.clear();
	}

	private _start(job: JobRow, task: TaskRow, agent: AgentRow, starts: Starts): void {
		const { request } = job;
		task.phase = 'placed';
		task.run += 1;
		task.agentId = agent.agentId;
		job.waitingCount -= 1;
		job.hasStarted = true;
		job.state = 'running';
		this._meanTaskMs += meanWeight * (request.estimateMs - this._meanTaskMs);
		addRun(agent, job, task);
		const byJob = starts.get(agent) ?? new Map<JobRow, JobStart>();
		starts.set(agent, byJob);
		const { jobId, pool, payload, needs, estimateMs } = request;
		const run = { taskIndex: task.taskIndex, run: task.run };
		const tasks = [...(byJob.get(job)?.tasks ?? []), run];
		byJob.set(job, { jobId, pool, payload, needs, estimateMs, tasks });
	}

	private _sendStarts(agent: AgentRow, jobs: readonly JobStart[]): number {
		if (agent.linkId === undefined) {
			return 0;
		}
		const sequence = numberStarts(agent, jobs);
		this._send(agent.linkId, { kind: 'startTasks', sequence, jobs });
		return jobs.reduce((sum, { tasks }) => sum + tasks.length, 0);
	}
}
