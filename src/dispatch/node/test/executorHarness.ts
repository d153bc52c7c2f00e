/** Executor with an in-memory worker for tests, and what it reports to entries. */

import type { ExecutionContext } from 'ava';
import { monotonicClock, type IClock } from '../../../base/common/clock.js';
import { nullLogService } from '../../../services/log/common/log.js';
import type {
	AgentReportMessage,
	TaskEndReport,
	WorkerState,
	WorkerTime,
} from '../../common/dispatchMessages.js';
import type { WorkerAnnouncement } from '../../common/taskWorker.js';
import { TaskExecutor } from '../taskExecutor.js';
import { FakeTaskWorker } from './fakeTaskWorker.js';

const needs = { cpuMillis: 4000, memoryMb: 100, accelerators: 0 };
const waitTimeoutMs = 5000;

export const announcement: WorkerAnnouncement = {
	workerId: 'w-1',
	bornAtMs: 1000,
	pool: 'pool',
	address: '127.0.0.1:1',
	dataCentre: 'a',
	sequence: 0,
	isLeaving: false,
	capacity: { cpuMillis: 8000, memoryMb: 1000, accelerators: 0 },
	labels: [],
};

/** Options of a start that an entry sends. */
export interface StartOptions {
	readonly run?: number;
	readonly startId?: number;
	readonly isCapacityEnforced?: boolean;
}

export class Harness {
	readonly worker = new FakeTaskWorker(monotonicClock);
	readonly reports: { readonly connectionId: number; readonly report: AgentReportMessage }[] = [];
	readonly executor: TaskExecutor;
	/** Time that start messages carry. */
	sentAt: WorkerTime | undefined;
	private _sequence = 0;

	constructor(
		t: ExecutionContext,
		prepare: (worker: FakeTaskWorker) => void = () => undefined,
		presumedWorker?: WorkerAnnouncement,
		clock: IClock = monotonicClock,
	) {
		prepare(this.worker);
		this.executor = new TaskExecutor(
			{
				send: (connectionId, report) => {
					this.reports.push({ connectionId, report });
				},
			},
			this.worker,
			{
				workerAddress: '127.0.0.1:1',
				workerPool: 'pool',
				fencingToken: 100,
				presumedWorker,
				clock,
				log: nullLogService,
			},
		);
		t.teardown(() => {
			this.executor.dispose();
		});
	}

	announce(change: object = {}): void {
		this._sequence += 1;
		this.executor.handleAnnouncement({ ...announcement, sequence: this._sequence, ...change });
	}

	async makeReady(): Promise<void> {
		this.announce();
		this.executor.handleEntryConnected(1, 'entry-1', 'life-1');
		await waitUntil(() => this.state?.isAccepting === true);
	}

	start(
		connectionId: number,
		jobId: string,
		{ run = 1, startId, isCapacityEnforced = true }: StartOptions = {},
	): void {
		const tasks = [{ taskIndex: 0, run, startId }];
		const job = {
			...{ jobId, route: 'route', pool: 'pool', isCapacityEnforced },
			...{ payload: 'x', needs, estimateMs: 300, tasks },
		};
		this.executor.handleStartTasks(connectionId, {
			...{ kind: 'startTasks', sequence: 1, sentAt: this.sentAt, jobs: [job] },
		});
	}

	get state(): WorkerState | undefined {
		return this.reports.at(-1)?.report.state;
	}

	ends(connectionId = 1): TaskEndReport[] {
		return this.reports.flatMap((each) => (each.connectionId === connectionId ? [...each.report.ends] : []));
	}
}

/** Waits until a condition is met. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
	const deadlineMs = performance.now() + waitTimeoutMs;
	while (!isMet()) {
		if (performance.now() > deadlineMs) {
			throw new Error(`The condition was not met within ${waitTimeoutMs} ms.`);
		}
		await new Promise((resolve) => setTimeout(resolve, 5));
	}
}
