/** Loopback HTTP server on which the upstream announces itself. */

import { createAdaptorServer } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Disposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import { ownServer } from '../../services/http/node/httpServer.js';
import { formatAddress } from '../../services/transport/node/address.js';
import { listenOn } from '../../services/transport/node/listen.js';
import { announcementSchema, type Announcement } from '../common/announcement.js';

const maxBodyBytes = 16_384;

/** What an upstream is told about itself. */
export interface UpstreamStatus {
	readonly agentId: string;
	readonly agentIncarnation: string;
	readonly upstreamId: string | undefined;
	readonly isLeaving: boolean;
	readonly queuedTasks: number;
	readonly runningTasks: number;
}

/** Where the server gets its answers from. */
export interface IUpstreamStatusSource {
	status(): UpstreamStatus;
	/** Why an announcement can't be taken now; undefined when it can. */
	conflict(announcement: Announcement): string | undefined;
}

/** Takes announcements, renewals and withdrawals. */
export class AnnounceServer extends Disposable {
	private readonly _onDidAnnounce = this._register(new Emitter<Announcement>());
	readonly onDidAnnounce = this._onDidAnnounce.event;

	private readonly _onDidWithdraw = this._register(new Emitter<undefined>());
	readonly onDidWithdraw = this._onDidWithdraw.event;

	private readonly _server: Server;

	private constructor(private readonly _source: IUpstreamStatusSource) {
		super();
		const app = new Hono();
		app.put('/v1/upstream', (context) => this._announce(context));
		app.delete('/v1/upstream', (context) => this._withdraw(context));
		app.get('/v1/upstream', (context) => context.json(this._source.status()));
		this._server = createAdaptorServer({ fetch: app.fetch }) as Server;
		this._register(ownServer(this._server));
	}

	/**
	 * Starts to listen.
	 *
	 * @throws TransportError when the address can't be bound
	 * @example
	 * const server = await AnnounceServer.listen('127.0.0.1:7100', source);
	 */
	static async listen(address: string, source: IUpstreamStatusSource): Promise<AnnounceServer> {
		const announceServer = new AnnounceServer(source);
		await listenOn(announceServer._server, address, 'announceAddress');
		return announceServer;
	}

	/** `address:port` that is bound. */
	get address(): string {
		const bound = this._server.address() as AddressInfo;
		return formatAddress(bound.address, bound.port);
	}

	private async _announce(context: Context): Promise<Response> {
		// The length is checked by its header: reading the body as a stream would cost more than the rest of a renewal.
		const bodyBytes = Number(context.req.header('content-length') ?? NaN);
		if (!(bodyBytes <= maxBodyBytes)) {
			return context.json({ error: `Give a content-length of at most ${maxBodyBytes} bytes.` }, 413);
		}
		const body = await readJson(context);
		const parsed = announcementSchema.safeParse(body);
		if (!parsed.success) {
			const errors = parsed.error.issues.map((issue) => ({
				field: issue.path.join('.'),
				message: issue.message,
			}));
			return context.json({ error: 'The announcement is not valid.', errors }, 400);
		}
		const conflict = this._source.conflict(parsed.data);
		if (conflict !== undefined) {
			return context.json({ error: conflict }, 409);
		}
		this._onDidAnnounce.fire(parsed.data);
		const { agentId, agentIncarnation } = this._source.status();
		return context.json({ agentId, agentIncarnation, ttlMs: parsed.data.ttlMs });
	}

	private async _withdraw(context: Context): Promise<Response> {
		this._onDidWithdraw.fire(undefined);
		// The agent's tick runs before: the answer tells the state after the withdrawal.
		await new Promise((resolve) => setImmediate(resolve));
		return context.json(this._source.status(), 202);
	}
}

async function readJson(context: Context): Promise<unknown> {
	try {
		return await context.req.json<unknown>();
	} catch {
		return undefined;
	}
}
