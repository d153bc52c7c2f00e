/** Loopback HTTP server on which the upstream announces itself. */

import { createAdaptorServer } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Disposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import { toServerDisposable } from '../../services/http/node/httpServer.js';
import { formatAddress } from '../../services/transport/node/address.js';
import { listenOn } from '../../services/transport/node/listen.js';
import { announcementSchema, type Announcement } from '../common/announcement.js';

/** Largest body of an announcement. */
const maxBodyBytes = 16_384;

/** Status of the agent and its upstream, as returned to the upstream. */
export interface UpstreamStatus {
	readonly agentId: string;
	readonly agentIncarnation: string;
	readonly upstreamId: string | undefined;
	readonly isLeaving: boolean;
	readonly queuedTasks: number;
	readonly runningTasks: number;
}

/** Provides what the server answers to its requests. */
export interface IAnnounceServerDelegate {
	/** Returns the present status of the agent and its upstream. */
	getUpstreamStatus(): UpstreamStatus;
	/** Returns why an announcement can't be accepted now; undefined when it can. */
	findConflict(announcement: Announcement): string | undefined;
}

/** Accepts announcements, renewals and withdrawals of the upstream. */
export class AnnounceServer extends Disposable {
	private readonly _onDidAnnounce = this._register(new Emitter<Announcement>());
	/** Fires with each accepted announcement, also when it is a renewal. */
	readonly onDidAnnounce = this._onDidAnnounce.event;

	private readonly _onDidWithdraw = this._register(new Emitter<undefined>());
	/** Fires when the upstream withdraws. */
	readonly onDidWithdraw = this._onDidWithdraw.event;

	private readonly _server: Server;

	private constructor(private readonly _delegate: IAnnounceServerDelegate) {
		super();
		const app = new Hono();
		app.put('/v1/upstream', (context) => this._handleAnnouncement(context));
		app.delete('/v1/upstream', (context) => this._handleWithdrawal(context));
		app.get('/v1/upstream', (context) => context.json(this._delegate.getUpstreamStatus()));
		this._server = createAdaptorServer({ fetch: app.fetch }) as Server;
		this._register(toServerDisposable(this._server));
	}

	/**
	 * Starts a server and resolves once it listens.
	 *
	 * @throws TransportError when the address can't be bound
	 * @example
	 * const server = await AnnounceServer.listen('127.0.0.1:7100', delegate);
	 */
	static async listen(address: string, delegate: IAnnounceServerDelegate): Promise<AnnounceServer> {
		const server = new AnnounceServer(delegate);
		await listenOn(server._server, address, 'announceAddress');
		return server;
	}

	/** Address and port that the server listens on, as `address:port`. */
	get address(): string {
		const boundAddress = this._server.address() as AddressInfo;
		return formatAddress(boundAddress.address, boundAddress.port);
	}

	private async _handleAnnouncement(context: Context): Promise<Response> {
		// Checks only the header: counting the bytes of a streamed body would cost more than the rest of a renewal.
		const bodyBytes = Number(context.req.header('content-length') ?? NaN);
		if (!(bodyBytes <= maxBodyBytes)) {
			return context.json(
				{ error: `The request needs a content-length of at most ${maxBodyBytes} bytes.` },
				413,
			);
		}
		const body = await readJsonBody(context);
		const parsed = announcementSchema.safeParse(body);
		if (!parsed.success) {
			const errors = parsed.error.issues.map((issue) => ({
				field: issue.path.join('.'),
				message: issue.message,
			}));
			return context.json({ error: 'The announcement is not valid.', errors }, 400);
		}
		const conflict = this._delegate.findConflict(parsed.data);
		if (conflict !== undefined) {
			return context.json({ error: conflict }, 409);
		}
		this._onDidAnnounce.fire(parsed.data);
		const { agentId, agentIncarnation } = this._delegate.getUpstreamStatus();
		return context.json({ agentId, agentIncarnation, ttlMs: parsed.data.ttlMs });
	}

	private async _handleWithdrawal(context: Context): Promise<Response> {
		this._onDidWithdraw.fire(undefined);
		// The event queued the agent's tick with setImmediate. This callback runs after that tick, so the response shows
		// the state after the withdrawal.
		await new Promise((resolve) => setImmediate(resolve));
		return context.json(this._delegate.getUpstreamStatus(), 202);
	}
}

/** Returns the parsed body; undefined, which the schema rejects, when it is not valid JSON. */
async function readJsonBody(context: Context): Promise<unknown> {
	try {
		return await context.req.json<unknown>();
	} catch {
		return undefined;
	}
}
