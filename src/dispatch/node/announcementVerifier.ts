/**
 * Decides which announcements an agent believes. Anyone who reaches the agent can send one, so an announcement of another worker
 * or another incarnation counts only once the worker at the agent's address has answered under that identity.
 */

import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { KnownWorker } from '../common/knownWorker.js';
import type { OrderContext, TaskWorker, WorkerAnnouncement } from '../common/taskWorker.js';

/** Maximum number of questions to a worker that refuses the fencing token. */
const maxAttempts = 3;

/** An announcement that the agent believes. */
export interface AcceptedAnnouncement {
	readonly announcement: WorkerAnnouncement;
	/** Whether it is from another worker than the known one, or from a later incarnation of it. */
	readonly isNewLife: boolean;
}

/** Services and state that an {@link AnnouncementVerifier} uses. */
export interface AnnouncementVerifierOptions {
	readonly worker: KnownWorker;
	readonly taskWorker: TaskWorker;
	/** Address of the only worker that this agent serves. */
	readonly workerAddress: string;
	/** Pool of that worker; absent if any pool is accepted. */
	readonly workerPool?: string | undefined;
	readonly getContext: () => OrderContext;
	/** Raises the fencing token after the worker has refused it. */
	readonly raiseToken: () => void;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Answer of a worker to the question whether an announcement is its own. */
type Verdict = 'confirmed' | 'refuted' | 'unanswered';

/**
 * Checks announcements before they change what an agent knows of its worker.
 *
 * @example
 * verifier.onDidAccept(({ announcement, isNewLife }) => { ... });
 * verifier.handle(announcement);
 */
export class AnnouncementVerifier extends Disposable {
	private readonly _onDidAccept = this._register(new Emitter<AcceptedAnnouncement>());
	readonly onDidAccept = this._onDidAccept.event;

	constructor(private readonly _options: AnnouncementVerifierOptions) {
		super();
	}

	/** Handles an announcement: ignores, accepts or verifies it. */
	handle(announcement: WorkerAnnouncement): void {
		const { worker, log } = this._options;
		if (this._isForeign(announcement)) {
			const { workerId, pool, address } = announcement;
			log.warn('worker.announcementIgnored', { reason: 'foreign', workerId, pool, address });
			return;
		}
		const status = this._classify(announcement);
		if (status === 'late') {
			return;
		}
		if (status === 'renewed' && worker.workerId === announcement.workerId) {
			this._onDidAccept.fire({ announcement, isNewLife: false });
			return;
		}
		this._verify(announcement).catch((error: unknown) => {
			log.error('worker.announcementFailed', { message: describeError(error) });
		});
	}

	private _isForeign({ pool, address }: WorkerAnnouncement): boolean {
		const { workerPool, workerAddress } = this._options;
		return address !== workerAddress || (workerPool !== undefined && pool !== workerPool);
	}

	private async _verify(announcement: WorkerAnnouncement): Promise<void> {
		const verdict = await this._ask(announcement);
		if (this._isDisposed) {
			return;
		}
		if (verdict !== 'confirmed') {
			const { workerId, bornAtMs } = announcement;
			this._options.log.warn('worker.announcementIgnored', { reason: verdict, workerId, bornAtMs });
			return;
		}
		// The known worker may have changed since the question was sent.
		const status = this._classify(announcement);
		if (status !== 'late') {
			this._onDidAccept.fire({ announcement, isNewLife: status === 'newLife' });
		}
	}

	private async _ask({ workerId, bornAtMs }: WorkerAnnouncement): Promise<Verdict> {
		const { taskWorker, getContext, raiseToken } = this._options;
		for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
			const answer = await taskWorker.hold({ ...getContext(), workerId, acknowledgedEnd: 0, waitMs: 0 });
			if (answer.kind === 'held') {
				const isSameLife =
					bornAtMs === undefined || answer.bornAtMs === undefined || answer.bornAtMs === bornAtMs;
				return isSameLife ? 'confirmed' : 'refuted';
			}
			if (answer.kind === 'unanswered') {
				return 'unanswered';
			}
			if (answer.reason !== 'fenced') {
				return 'refuted';
			}
			raiseToken();
		}
		return 'unanswered';
	}

	private _classify(announcement: WorkerAnnouncement): ReturnType<KnownWorker['classifyAnnouncement']> {
		return this._options.worker.classifyAnnouncement(announcement, this._options.clock.nowMs());
	}
}
