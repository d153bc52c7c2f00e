/** Sends a request to the operators' interface of one keeper, without trying other keepers. */

import { request } from 'undici';
import type { LocalKeeper } from './localDaemon.js';
import { localOperatorToken } from './localSystem.js';

/** Response of a keeper's operators' interface. */
export interface OperatorResponse {
	readonly status: number;
	readonly body: unknown;
}

/** Exceeds the time for which a keeper waits for a commit. */
const defaultTimeoutMs = 4000;

/**
 * Sends a request to one keeper: POST with a body, GET without one. Rejects when no response arrives in time.
 *
 * @example
 * const { body } = await sendToKeeper(keeper, '/v1/status');
 */
export async function sendToKeeper(
	keeper: LocalKeeper,
	path: string,
	body?: object,
	timeoutMs = defaultTimeoutMs,
): Promise<OperatorResponse> {
	const response = await request(`http://${keeper.operatorAddress}${path}`, {
		method: body === undefined ? 'GET' : 'POST',
		headers: { authorization: `Bearer ${localOperatorToken}`, 'content-type': 'application/json' },
		signal: AbortSignal.timeout(timeoutMs),
		...(body === undefined ? {} : { body: JSON.stringify(body) }),
	});
	return { status: response.statusCode, body: await response.body.json() };
}
