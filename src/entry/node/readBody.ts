/** Reads a request's body from its socket. Much cheaper than a web stream, which every job would pay for. */

import type { IncomingMessage } from 'node:http';

/** Why a body could not be read. */
export type BodyError = 'tooLarge' | 'gone';

/**
 * Reads a whole body as text.
 *
 * @param maxBytes largest body that is taken; a larger one is not buffered
 * @example
 * const body = await readBody(context.env.incoming, 1_000_000);
 */
export function readBody(
	incoming: IncomingMessage,
	maxBytes: number,
): Promise<{ readonly text: string } | { readonly error: BodyError }> {
	return new Promise((resolve) => {
		if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
			incoming.resume();
			resolve({ error: 'tooLarge' });
			return;
		}
		const chunks: Buffer[] = [];
		let bytes = 0;
		incoming.on('data', (chunk: Buffer) => {
			bytes += chunk.length;
			if (bytes > maxBytes) {
				chunks.length = 0;
				resolve({ error: 'tooLarge' });
				return;
			}
			chunks.push(chunk);
		});
		incoming.once('end', () => {
			resolve({ text: toText(chunks) });
		});
		incoming.once('close', () => {
			resolve({ error: 'gone' });
		});
	});
}

function toText(chunks: readonly Buffer[]): string {
	const [only] = chunks;
	return chunks.length === 1 && only !== undefined
		? only.toString('utf8')
		: Buffer.concat(chunks).toString('utf8');
}
