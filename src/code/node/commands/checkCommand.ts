/** `yuccaarch check`: Validates settings files and declarations without starting a process. */

import { defineCommand } from 'citty';
import { agentSettingsSchema } from '../../../agent/common/agentSettings.js';
import { declarationSchema, mergeDeclarations } from '../../../declarations/common/declaration.js';
import { findDrainTimeoutViolations, type DrainSettings } from '../../../declarations/common/drainRule.js';
import { entrySettingsSchema } from '../../../entry/common/entrySettings.js';
import { keeperSettingsSchema } from '../../../keeper/common/keeperSettings.js';
import { reportSettingsError } from '../../../services/daemon/node/daemon.js';
import { SettingsError } from '../../../services/settings/common/settingsError.js';
import { validateSettings, readToml } from '../../../services/settings/node/loadSettings.js';

/** Kind of a file: the settings of one role, or a declaration. */
type FileKind = 'entry' | 'agent' | 'keeper' | 'declaration';

const settingsSchemas = { entry: entrySettingsSchema, agent: agentSettingsSchema } as const;

/** The command's definition. */
export const checkCommand = defineCommand({
	meta: {
		name: 'check',
		description:
			'Validates settings and declarations without starting a process. Files of both kinds are also checked against ' +
			'each other. Exit codes: 0 valid, 2 invalid. Example: yuccaarch check entry-1.toml routes.toml',
	},
	args: {
		file: {
			type: 'positional',
			required: true,
			description: 'Settings files and declaration files of one deployment.',
		},
		kind: {
			type: 'enum',
			options: ['entry', 'agent', 'keeper', 'declaration'],
			description: 'Kind of all files; by default it is detected for each file from its keys.',
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

/** A file with its kind and its parsed content. */
interface CheckedFile {
	readonly file: string;
	readonly kind: FileKind;
	readonly content: unknown;
}

/**
 * Validates each file by itself and then against the others, and returns the kind of each.
 *
 * @throws SettingsError for an invalid file, or a job deadline that exceeds the drain timeout of a process
 */
function checkFiles(paths: readonly string[], kindOverride: FileKind | undefined): FileKind[] {
	const files = paths.map((file): CheckedFile => {
		const content = readToml(file);
		return { file, kind: kindOverride ?? detectFileKind(content), content };
	});
	const drainSettings = files
		.filter(({ kind }) => kind !== 'declaration')
		.flatMap((file) => checkProcessSettings(file));
	const declarations = files
		.filter(({ kind }) => kind === 'declaration')
		.map(({ file, content }) => ({ file, declaration: validateSettings(file, content, declarationSchema) }));
	const { routes } = mergeDeclarations(declarations);
	const violations = findDrainTimeoutViolations(drainSettings, routes);
	if (violations.length > 0) {
		const file = declarations.map((declaration) => declaration.file).join(', ');
		throw new SettingsError(
			violations.map(({ route, message }) => ({ file, key: `routes.${route}.maxDeadlineMs`, message })),
		);
	}
	return files.map(({ kind }) => kind);
}

/** Validates the settings of one process, and returns the drain timeout that the routes must respect. */
function checkProcessSettings({ file, kind, content }: CheckedFile): DrainSettings[] {
	if (kind === 'entry' || kind === 'agent') {
		const { drainTimeoutMs } = validateSettings(file, content, settingsSchemas[kind]);
		return [{ place: file, drainTimeoutMs }];
	}
	validateSettings(file, content, keeperSettingsSchema);
	return [];
}

/** Detects the kind of a file from its keys. The order matters: settings of several roles have `processId`. */
function detectFileKind(content: unknown): FileKind {
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
