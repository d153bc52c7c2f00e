/** A keeper's HTTP interface for operators. Reads use the local state; changes go through the replicated log. */

import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { match } from 'ts-pattern';
import { describeError } from '../../base/common/errors.js';
import { Disposable } from '../../base/common/disposable.js';
import type { DrainSettings } from '../../declarations/common/drainRule.js';
import type { ILogService } from '../../services/log/common/log.js';
import { createTokenCheck } from '../../services/http/node/operatorToken.js';
import { drainServer, toServerDisposable } from '../../services/http/node/httpServer.js';
import { listenOn } from '../../services/transport/node/listen.js';
import {
	operatorPaths,
	type ChangeResult,
	type HistoryBody,
	type MemberChangeRequest,
	type OperatorErrorBody,
	type SystemStatus,
	type TablesBody,
} from '../../protocol/common/operatorApi.js';
import type { IReplicatedLog, MemberChange } from '../../replication/common/replicatedLog.js';
import {
	changeRequestSchema,
	formatSchemaIssues,
	memberRequestSchema,
} from '../common/operatorRequestSchemas.js';
import { decodeValue, encodeValue, type ChangeTablesCommand } from '../common/keeperCommands.js';
import type { KeeperStateMachine } from '../common/keeperStateMachine.js';

/** Maximum size of a request body: 5,000 edits of about 500 bytes fit in. */
const maxChangeBodyBytes = 4 * 1024 * 1024;

/** Time after which the result of a change counts as unknown. */
const proposeTimeoutMs = 3000;

/** Number of changes that a history request without a valid `limit` returns. */
const defaultHistoryLimit = 50;

/** Options of {@link OperatorServer.listen}. */
export interface OperatorServerOptions {
	readonly token: string;
	readonly replicatedLog: IReplicatedLog;
	readonly stateMachine: KeeperStateMachine;
	/** The log of the process, as opposed to the replicated log. */
	readonly logService: ILogService;
	readonly getStatus: () => SystemStatus;
	/** Returns the shortest drain among the processes that this keeper knows. */
	readonly getShortestDrain: () => DrainSettings | undefined;
	/** Returns the maximum possible age of this keeper's state, or undefined if it is unknown. */
	readonly getBoundedAgeMs: () => number | undefined;
}

/** HTTP server for operators, which listens until it is disposed. */
export class OperatorServer extends Disposable {
	private constructor(
		private readonly _server: Server,
		readonly address: string,
	) {
		super();
		this._register(toServerDisposable(_server));
	}

	/**
	 * Starts the server and resolves once it listens.
	 *
	 * @throws TransportError if the address can't be bound
	 * @example
	 * const server = await OperatorServer.listen('127.0.0.1:0', options);
	 */
	static async listen(address: string, options: OperatorServerOptions): Promise<OperatorServer> {
		const app = createApp(options);
		const server = createAdaptorServer({ fetch: app.fetch }) as Server;
		return new OperatorServer(server, await listenOn(server, address));
	}

	/** Stops accepting connections, and resolves once every request in flight has been answered. */
	async drain(): Promise<void> {
		await drainServer(this._server);
	}
}

/** Creates the routes, which all require the operator token. */
function createApp(options: OperatorServerOptions): Hono {
	const app = new Hono();
	const isAuthorized = createTokenCheck(options.token);
	app.use('*', async (context: Context, next) => {
		if (!isAuthorized(context.req.header('authorization'))) {
			const message =
				'The operator token is missing or wrong; give the operatorToken of the keeper settings.';
			return sendError(context, 401, { error: 'unauthorized', message });
		}
		await next();
		return undefined;
	});
	app.use(
		'*',
		bodyLimit({ maxSize: maxChangeBodyBytes, onError: (context: Context) => sendBodyTooLarge(context) }),
	);
	app.get(operatorPaths.tables, (context) => {
		const body: TablesBody = {
			tables: options.stateMachine.tableStore.tables,
			ageMs: options.getBoundedAgeMs(),
		};
		return context.json(body);
	});
	app.get(operatorPaths.changes, (context) => context.json(readHistory(options, context)));
	app.get(operatorPaths.status, (context) => context.json(options.getStatus()));
	app.post(operatorPaths.changes, (context) => handleTableChange(options, context));
	app.post(operatorPaths.members, (context) => handleMemberChange(options, context));
	app.notFound((context) => {
		const message = `The path ${context.req.path} does not exist; see docs/OPERATORS-INTERFACE.md.`;
		return sendError(context, 404, { error: 'notFound', message });
	});
	app.onError((error, context) => {
		options.logService.error('operator.requestFailed', { message: describeError(error) });
		const message = 'An unexpected error occurred in the keeper; see its log.';
		return sendError(context, 500, { error: 'unknown', message });
	});
	return app;
}

/**
 * Commits a change of the tables. Responds with 409 if the tables reject it, 503 if nothing was proposed for lack of a
 * leader, and 504 if the result is unknown.
 */
async function handleTableChange(options: OperatorServerOptions, context: Context): Promise<Response> {
	const json: unknown = await context.req.json().catch(() => undefined);
	const parsed = changeRequestSchema.safeParse(json);
	if (!parsed.success) {
		return sendError(context, 400, { error: 'badRequest', message: formatSchemaIssues(parsed.error) });
	}
	const command: ChangeTablesCommand = {
		kind: 'changeTables',
		request: parsed.data,
		acceptedAt: new Date().toISOString(),
		shortestDrain: options.getShortestDrain(),
	};
	const proposal = await options.replicatedLog.propose(encodeValue(command), proposeTimeoutMs);
	if (proposal.isErr()) {
		const { errorKind, message } = proposal.error;
		const fullMessage = `${message} Send the change again with the same request id.`;
		return sendError(context, errorKind === 'noLeader' ? 503 : 504, {
			error: errorKind,
			message: fullMessage,
		});
	}
	const result = decodeValue(proposal.value) as ChangeResult;
	logChangeResult(options.logService, parsed.data.author, result);
	return context.json(result, result.outcome === 'accepted' || result.outcome === 'unchanged' ? 200 : 409);
}

/**
 * Adds, promotes or removes a keeper. Responds with 409 if the group refuses, 503 without a leader, and 504 if the
 * result is unknown.
 */
async function handleMemberChange(options: OperatorServerOptions, context: Context): Promise<Response> {
	const json: unknown = await context.req.json().catch(() => undefined);
	const parsed = memberRequestSchema.safeParse(json);
	if (!parsed.success) {
		return sendError(context, 400, { error: 'badRequest', message: formatSchemaIssues(parsed.error) });
	}
	const memberChange = await options.replicatedLog.changeMember(
		toMemberChange(parsed.data),
		proposeTimeoutMs,
	);
	if (memberChange.isOk()) {
		const { action, processId } = parsed.data;
		options.logService.info('member.changed', { action, processId });
		return context.json({ members: options.replicatedLog.status.members });
	}
	const { errorKind, message } = memberChange.error;
	const status = match(errorKind)
		.with('refused', () => 409 as const)
		.with('noLeader', () => 503 as const)
		.with('unknown', () => 504 as const)
		.exhaustive();
	return sendError(context, status, { error: errorKind, message });
}

/**
 * Converts a request into a change of the group. The disk id of a new keeper is left empty: the group takes the one
 * that the keeper reported when it asked to join.
 */
function toMemberChange(request: MemberChangeRequest): MemberChange {
	if (request.action !== 'add') {
		return request;
	}
	const { processId, address } = request;
	return { action: 'addLearner', member: { processId, address, isVoter: false, diskId: '' } };
}

function logChangeResult(logService: ILogService, author: string, result: ChangeResult): void {
	const revision = 'revision' in result ? result.revision : result.presentRevision;
	logService.info('tables.changeDecided', { outcome: result.outcome, revision, author });
}

/** Returns the most recent changes, newest first. */
function readHistory(options: OperatorServerOptions, context: Context): HistoryBody {
	const requestedLimit = Number(context.req.query('limit') ?? defaultHistoryLimit);
	const limit = Number.isInteger(requestedLimit) && requestedLimit > 0 ? requestedLimit : defaultHistoryLimit;
	const { history } = options.stateMachine.tableStore;
	return { changes: history.slice(-limit).reverse(), oldestRevision: history[0]?.revision ?? 0 };
}

function sendBodyTooLarge(context: Context): Response {
	const message = `The request body exceeds ${maxChangeBodyBytes} bytes; split the change.`;
	return sendError(context, 413, { error: 'badRequest', message });
}

function sendError(
	context: Context,
	status: 400 | 401 | 404 | 409 | 413 | 500 | 503 | 504,
	body: OperatorErrorBody,
): Response {
	return context.json(body, status);
}
