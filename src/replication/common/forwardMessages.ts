/** Messages that forward proposals from a keeper to the leader. */

import type { MemberChange, ProposeErrorKind } from './replicatedLog.js';

/** A command or membership change that is to be committed. */
export type Proposal =
	| { readonly kind: 'command'; readonly command: Uint8Array }
	| { readonly kind: 'change'; readonly change: MemberChange };

/** One proposal of the sender; its result carries the same id. */
export interface ForwardRequest {
	readonly id: number;
	readonly timeoutMs: number;
	readonly work: Proposal;
}

/** Forwards proposals to the leader. */
export interface ForwardMessage {
	readonly kind: 'forward';
	readonly requests: readonly ForwardRequest[];
}

/** Result of one forwarded proposal: the state machine's answer or an error. */
export interface ForwardResult {
	readonly id: number;
	readonly answer?: Uint8Array | undefined;
	readonly errorKind?: ProposeErrorKind | undefined;
	readonly reason?: string | undefined;
}

/** Answers a `forward`; several answers may follow, as results become known. */
export interface ForwardAnswerMessage {
	readonly kind: 'forwardAnswer';
	readonly results: readonly ForwardResult[];
}
