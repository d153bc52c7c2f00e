/** Implements a stand-in upstream, which accepts tasks over HTTP as docs/UPSTREAMS.md specifies and only waits. */

import { createAdaptorServer } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { delay } from '../../base/common/async.js';
import { Disposable } from '../../base/common/disposable.js';
import { SeededRandom } from '../../base/common/random.js';
import { PreciseTimer } from '../../base/node/preciseTimer.js';
import type { IDaemon } from '../../services/daemon/node/daemon.js';
import type { ILogService } from '../../services/log/common/log.js';
import { toServerDisposable } from '../../services/http/node/httpServer.js';
import { formatAddress } from '../../services/transport/node/address.js';
import { listenOn } from '../../services/transport/node/listen.js';
import { taskKey, type TaskIdentity } from '../../protocol/common/jobs.js';
import type { IJournal, JournalEvent, JournalEventName } from '../common/journal.js';
import {
	taskRequestSchema,
	type StandinResult,
	type TaskRequest,
	type UpstreamOptions,
} from '../common/upstreamOptions.js';
import { Announcer } from './announcer.js';
import { StandinTask } from './standinTask.js';

const drainPollMs = 20;

/** Accepts tasks over HTTP, simulates their run time, and journals their events. */
export class StandinUpstream extends Disposable implements IDaemon {
	private readonly _tasks = new Map<string, StandinTask>();
	private readonly _random: SeededRandom;
	/** Ends tasks with sub-millisecond precision, which the bench's ideal run assumes. */
	private readonly _preciseTimer = this._register(new PreciseTimer());
	private readonly _server: Server;
	private _announcer: Announcer | undefined;

	private constructor(
		private readonly _options: UpstreamOptions,
		private readonly _journal: IJournal,
		private readonly _log: ILogService,
	) {
		super();
		this._random = new SeededRandom(_options.seed);
		const app = new Hono();
		app.post('/v1/tasks/:submissionId/:taskIndex', (context) => this._startTask(context));
		app.delete('/v1/tasks/:submissionId/:taskIndex', (context) => this._stopTask(context));
		app.post('/v1/tasks/:submissionId/:taskIndex/throttle', (context) => this._throttleTask(context));
		app.post('/v1/tasks/:submissionId/:taskIndex/checkpoint', (context) => this._recordCheckpoint(context));
		app.get('/v1/usage', (context) => context.json({ tasks: this._listUsage() }));
		this._server = createAdaptorServer({ fetch: app.fetch }) as Server;
		this._register(toServerDisposable(this._server));
	}

	/**
	 * Starts a stand-in upstream and announces it to its agent.
	 *
	 * @throws TransportError when the address can't be bound
	 * @example
	 * const upstream = await StandinUpstream.start(options, nullJournal, log);
	 */
	static async start(
		options: UpstreamOptions,
		journal: IJournal,
		log: ILogService,
	): Promise<StandinUpstream> {
		const upstream = new StandinUpstream(options, journal, log);
		const httpAddress = await listenOn(upstream._server, options.httpAddress);
		upstream._announcer = upstream._register(new Announcer(options, httpAddress, log));
		log.info('process.ready', { httpAddress, upstreamId: options.upstreamId });
		return upstream;
	}

	/** `address:port` for task requests. */
	get httpAddress(): string {
		const bound = this._server.address() as AddressInfo;
		return formatAddress(bound.address, bound.port);
	}

	async drain(): Promise<void> {
		await this._announcer?.withdraw();
		while (this._tasks.size > 0) {
			await delay(drainPollMs);
		}
	}

	private async _startTask(context: Context): Promise<Response> {
		const identity = readIdentity(context);
		const key = taskKey(identity);
		if (this._random.next() < this._options.refuseShare) {
			this._recordEvent('refuse', context, identity);
			return context.json({ error: 'The task was refused at random.' }, 503, {
				'yuccaarch-not-started': 'true',
			});
		}
		// Recorded before anything can fail, since an auditor counts these events.
		this._recordEvent('start', context, identity);
		const payload = await context.req.json<unknown>();
		const parsed = taskRequestSchema.safeParse(payload);
		const taskRequest = parsed.success ? parsed.data : {};
		if (taskRequest.token !== undefined) {
			this._recordEvent('payload', context, identity, { token: taskRequest.token });
		}
		const task = this._createTask(identity, taskRequest);
		this._tasks.set(key, task);
		const signal = context.req.raw.signal;
		signal.addEventListener('abort', () => {
			task.finish('abort');
		});
		const end = await task.ended;
		this._tasks.delete(key);
		this._recordEvent(end, context, identity);
		return this._createResponse(context, task, payload, end);
	}

	private _createResponse(context: Context, task: StandinTask, payload: unknown, outcome: string): Response {
		if (outcome !== 'end') {
			const status: ContentfulStatusCode = outcome === 'fail' ? 500 : 410;
			return context.json({ error: `The task ended by "${outcome}".` }, status);
		}
		const { resultBytes } = task.request;
		const result: StandinResult = {
			...task.identity,
			upstreamId: this._options.upstreamId,
			echo: payload,
			padding: resultBytes === undefined ? undefined : 'x'.repeat(resultBytes),
		};
		return context.json(result, 200, {
			'yuccaarch-used-cores': String(task.request.cores ?? 1),
			'yuccaarch-used-memory-bytes': String(task.request.memoryBytes ?? 0),
		});
	}

	private _createTask(identity: TaskIdentity, request: TaskRequest): StandinTask {
		const { defaultRunMs, slowShare, slowFactor, failShare } = this._options;
		const isSlow = this._random.next() < slowShare;
		const failsAtRandom = this._random.next() < failShare && request.mayFail !== false;
		const shouldFail = request.fail === true || failsAtRandom;
		const runMs = (request.runMs ?? defaultRunMs) * (isSlow ? slowFactor : 1);
		return new StandinTask(identity, request, runMs, shouldFail ? 'fail' : 'end', this._preciseTimer);
	}

	private _stopTask(context: Context): Response {
		const identity = readIdentity(context);
		const task = this._tasks.get(taskKey(identity));
		if (task === undefined) {
			return context.json({ error: 'No such task is running.' }, 404);
		}
		if (this._random.next() < this._options.ignoreStopShare) {
			return context.json({ error: 'The task cannot be stopped now.' }, 409);
		}
		task.finish('stop');
		return context.json({});
	}

	private async _throttleTask(context: Context): Promise<Response> {
		const identity = readIdentity(context);
		const { share } = await context.req.json<{ share: number }>();
		this._tasks.get(taskKey(identity))?.throttle(share);
		this._recordEvent('throttle', context, identity, { share });
		return context.json({});
	}

	private _recordCheckpoint(context: Context): Response {
		this._recordEvent('checkpoint', context, readIdentity(context));
		return context.json({});
	}

	/** Returns the usage of the tasks that already ran at the time of the lagging measurement. */
	private _listUsage(): readonly object[] {
		const measuredAtMs = performance.now() - this._options.usageLagMs;
		return [...this._tasks.values()]
			.filter((task) => task.startedAtMs <= measuredAtMs)
			.map(({ identity, request, share }) => ({
				...identity,
				cores: (request.cores ?? 1) * share,
				memoryBytes: request.memoryBytes ?? 0,
				ageMs: this._options.usageLagMs,
			}));
	}

	private _recordEvent(
		event: JournalEventName,
		context: Context,
		identity: TaskIdentity,
		details: Pick<JournalEvent, 'share' | 'token'> = {},
	): void {
		this._journal.record({
			timeMs: Date.now(),
			event,
			...identity,
			upstreamId: this._options.upstreamId,
			route: context.req.header('yuccaarch-route') ?? '',
			team: context.req.header('yuccaarch-team') ?? '',
			...details,
		});
		this._log.debug(`task.${event}`, { ...identity });
	}
}

function readIdentity(context: Context): TaskIdentity {
	return {
		submissionId: context.req.param('submissionId') ?? '',
		taskIndex: Number(context.req.param('taskIndex')),
	};
}
