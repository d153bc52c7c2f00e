/** What operators read from an entry, on its HTTP address and behind their token. */

import { Hono } from 'hono';
import type { OutcomeLedger } from '../../burn/common/outcomeCounts.js';
import { createTokenCheck } from '../../services/http/node/operatorToken.js';

/** What the interface sees of the entry. */
export interface IEntryOperatorHost {
	/** Counters since the start. */
	stats(): object;
	/** Outcomes of readers' jobs, for the burn report. */
	ledger(): OutcomeLedger;
}

/**
 * Creates the operators' routes. Without a token in the settings they don't exist, since readers can reach the
 * same address.
 *
 * @example
 * app.route('/', createEntryOperatorApi(host, settings.operatorToken));
 */
export function createEntryOperatorApi(host: IEntryOperatorHost, token: string | undefined): Hono {
	const app = new Hono();
	if (token === undefined) {
		return app;
	}
	const isAllowed = createTokenCheck(token);
	const answer = (authorization: string | undefined, read: () => object): Response => {
		if (!isAllowed(authorization)) {
			const message = 'The operator token is missing or wrong; give the operatorToken of the entry settings.';
			return Response.json({ error: 'unauthorized', message }, { status: 401 });
		}
		return Response.json(read());
	};
	app.get('/v1/stats', (context) => answer(context.req.header('authorization'), () => host.stats()));
	app.get('/v1/burn', (context) => answer(context.req.header('authorization'), () => host.ledger()));
	return app;
}
