/**
 * Replays a load pattern on the decisions of several entries: arrivals, durations, workers and their faults come from a
 * seed, messages take a fixed time, and nothing else of the system is there.
 */

import { Heap } from 'heap-js';
import { SeededRandom } from '../../../base/common/random.js';
import { DispatchCore } from '../dispatchCore.js';
import type { IDispatchHost } from '../dispatchHost.js';
import { EndCounts } from '../endCounts.js';
import {
	addNeeds,
	countFitting,
	noNeeds,
	taskKeyOf,
	type StartTasksMessage,
	type StopTasksMessage,
	type TaskEndReport,
	type TaskNeeds,
	type TaskRunRef,
} from '../dispatchMessages.js';
import type { JobOutcome } from '../jobs.js';
import { PaceMeter } from '../paceMeter.js';

/** A kind of job. */
export interface ReplayKind {
	readonly name: string;
	readonly perS: number;
	readonly meanTasks: number;
	readonly maxTasks: number;
	readonly meanMs: number;
	readonly priority: number;
}

/** What befalls a worker for some time. */
export interface ReplayFault {
	readonly worker: number;
	readonly fromMs: number;
	readonly toMs: number;
	/** Factor on its speed; 0 stands still. */
	readonly speedFactor?: number;
	/** Share of its runs that fail at once. */
	readonly failShare?: number;
}

/** A time in which more comes. */
export interface ReplayBurst {
	readonly fromMs: number;
	readonly toMs: number;
	readonly factor: number;
	readonly kind?: string;
}

/** A load pattern. */
export interface ReplayPlan {
	readonly seed: number;
	readonly durationMs: number;
	readonly entries: number;
	/** Millicores and speed of each worker. */
	readonly workers: readonly { readonly cpuMillis: number; readonly speed: number }[];
	readonly kinds: readonly ReplayKind[];
	readonly faults?: readonly ReplayFault[];
	readonly bursts?: readonly ReplayBurst[];
	/** Share of each kind's jobs that can never be done. */
	readonly poisonShare?: number;
	/** Share of the jobs whose caller leaves after half of the objective. */
	readonly leavingShare?: number;
}

/** Outcome of one kind, in jobs. */
export interface KindOutcome {
	asked: number;
	inObjective: number;
	late: number;
	rejected: number;
	failed: number;
}

/** Outcome of a replay. */
export interface ReplayOutcome {
	readonly kinds: ReadonlyMap<string, KindOutcome>;
	/** The tenth of the jobs with most work, over all kinds. */
	readonly largest: KindOutcome;
	/** Core-milliseconds of work that was stopped. */
	readonly wastedCoreMs: number;
	readonly usefulCoreMs: number;
	/** Starts that entries sent, and those of them that found no room. */
	readonly startsSent: number;
	readonly startsRefused: number;
}

/** The sites' kinds at a factor of their usual rate. */
export function siteKinds(factor: number): readonly ReplayKind[] {
	return [
		{ name: 'status', perS: 24.1 * factor, meanTasks: 8, maxTasks: 32, meanMs: 85.7, priority: 0 },
		{ name: 'terms', perS: 4.37 * factor, meanTasks: 4, maxTasks: 16, meanMs: 1286, priority: 2 },
		{ name: 'provenance', perS: 70 * factor, meanTasks: 2, maxTasks: 8, meanMs: 286, priority: 1 },
	];
}

/** The sites' workers: two sizes, three speeds. */
export function siteWorkers(count = 11): readonly { readonly cpuMillis: number; readonly speed: number }[] {
	const sizes = [1, 1, 1.5];
	const speeds = [0.8, 1, 1.25];
	return Array.from({ length: count }, (_, index) => ({
		cpuMillis: 32_000 * (sizes[index % 3] ?? 1),
		speed: speeds[Math.floor(index / 3) % 3] ?? 1,
	}));
}

const linkMs = 1.2;
const holdMs = 60;
const minReportDelayMs = 6;
const reportDelayPerEntryMs = 2;
const tickMs = 15;
const pool = 'pool';
const stretch = 1.6;
const objectiveMs = 60;

interface ReplayJob {
	readonly kind: string;
	readonly arrivedMs: number;
	readonly objectiveMs: number;
	readonly taskMs: readonly number[];
	readonly needs: TaskNeeds;
	readonly isPoison: boolean;
	readonly workCoreMs: number;
	isLargest: boolean;
}

interface ReplayRun extends TaskRunRef {
	readonly entry: number;
	readonly workMs: number;
	readonly estimateMs: number;
	readonly needs: TaskNeeds;
	readonly startedMs: number;
	doneMs: number;
	changedMs: number;
	isEnded: boolean;
	readonly fails: boolean;
}

interface Event {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
}

/** Runs a plan. */
export function replayLoad(plan: ReplayPlan): ReplayOutcome {
	return new Replay(plan).run();
}

class Replay {
	nowMs = 0;
	/** Draws what decisions leave to chance; arrivals have their own, so that they are the same for every policy. */
	readonly random: SeededRandom;
	private readonly _arrivalRandom: SeededRandom;
	readonly jobs = new Map<string, ReplayJob>();
	readonly outcome: { -readonly [Field in keyof ReplayOutcome]: ReplayOutcome[Field] };
	readonly cores: DispatchCore[] = [];
	readonly workers: ReplayWorker[];
	private readonly _events = new Heap<Event>((a, b) => a.atMs - b.atMs || a.order - b.order);
	private _order = 0;

	constructor(readonly plan: ReplayPlan) {
		this.random = new SeededRandom(plan.seed + 1_000_000);
		this._arrivalRandom = new SeededRandom(plan.seed);
		const kinds = new Map(plan.kinds.map(({ name }) => [name, createOutcome()]));
		this.outcome = {
			kinds,
			largest: createOutcome(),
			wastedCoreMs: 0,
			usefulCoreMs: 0,
			startsSent: 0,
			startsRefused: 0,
		};
		this.workers = plan.workers.map((worker, index) => new ReplayWorker(this, index, worker));
		for (let entry = 0; entry < plan.entries; entry += 1) {
			this.cores.push(new DispatchCore(this._hostOf(entry), { orphanLifetimeMs: 1300 }, 0));
		}
	}

	at(atMs: number, run: () => void): void {
		this._order += 1;
		this._events.push({ atMs, order: this._order, run });
	}

	run(): ReplayOutcome {
		for (const [entry, core] of this.cores.entries()) {
			for (const worker of this.workers) {
				core.agentConnected(worker.index, `agent-${worker.index}`, 'life', 0);
			}
			this._tick(core, entry * 3);
		}
		for (const worker of this.workers) {
			worker.report();
			worker.hold();
		}
		for (const kind of this.plan.kinds) {
			this._arrivals(kind, 20);
		}
		for (const fault of this.plan.faults ?? []) {
			this.at(fault.fromMs, () => {
				this.workers[fault.worker]?.setFault(fault);
			});
			this.at(fault.toMs, () => {
				this.workers[fault.worker]?.setFault(undefined);
			});
		}
		const endMs = this.plan.durationMs + 6000;
		for (let event = this._events.pop(); event !== undefined; event = this._events.pop()) {
			if (event.atMs > endMs) {
				break;
			}
			this.nowMs = event.atMs;
			event.run();
		}
		for (const { counters } of this.cores) {
			this.outcome.startsSent += counters.startsSent;
			this.outcome.startsRefused += counters.startsRefused;
		}
		return this.outcome;
	}

	scheduleSoon(core: DispatchCore): void {
		core.schedule(this.nowMs);
	}

	private _hostOf(entry: number): IDispatchHost {
		return {
			send: (linkId, message) => {
				this.at(this.nowMs + linkMs, () => {
					this.workers[linkId]?.take(entry, message);
				});
			},
			log: () => undefined,
			entryCount: () => this.plan.entries,
			random: () => this.random.next(),
		};
	}

	private _tick(core: DispatchCore, atMs: number): void {
		this.at(atMs, () => {
			core.schedule(this.nowMs);
			this._tick(core, this.nowMs + tickMs);
		});
	}

	private _arrivals(kind: ReplayKind, fromMs: number): void {
		const burst = (this.plan.bursts ?? []).find(
			(each) =>
				fromMs >= each.fromMs && fromMs < each.toMs && (each.kind === undefined || each.kind === kind.name),
		);
		const perMs = (kind.perS * (burst?.factor ?? 1)) / 1000;
		const atMs = fromMs - Math.log(1 - this._arrivalRandom.next()) / perMs;
		if (atMs > this.plan.durationMs) {
			return;
		}
		this.at(atMs, () => {
			this._arrive(kind);
			this._arrivals(kind, this.nowMs);
		});
	}

	private _arrive(kind: ReplayKind): void {
		const taskCount = Math.max(1, Math.min(kind.maxTasks, Math.round(this._spread(kind.meanTasks, 0.4))));
		const baseMs = Math.min(kind.meanMs * 4, this._spread(kind.meanMs, 0.4));
		const taskMs = Array.from({ length: taskCount }, () => this._spread(baseMs, 0.15));
		const cpuMillis = Math.min(4700, Math.round(this._spread(3100, 0.2)));
		const jobId = `job-${this.jobs.size}`;
		const workCoreMs = (taskMs.reduce((sum, each) => sum + each, 0) * cpuMillis) / 1000;
		const job: ReplayJob = {
			kind: kind.name,
			arrivedMs: this.nowMs,
			objectiveMs: stretch * Math.max(...taskMs) + objectiveMs,
			taskMs,
			needs: { cpuMillis, memoryMb: 64, accelerators: 0 },
			isPoison: this._arrivalRandom.next() < (this.plan.poisonShare ?? 0),
			workCoreMs,
			isLargest: taskCount >= 1.5 * kind.meanTasks,
		};
		this.jobs.set(jobId, job);
		const core = this.cores[Math.floor(this._arrivalRandom.next() * this.cores.length)];
		const request = {
			jobId,
			route: kind.name,
			pool,
			payload: '',
			isCapacityEnforced: true,
			taskCount,
			needs: job.needs,
			awayFactor: 1.5,
			estimateMs: this._spread(Math.max(...taskMs), 0.4),
			priority: kind.priority,
			maxAttempts: 3,
			stretch,
			objectiveMs,
			waitMs: 6000,
		};
		for (const counts of this._countsOf(job)) {
			counts.asked += 1;
		}
		let hasEnded = false;
		const leave = core?.submit(
			request,
			(outcome) => {
				hasEnded = true;
				this._ended(job, outcome);
			},
			this.nowMs,
		);
		if (this._arrivalRandom.next() < (this.plan.leavingShare ?? 0)) {
			this.at(this.nowMs + job.objectiveMs / 2, () => {
				if (!hasEnded) {
					leave?.();
				}
			});
		}
		core?.schedule(this.nowMs);
	}

	private _ended(job: ReplayJob, outcome: JobOutcome): void {
		const tookMs = this.nowMs - job.arrivedMs;
		for (const counts of this._countsOf(job)) {
			if (outcome.kind === 'rejected') {
				counts.rejected += 1;
			} else if (outcome.kind === 'abandoned' || (outcome.kind === 'failed') !== job.isPoison) {
				counts.failed += 1;
			} else if (tookMs <= job.objectiveMs) {
				counts.inObjective += 1;
			} else if (tookMs <= 3 * job.objectiveMs) {
				counts.late += 1;
			} else {
				counts.failed += 1;
			}
		}
	}

	private _countsOf(job: ReplayJob): readonly KindOutcome[] {
		const counts = this.outcome.kinds.get(job.kind) ?? createOutcome();
		return job.isLargest ? [counts, this.outcome.largest] : [counts];
	}

	/** Lognormal with this mean; a task's or job's size. */
	private _spread(mean: number, sigma: number): number {
		const normal =
			Math.sqrt(-2 * Math.log(1 - this._arrivalRandom.next())) *
			Math.cos(2 * Math.PI * this._arrivalRandom.next());
		return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
	}
}

/** An agent with its worker. */
class ReplayWorker {
	private readonly _runs = new Map<string, ReplayRun>();
	private readonly _pace = new PaceMeter();
	private readonly _ends = new EndCounts();
	private _used = noNeeds;
	private _fault: ReplayFault | undefined;
	private readonly _handled: number[];
	private _isReportDue = false;

	constructor(
		private readonly _replay: Replay,
		readonly index: number,
		private readonly _worker: { readonly cpuMillis: number; readonly speed: number },
	) {
		this._handled = Array.from({ length: _replay.plan.entries }, () => 0);
	}

	private get _capacity(): TaskNeeds {
		return { cpuMillis: this._worker.cpuMillis, memoryMb: 65_536, accelerators: 0 };
	}

	private get _speed(): number {
		return this._worker.speed * (this._fault?.speedFactor ?? 1);
	}

	setFault(fault: ReplayFault | undefined): void {
		for (const run of this._runs.values()) {
			this._advance(run);
		}
		this._fault = fault;
		for (const run of this._runs.values()) {
			this._awaitEnd(run);
		}
	}

	take(entry: number, message: StartTasksMessage | StopTasksMessage): void {
		if (message.kind === 'stopTasks') {
			for (const task of message.tasks) {
				const run = this._runs.get(taskKeyOf(task));
				if (run?.run === task.run) {
					this._replay.at(this._replay.nowMs + 20, () => {
						this._end(run, 'stopped');
					});
				}
			}
			return;
		}
		this._handled[entry] = message.sequence;
		const refused: TaskEndReport[] = [];
		for (const job of message.jobs) {
			for (const task of job.tasks) {
				const ref = { jobId: job.jobId, taskIndex: task.taskIndex, run: task.run };
				if (countFitting(job.needs, addNeeds(this._capacity, this._used, -1)) === 0) {
					refused.push({ ...ref, end: 'refused', reason: 'noRoom' });
					continue;
				}
				this._start(entry, ref, job.needs, job.estimateMs);
			}
		}
		if (refused.length > 0) {
			this._send(entry, refused);
		}
		this.reportSoon();
	}

	hold(): void {
		const { nowMs } = this._replay;
		for (const run of this._runs.values()) {
			this._advance(run);
			this._pace.observe(taskKeyOf(run), Math.floor((100 * run.doneMs) / run.workMs), run.estimateMs, nowMs);
		}
		if (this._runs.size > 0) {
			this.reportSoon();
		}
		this._replay.at(nowMs + holdMs, () => {
			this.hold();
		});
	}

	report(): void {
		for (let entry = 0; entry < this._replay.plan.entries; entry += 1) {
			this._send(entry, []);
		}
	}

	reportSoon(): void {
		if (this._isReportDue) {
			return;
		}
		this._isReportDue = true;
		const delayMs = Math.max(minReportDelayMs, reportDelayPerEntryMs * this._replay.plan.entries);
		this._replay.at(this._replay.nowMs + delayMs, () => {
			this._isReportDue = false;
			this.report();
		});
	}

	private _start(entry: number, ref: TaskRunRef, needs: TaskNeeds, estimateMs: number): void {
		const job = this._replay.jobs.get(ref.jobId);
		const fails = job?.isPoison === true || this._replay.random.next() < (this._fault?.failShare ?? 0);
		const workMs = job?.taskMs[ref.taskIndex] ?? 0;
		const { nowMs } = this._replay;
		const run: ReplayRun = {
			...ref,
			entry,
			needs,
			estimateMs,
			workMs: fails ? workMs * 0.3 : workMs,
			startedMs: nowMs,
			doneMs: 0,
			changedMs: nowMs,
			isEnded: false,
			fails,
		};
		this._runs.set(taskKeyOf(ref), run);
		this._used = addNeeds(this._used, needs);
		this._awaitEnd(run);
	}

	private _advance(run: ReplayRun): void {
		const { nowMs } = this._replay;
		run.doneMs += (nowMs - run.changedMs) * this._speed;
		run.changedMs = nowMs;
	}

	private _awaitEnd(run: ReplayRun): void {
		const speed = this._speed;
		if (speed === 0) {
			return;
		}
		const atMs = this._replay.nowMs + Math.max(0, (run.workMs - run.doneMs) / speed);
		this._replay.at(atMs, () => {
			this._advance(run);
			if (run.doneMs >= run.workMs - 0.01) {
				this._end(run, run.fails ? 'failed' : 'done');
			}
		});
	}

	private _end(run: ReplayRun, end: 'done' | 'failed' | 'stopped'): void {
		if (run.isEnded) {
			return;
		}
		run.isEnded = true;
		this._advance(run);
		const { nowMs, outcome } = this._replay;
		const key = taskKeyOf(run);
		this._runs.delete(key);
		this._used = addNeeds(this._used, run.needs, -1);
		const coreMs = (Math.min(run.doneMs, run.workMs) * run.needs.cpuMillis) / 1000;
		if (end === 'done') {
			outcome.usefulCoreMs += coreMs;
			this._ends.noteDone(nowMs);
			this._pace.noteDone(key, run.estimateMs, nowMs - run.startedMs);
		} else {
			outcome.wastedCoreMs += coreMs;
			this._pace.forget(key);
		}
		if (end === 'failed') {
			this._ends.noteFailed(run.jobId, nowMs);
		}
		this._send(run.entry, [{ jobId: run.jobId, taskIndex: run.taskIndex, run: run.run, end }]);
		this.reportSoon();
	}

	private _send(entry: number, ends: readonly TaskEndReport[]): void {
		const { nowMs } = this._replay;
		const pace = this._pace.paceAt(nowMs);
		const laggards = [...this._runs.values()]
			.filter(({ workMs, doneMs, estimateMs }) => {
				const remainingMs = ((1 - doneMs / workMs) * estimateMs) / Math.max(pace ?? 1, 0.01);
				return (pace ?? 1) <= 0.8 && remainingMs > 1.2 * estimateMs;
			})
			.map(({ jobId, taskIndex, run }) => ({ jobId, taskIndex, run }));
		const state = {
			workerId: `worker-${this.index}`,
			dataCentre: 'a',
			pool,
			labels: [],
			capacity: this._capacity,
			isCapacityGuessed: false,
			used: this._used,
			isAccepting: true,
			speed: this._pace.speed,
			pace,
			...this._ends.at(nowMs),
			laggards,
		};
		const handledSequence = this._handled[entry] ?? 0;
		this._replay.at(nowMs + linkMs, () => {
			const core = this._replay.cores[entry];
			const report = { kind: 'agentReport' as const, handledSequence, state, ends };
			if (core?.takeReport(this.index, report, this._replay.nowMs) === true) {
				core.schedule(this._replay.nowMs);
			}
		});
	}
}

function createOutcome(): KindOutcome {
	return { asked: 0, inObjective: 0, late: 0, rejected: 0, failed: 0 };
}
