/** Reads a request's body from the Node.js request, because a web stream costs much more for each job. */

import type { IncomingMessage } from 'node:http';

/** Why a body could not be read: it exceeds the limit, or the connection was closed before its end. */
export type BodyReadError = 'tooLarge' | 'gone';

/**
 * Reads a whole body as UTF-8 text.
 *
 * @param maxBytes largest accepted body; a larger one is discarded, and at most this much of it is buffered
 * @example
 * const body = await readBody(context.env.incoming, 1_000_000);
 */
export function readBody(
	incoming: IncomingMessage,
	maxBytes: number,
): Promise<{ readonly text: string } | { readonly error: BodyReadError }> {
	return new Promise((resolve) => {
		if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
			incoming.resume();
			resolve({ error: 'tooLarge' });
			return;
		}
		const chunks: Buffer[] = [];
		let receivedBytes = 0;
		incoming.on('data', (chunk: Buffer) => {
			receivedBytes += chunk.length;
			if (receivedBytes > maxBytes) {
				chunks.length = 0;
				resolve({ error: 'tooLarge' });
				return;
			}
			chunks.push(chunk);
		});
		incoming.once('end', () => {
			resolve({ text: decodeChunks(chunks) });
		});
		incoming.once('close', () => {
			resolve({ error: 'gone' });
		});
	});
}

function decodeChunks(chunks: readonly Buffer[]): string {
	const [firstChunk] = chunks;
	return chunks.length === 1 && firstChunk !== undefined
		? firstChunk.toString('utf8')
		: Buffer.concat(chunks).toString('utf8');
}
