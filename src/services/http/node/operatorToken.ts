/** Checks the token that operators send with each request. */

import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Returns a function that checks an `Authorization` header. The comparison takes the same time for every token, so that
 * its duration doesn't reveal how much of a guess is right.
 *
 * @example
 * const isAllowed = createTokenCheck(settings.operatorToken);
 * isAllowed('Bearer wrong'); // false
 */
export function createTokenCheck(token: string): (authorization: string | undefined) => boolean {
	const expected = digest(token);
	return (authorization) => {
		const given = /^Bearer (.+)$/.exec(authorization ?? '')?.[1] ?? '';
		return timingSafeEqual(digest(given), expected);
	};
}

function digest(text: string): Buffer {
	return createHash('sha256').update(text).digest();
}
