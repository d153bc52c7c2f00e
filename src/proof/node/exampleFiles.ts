/** Paths of the example declaration files. */

import { fileURLToPath } from 'node:url';

/** Path of the example declaration file of each deployment. */
export const exampleFiles = {
	registroRioplatense: fileURLToPath(
		new URL('../../../../examples/registro-rioplatense.toml', import.meta.url),
	),
	citacionClara: fileURLToPath(new URL('../../../../examples/citacion-clara.toml', import.meta.url)),
} as const;
