/**
 * ESLint rule that keeps imports one-way between layers and features.
 *
 * A file lives at `src/<part>/<common|node>/...`, or `src/services/<service>/<common|node>/...`.
 * - A part imports itself, `base`, and the parts listed for it in `allowedImports`.
 * - A `common` folder imports only `common` folders and no Node.js module.
 * - No file is named `index.ts`.
 */
import path from 'node:path';

/** Parts that each part may import. Every part may import `base`. */
export const allowedImports = {
	base: [],
	services: [],
	declarations: ['services'],
	protocol: ['services', 'declarations'],
	control: ['services', 'declarations', 'protocol'],
	replication: ['services'],
	routing: ['services', 'replication', 'cluster'],
	cluster: ['services'],
	dispatch: ['services'],
	keeper: ['services', 'declarations', 'protocol', 'control', 'replication'],
	entry: ['services', 'declarations', 'protocol', 'control', 'burn'],
	agent: ['services', 'declarations', 'protocol', 'control'],
	burn: ['services', 'declarations'],
	operator: ['services', 'declarations', 'protocol', 'control', 'burn'],
	standins: ['services', 'declarations', 'protocol'],
	proof: ['services', 'declarations', 'protocol', 'control', 'standins'],
	bench: ['services', 'declarations', 'protocol', 'control', 'standins', 'proof', 'entry', 'operator'],
	code: [
		'services',
		'declarations',
		'protocol',
		'control',
		'replication',
		'keeper',
		'entry',
		'agent',
		'burn',
		'operator',
		'standins',
		'proof',
		'bench',
	],
};

/** Returns the part and the environment of a file below `src`, and whether the file belongs to a test. */
function locate(sourceRoot, file) {
	const segments = path.relative(sourceRoot, file).split(path.sep);
	const part = segments[0];
	const inServices = part === 'services';
	const environment = inServices ? segments[2] : segments[1];
	return { part, environment, isTest: segments.includes('test') };
}

/** @type {import('eslint').Rule.RuleModule} */
export const layersRule = {
	meta: { type: 'problem', schema: [], messages: { bad: '{{text}}' } },
	create(context) {
		const sourceRoot = path.join(context.cwd, 'src');
		if (!context.filename.startsWith(sourceRoot + path.sep)) {
			// The adapter in platform/ assembles the product's parts and may import all of them.
			return {};
		}
		const from = locate(sourceRoot, context.filename);
		const report = (node, text) => {
			context.report({ node, messageId: 'bad', data: { text } });
		};
		const check = (node) => {
			const specifier = node.source?.value;
			if (typeof specifier !== 'string') {
				return;
			}
			if (specifier.startsWith('node:')) {
				if (from.environment === 'common' && !from.isTest) {
					report(node, `A "common" module can't import "${specifier}"; move the code to a "node" folder.`);
				}
				return;
			}
			if (!specifier.startsWith('.')) {
				return;
			}
			const target = locate(sourceRoot, path.resolve(path.dirname(context.filename), specifier));
			if (from.environment === 'common' && target.environment === 'node' && !from.isTest) {
				report(node, `A "common" module can't import the "node" module "${specifier}".`);
			}
			if (target.part === from.part || target.part === 'base') {
				return;
			}
			if (!(allowedImports[from.part] ?? []).includes(target.part)) {
				report(
					node,
					`"${from.part}" can't import "${target.part}"; the allowed imports are in build/lint/layers.js.`,
				);
			}
		};
		return {
			Program(node) {
				if (path.basename(context.filename) === 'index.ts') {
					report(node, 'Index files are not used; name the file after its main type.');
				}
				if (!(from.part in allowedImports)) {
					report(node, `"${from.part}" is not a known part; add it to build/lint/layers.js.`);
				}
			},
			ImportDeclaration: check,
			ExportNamedDeclaration: check,
			ExportAllDeclaration: check,
		};
	},
};
