/** Options and host of an agent's executor. */

import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { AgentReportMessage } from '../common/dispatchMessages.js';
import type { WorkerAnnouncement } from '../common/taskWorker.js';

/** Sends messages to entries. */
export interface IExecutorHost {
	send(connectionId: number, message: AgentReportMessage): void;
}

/** Options of a `TaskExecutor`. */
export interface ExecutorOptions {
	/** Address of the worker. Announcements with another one are ignored. */
	readonly workerAddress: string;
	/** Pool of the worker. Announcements of other pools are ignored; absent if any pool is accepted. */
	readonly workerPool?: string | undefined;
	/** First fencing token; higher than that of any earlier incarnation of the agent. */
	readonly fencingToken: number;
	/** Presumed announcement, used until the worker announces itself. If absent, the worker is unknown until then. */
	readonly presumedWorker?: WorkerAnnouncement | undefined;
	readonly clock: IClock;
	readonly log: ILogService;
}
