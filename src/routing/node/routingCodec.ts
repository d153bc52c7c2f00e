/** Encodes routing documents as compressed CBOR; documents with many routes are repetitive and compress well. */

import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Encoder } from 'cbor-x';
import type { PublishedRouting } from '../common/routingStateMachine.js';
import type { RoutingDocument } from '../common/routingDocument.js';

const codec = new Encoder({ useRecords: false });

/** Encodes a document in the form that is distributed to processes. */
export function encodeRoutingDocument(document: RoutingDocument): Uint8Array {
	return deflateRawSync(codec.encode(document));
}

/** Decodes the result of {@link encodeRoutingDocument}. */
export function decodeRoutingDocument(bytes: Uint8Array): RoutingDocument {
	return codec.decode(inflateRawSync(bytes)) as RoutingDocument;
}

/**
 * Creates the published form of a document.
 *
 * @param source the bytes that the operator sent, kept so that they can be read back
 * @param content the normalised content of the source, independent of white space and the order of keys
 * @example
 * const published = createPublishedRouting(document, body, JSON.stringify(sorted));
 */
export function createPublishedRouting(
	document: RoutingDocument,
	source: Uint8Array,
	content: string,
): PublishedRouting {
	return {
		version: document.version,
		digest: createHash('sha256').update(content).digest('hex'),
		source: deflateRawSync(source),
		document: encodeRoutingDocument(document),
	};
}

/** Returns the decompressed bytes that the operator sent. */
export function decompressSource(published: PublishedRouting): Buffer {
	return inflateRawSync(published.source);
}
