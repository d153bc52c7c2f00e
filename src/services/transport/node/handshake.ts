/** Mutual authentication by a shared secret: each side answers the other's nonce with an HMAC. */

import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { PeerIdentity } from '../common/transport.js';

/** First frame that each side sends. */
export interface HelloFrame {
	readonly kind: 'hello';
	readonly protocolVersion: number;
	readonly nonce: string;
	readonly identity: PeerIdentity;
}

/** Second frame that each side sends: an HMAC over both nonces, the sender's side and its identity. */
export interface ProofFrame {
	readonly kind: 'proof';
	readonly mac: string;
}

/** Version of the protocol between processes; peers with another version are refused. */
export const protocolVersion = 1;

const nonceBytes = 16;

/** Side of a connection; part of the HMAC, so that a proof can't be reflected to its sender. */
export type HandshakeSide = 'client' | 'server';

/** Creates the first frame of a handshake. */
export function createHello(identity: PeerIdentity): HelloFrame {
	return { kind: 'hello', protocolVersion, nonce: randomBytes(nonceBytes).toString('hex'), identity };
}

/**
 * Creates the proof of one side.
 *
 * @example
 * connection.send(createProof(secret, 'client', ownHello, peerHello));
 */
export function createProof(
	secret: string,
	side: HandshakeSide,
	own: HelloFrame,
	peer: HelloFrame,
): ProofFrame {
	const { role, processId, incarnation } = own.identity;
	const mac = createHmac('sha256', secret)
		.update([side, own.nonce, peer.nonce, role, processId, incarnation].join('\n'))
		.digest('hex');
	return { kind: 'proof', mac };
}

/** Returns whether a peer's proof matches the secret, the peer's side and both hello frames. */
export function isProofValid(
	secret: string,
	peerSide: HandshakeSide,
	own: HelloFrame,
	peer: HelloFrame,
	proof: ProofFrame,
): boolean {
	const expected = Buffer.from(createProof(secret, peerSide, peer, own).mac, 'hex');
	const actual = Buffer.from(proof.mac, 'hex');
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}

/** Returns whether a frame is a hello frame of this protocol version. */
export function isHello(frame: object): frame is HelloFrame {
	const hello = frame as Partial<HelloFrame>;
	if (hello.kind !== 'hello' || hello.protocolVersion !== protocolVersion) {
		return false;
	}
	const identity = hello.identity as Partial<PeerIdentity> | undefined;
	return (
		typeof hello.nonce === 'string' &&
		typeof identity?.role === 'string' &&
		typeof identity.processId === 'string' &&
		typeof identity.incarnation === 'string'
	);
}

/** Returns whether a frame is a proof frame. */
export function isProof(frame: object): frame is ProofFrame {
	const proof = frame as Partial<ProofFrame>;
	return proof.kind === 'proof' && typeof proof.mac === 'string';
}
