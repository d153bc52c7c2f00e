/** Messages by which a keeper hands commands to the leader. */

import type { MemberChange, ProposeErrorKind } from './replicatedLog.js';

/** What is to be committed. */
export type Work =
	| { readonly kind: 'command'; readonly command: Uint8Array }
	| { readonly kind: 'change'; readonly change: MemberChange };

/** One piece of work of the sender; answered under the same id. */
export interface ForwardRequest {
	readonly id: number;
	readonly timeoutMs: number;
	readonly work: Work;
}

/** Hands work to the leader. */
export interface ForwardMessage {
	readonly kind: 'forward';
	readonly requests: readonly ForwardRequest[];
}

/** Result of one piece of work: the state machine's answer or an error. */
export interface ForwardResult {
	readonly id: number;
	readonly answer?: Uint8Array | undefined;
	readonly errorKind?: ProposeErrorKind | undefined;
	readonly reason?: string | undefined;
}

/** Answers a `forward`, in parts as the results become known. */
export interface ForwardAnswerMessage {
	readonly kind: 'forwardAnswer';
	readonly results: readonly ForwardResult[];
}
