/**
 * In-memory worker for tests with whole entries and agents. Tasks last as long as their payload says; a task may crash the
 * worker, which restarts as another incarnation. The worker checks leases, but not its capacity, and records when a start
 * exceeds it.
 */

import { Emitter } from '../../../base/common/event.js';
import {
	addNeeds,
	countFittingTasks,
	getTaskKey,
	noNeeds,
	type TaskNeeds,
} from '../../common/dispatchMessages.js';
import {
	TaskWorker,
	type EndedTask,
	type HoldAnswer,
	type HoldOrder,
	type StartAnswer,
	type StartOrder,
	type StopAnswer,
	type StopOrder,
	type UnansweredOrder,
	type WorkerAnnouncement,
} from '../../common/taskWorker.js';

/** What a task does, encoded as its job's payload. */
export interface TaskScript {
	readonly durationMs: number;
	readonly needs: TaskNeeds;
	/** Indexes of the tasks that crash each worker that starts them. */
	readonly crashingTasks?: readonly number[];
	/** Time from the start of such a task to the crash. */
	readonly crashAfterMs?: number;
}

/** A start that a worker has carried out. */
export interface CarriedOutStart {
	readonly taskKey: string;
	readonly run: number;
	readonly workerKey: string;
	readonly atMs: number;
	/** Time at which the run ended or its worker crashed; infinite before. */
	endedAtMs: number;
}

interface Run {
	readonly order: StartOrder;
	readonly script: TaskScript;
	readonly startedMs: number;
	readonly record: CarriedOutStart;
	readonly timers: NodeJS.Timeout[];
}

/** Time that a stop takes; the users' workers need at most as long. */
const stopMs = 50;
const holdCheckMs = 3;
/** Longest lease that a worker grants. */
const maxLeaseMs = 1000;

export class CrashableWorker extends TaskWorker {
	private readonly _onDidAnnounce = new Emitter<WorkerAnnouncement>();
	readonly onDidAnnounce = this._onDidAnnounce.event;

	readonly starts: CarriedOutStart[] = [];
	/** Starts after which the runs needed more than the capacity. */
	readonly overCapacity: CarriedOutStart[] = [];
	crashCount = 0;
	private _capacity: TaskNeeds;
	private readonly _runs = new Map<string, Run>();
	private _ended: EndedTask[] = [];
	private readonly _voidRuns = new Map<string, number>();
	private _isUp = true;
	private _bornAtMs = Date.now();
	private _sequence = 0;
	private _lastEnd = 0;
	private _highestToken = 0;
	private _leaseUntilMs = -Infinity;
	/** Whether connections are reset before an order is read. */
	isCut = false;
	/** Clock of the next life minus the steady clock; each life has its own clock. */
	nextClockOffsetMs = 0;
	private _clockOffsetMs = 0;
	private readonly _timer: NodeJS.Timeout;

	constructor(
		private readonly _name: string,
		capacity: TaskNeeds,
		private readonly _restartMs: number,
	) {
		super();
		this._capacity = capacity;
		this._timer = setInterval(() => {
			this._endLapsedRuns();
		}, 5);
	}

	dispose(): void {
		clearInterval(this._timer);
		this._clear();
	}

	get isUp(): boolean {
		return this._isUp;
	}

	get workerKey(): string {
		return `${this._name}/${this._bornAtMs}`;
	}

	get runCount(): number {
		return this._runs.size;
	}

	get used(): TaskNeeds {
		return [...this._runs.values()].reduce((sum, { script }) => addNeeds(sum, script.needs), noNeeds);
	}

	/** Changes the capacity, and announces it at once. */
	setCapacity(capacity: TaskNeeds): void {
		this._capacity = capacity;
		this.announce();
	}

	announce(): void {
		if (!this._isUp) {
			return;
		}
		this._sequence += 1;
		this._onDidAnnounce.fire({
			workerId: this._name,
			bornAtMs: this._bornAtMs,
			pool: 'pool',
			address: '127.0.0.1:1',
			dataCentre: 'a',
			sequence: this._sequence,
			isLeaving: false,
			capacity: this._capacity,
			labels: [],
		});
	}

	/** Ends the worker's process; another incarnation starts after a while. */
	crash(restartMs = this._restartMs): void {
		if (!this._isUp) {
			return;
		}
		this.crashCount += 1;
		this._isUp = false;
		this._clear();
		setTimeout(() => {
			this._isUp = true;
			this._bornAtMs = Date.now();
			this._sequence = 0;
			this._highestToken = 0;
			this._lastEnd = 0;
			this._leaseUntilMs = -Infinity;
			this._clockOffsetMs = this.nextClockOffsetMs;
			this.announce();
		}, restartMs);
	}

	/** Carries out a start whatever its lease and token are, as an order that arrives late at another incarnation. */
	runUnknownTask(order: StartOrder): void {
		this._begin(order);
	}

	private _nowMs(): number {
		return performance.now() + this._clockOffsetMs;
	}

	private _extendLease(untilMs: number): void {
		this._leaseUntilMs = Math.max(this._leaseUntilMs, Math.min(untilMs, this._nowMs() + maxLeaseMs));
	}

	async start(order: StartOrder): Promise<StartAnswer> {
		await delay(1);
		if (this.isCut) {
			return resetConnection();
		}
		if (!this._isUp) {
			return refuseConnection();
		}
		if (order.fencingToken < this._highestToken) {
			return { kind: 'refused', reason: 'fenced' };
		}
		this._highestToken = order.fencingToken;
		const key = getTaskKey(order);
		if ((this._voidRuns.get(key) ?? 0) >= order.run) {
			return { kind: 'refused', reason: 'olderRun' };
		}
		if (order.leaseUntilMs <= this._nowMs()) {
			return { kind: 'refused', reason: 'leasePast' };
		}
		this._extendLease(order.leaseUntilMs);
		if (!this._runs.has(key)) {
			this._begin(order);
		}
		return { kind: 'started', clockMs: this._nowMs() };
	}

	async stop(order: StopOrder): Promise<StopAnswer> {
		await delay(1);
		if (this.isCut) {
			return resetConnection();
		}
		if (!this._isUp) {
			return refuseConnection();
		}
		const key = getTaskKey(order);
		this._voidRuns.set(key, Math.max(order.run, this._voidRuns.get(key) ?? 0));
		if (this._runs.get(key)?.order.run === order.run) {
			setTimeout(() => {
				this._end(order, 'stopped');
			}, stopMs);
		}
		return { kind: 'stopped' };
	}

	async hold(order: HoldOrder): Promise<HoldAnswer> {
		await delay(1);
		if (this.isCut) {
			return resetConnection();
		}
		const untilMs = performance.now() + Math.min(order.waitMs, 30);
		this._extendLease(order.leaseUntilMs ?? 0);
		this._ended = this._ended.filter(({ number }) => number > order.acknowledgedEnd);
		while (this._isUp && performance.now() < untilMs && this._ended.length === 0) {
			await delay(holdCheckMs);
		}
		if (!this._isUp) {
			return refuseConnection();
		}
		if (order.fencingToken < this._highestToken) {
			return { kind: 'refused', reason: 'fenced' };
		}
		this._highestToken = order.fencingToken;
		return {
			kind: 'held',
			clockMs: this._nowMs(),
			bornAtMs: this._bornAtMs,
			running: [...this._runs.values()].map(({ order: { jobId, taskIndex, run }, script, startedMs }) => ({
				...{ jobId, taskIndex, run },
				percent: Math.min(99, (100 * (performance.now() - startedMs)) / script.durationMs),
			})),
			ended: this._ended,
			areEndsComplete: true,
		};
	}

	private _begin(order: StartOrder): void {
		const script = JSON.parse(order.payload) as TaskScript;
		const start = {
			taskKey: getTaskKey(order),
			run: order.run,
			workerKey: this.workerKey,
			atMs: performance.now(),
			endedAtMs: Infinity,
		};
		const isOver = countFittingTasks(script.needs, addNeeds(this._capacity, this.used, -1)) === 0;
		this.starts.push(start);
		if (isOver) {
			this.overCapacity.push(start);
		}
		const isCrashing = script.crashingTasks?.includes(order.taskIndex) === true;
		const timer = setTimeout(
			() => {
				if (isCrashing) {
					this.crash();
				} else {
					this._end(order, 'done');
				}
			},
			isCrashing ? (script.crashAfterMs ?? 10) : script.durationMs,
		);
		this._runs.set(getTaskKey(order), {
			order,
			script,
			startedMs: performance.now(),
			record: start,
			timers: [timer],
		});
	}

	private _end({ jobId, taskIndex, run }: StopOrder, end: EndedTask['end']): void {
		const key = getTaskKey({ jobId, taskIndex });
		const known = this._runs.get(key);
		if (known?.order.run !== run) {
			return;
		}
		known.timers.forEach(clearTimeout);
		known.record.endedAtMs = performance.now();
		this._runs.delete(key);
		this._voidRuns.set(key, Math.max(run, this._voidRuns.get(key) ?? 0));
		this._lastEnd += 1;
		this._ended.push({ number: this._lastEnd, jobId, taskIndex, run, end });
	}

	private _endLapsedRuns(): void {
		if (this._nowMs() > this._leaseUntilMs) {
			for (const { order } of [...this._runs.values()]) {
				this._end(order, 'stopped');
			}
		}
	}

	private _clear(): void {
		for (const { timers, record } of this._runs.values()) {
			record.endedAtMs = performance.now();
			timers.forEach(clearTimeout);
		}
		this._runs.clear();
		this._ended = [];
		this._voidRuns.clear();
	}
}

async function delay(ms: number): Promise<void> {
	await new Promise((resolve) => setTimeout(resolve, ms));
}

function refuseConnection(): UnansweredOrder {
	return { kind: 'unanswered', message: 'connect ECONNREFUSED', isConnectionRefused: true };
}

function resetConnection(): UnansweredOrder {
	return { kind: 'unanswered', message: 'read ECONNRESET' };
}
