/** The declarations that the project ships as examples. */

import { fileURLToPath } from 'node:url';

/** Paths of the example declarations, one for each deployment. */
export const exampleFiles = {
	registroRioplatense: fileURLToPath(
		new URL('../../../../examples/registro-rioplatense.toml', import.meta.url),
	),
	citacionClara: fileURLToPath(new URL('../../../../examples/citacion-clara.toml', import.meta.url)),
} as const;
