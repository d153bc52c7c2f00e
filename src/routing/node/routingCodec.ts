/** Bytes of routing documents: CBOR, compressed, since documents of many routes repeat themselves. */

import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Encoder } from 'cbor-x';
import type { PublishedRouting } from '../common/routingStateMachine.js';
import type { RoutingDocument } from '../common/routingDocument.js';

const codec = new Encoder({ useRecords: false });

/** Encodes a document as processes take it. */
export function encodeDocument(document: RoutingDocument): Uint8Array {
	return deflateRawSync(codec.encode(document));
}

/** Decodes what {@link encodeDocument} gave. */
export function decodeDocument(bytes: Uint8Array): RoutingDocument {
	return codec.decode(inflateRawSync(bytes)) as RoutingDocument;
}

/**
 * Makes what is published of a document.
 *
 * @param source the operator's own bytes, for reading them back
 * @param content the source's content, independent of white space and the order of keys
 * @example
 * const published = createPublished(document, body, JSON.stringify(sorted));
 */
export function createPublished(
	document: RoutingDocument,
	source: Uint8Array,
	content: string,
): PublishedRouting {
	return {
		version: document.version,
		digest: createHash('sha256').update(content).digest('hex'),
		source: deflateRawSync(source),
		document: encodeDocument(document),
	};
}

/** The operator's own bytes. */
export function readSource(published: PublishedRouting): Buffer {
	return inflateRawSync(published.source);
}
