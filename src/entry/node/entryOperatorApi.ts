/** HTTP interface for operators on the entry's HTTP address; requests must carry the operator token. */

import { Hono } from 'hono';
import type { OutcomeLedger } from '../../burn/common/outcomeCounts.js';
import { createTokenCheck } from '../../services/http/node/operatorToken.js';

/** The data that the entry provides to the operators' interface. */
export interface IEntryOperatorHost {
	/** Returns the state of the entry and its counters since the start. */
	readStats(): object;
	/** Returns the outcomes of readers' jobs, for the report on how fast routes use up their error budgets. */
	readOutcomes(): OutcomeLedger;
}

/**
 * Creates the operators' routes. There are none if the settings contain no token, because readers can reach the same
 * address.
 *
 * @example
 * app.route('/', createEntryOperatorApi(host, settings.operatorToken));
 */
export function createEntryOperatorApi(host: IEntryOperatorHost, token: string | undefined): Hono {
	const app = new Hono();
	if (token === undefined) {
		return app;
	}
	const isAuthorized = createTokenCheck(token);
	const respond = (authorization: string | undefined, read: () => object): Response => {
		if (!isAuthorized(authorization)) {
			const message = 'The operator token is missing or wrong. Send the operatorToken of the entry settings.';
			return Response.json({ error: 'unauthorized', message }, { status: 401 });
		}
		return Response.json(read());
	};
	app.get('/v1/stats', (context) => respond(context.req.header('authorization'), () => host.readStats()));
	app.get('/v1/burn', (context) => respond(context.req.header('authorization'), () => host.readOutcomes()));
	return app;
}
