/** Identifies the process at the client's end of a proxied connection. */

import { defaultConnectionLimits } from '../../services/transport/common/transport.js';
import { FrameDecoder } from '../../services/transport/common/frameCodec.js';
import { isHello } from '../../services/transport/node/handshake.js';

/**
 * Returns the `processId` in the hello frame that opens each connection between the system's processes; undefined
 * when the bytes hold no valid hello frame.
 *
 * @example
 * FaultProxy.listen({ target, identifyClient: identifyByHello });
 */
export function identifyByHello(firstBytes: Buffer): string | undefined {
	const decoder = new FrameDecoder(defaultConnectionLimits.maxFrameBytes);
	try {
		const [hello] = decoder.push(firstBytes);
		return hello !== undefined && isHello(hello) ? hello.identity.processId : undefined;
	} catch {
		return undefined;
	}
}
