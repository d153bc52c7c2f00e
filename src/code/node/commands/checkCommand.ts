/** `yuccaarch check`: Checks a settings file or a declaration without starting anything. */

import { defineCommand } from 'citty';
import { agentSettingsSchema } from '../../../agent/common/agentSettings.js';
import { declarationSchema, joinDeclarations } from '../../../declarations/common/declaration.js';
import { findShortDrains, type DrainSettings } from '../../../declarations/common/drainRule.js';
import { entrySettingsSchema } from '../../../entry/common/entrySettings.js';
import { keeperSettingsSchema } from '../../../keeper/common/keeperSettings.js';
import { reportSettingsError } from '../../../services/daemon/node/daemon.js';
import { SettingsError } from '../../../services/settings/common/settingsError.js';
import { checkSettings, readToml } from '../../../services/settings/node/loadSettings.js';

/** What a file can be. */
type FileKind = 'entry' | 'agent' | 'keeper' | 'declaration';

const settingsSchemas = { entry: entrySettingsSchema, agent: agentSettingsSchema } as const;

/** The command's definition. */
export const checkCommand = defineCommand({
	meta: {
		name: 'check',
		description:
			'Checks settings and declarations without starting anything; files of both kinds are checked against ' +
			'each other. Exit codes: 0 good, 2 faulty. Example: yuccaarch check entry-1.toml routes.toml',
	},
	args: {
		file: {
			type: 'positional',
			required: true,
			description: 'Settings of processes, and declarations that belong together.',
		},
		kind: {
			type: 'enum',
			options: ['entry', 'agent', 'keeper', 'declaration'],
			description: 'What the files are; by default it is told by the keys of each.',
		},
		json: { type: 'boolean', default: false, description: 'Prints one JSON object.' },
	},
	run: ({ args }) => {
		try {
			const kinds = checkFiles(args._, args.kind);
			const kind = [...new Set(kinds)].join(' and ');
			const text = args.json
				? JSON.stringify({ isGood: true, kind, files: args._ })
				: `${args._.join(', ')}: good (${kind}).`;
			process.stdout.write(`${text}\n`);
		} catch (error) {
			reportSettingsError(error);
		}
	},
});

/** A file with what it is and holds. */
interface CheckedFile {
	readonly file: string;
	readonly kind: FileKind;
	readonly content: unknown;
}

/** Checks each file by itself and then against the others; returns the kind of each. */
function checkFiles(paths: readonly string[], givenKind: FileKind | undefined): FileKind[] {
	const files = paths.map((file): CheckedFile => {
		const content = readToml(file);
		return { file, kind: givenKind ?? kindOf(content), content };
	});
	const drains = files.filter(({ kind }) => kind !== 'declaration').flatMap((file) => checkProcess(file));
	const declarations = files
		.filter(({ kind }) => kind === 'declaration')
		.map(({ file, content }) => ({ file, declaration: checkSettings(file, content, declarationSchema) }));
	const { routes } = joinDeclarations(declarations);
	const faults = findShortDrains(drains, routes);
	if (faults.length > 0) {
		const file = declarations.map((declaration) => declaration.file).join(', ');
		throw new SettingsError(
			faults.map(({ route, message }) => ({ file, key: `routes.${route}.maxDeadlineMs`, message })),
		);
	}
	return files.map(({ kind }) => kind);
}

/** Checks the settings of one process, and returns what must agree with the routes. */
function checkProcess({ file, kind, content }: CheckedFile): DrainSettings[] {
	if (kind === 'entry' || kind === 'agent') {
		const { drainTimeoutMs } = checkSettings(file, content, settingsSchemas[kind]);
		return [{ place: file, drainTimeoutMs }];
	}
	checkSettings(file, content, keeperSettingsSchema);
	return [];
}

/** Tells the kind of a file by a key that only this kind has. */
function kindOf(content: unknown): FileKind {
	const keys = new Set(Object.keys(content as object));
	if (keys.has('operatorAddress') || keys.has('dataFolder') || keys.has('members')) {
		return 'keeper';
	}
	if (keys.has('announceAddress')) {
		return 'agent';
	}
	if (keys.has('httpAddress') || keys.has('processId')) {
		return 'entry';
	}
	return 'declaration';
}
