/** `yuccaarch check`: Checks a settings file or a declaration without starting anything. */

import { defineCommand } from 'citty';
import type { z } from 'zod';
import { agentSettingsSchema } from '../../../agent/common/agentSettings.js';
import { declarationSchema, joinDeclarations } from '../../../declarations/common/declaration.js';
import { entrySettingsSchema } from '../../../entry/common/entrySettings.js';
import { keeperSettingsSchema } from '../../../keeper/common/keeperSettings.js';
import { reportSettingsError } from '../../../platform/daemon/node/daemon.js';
import { checkSettings, readToml } from '../../../platform/settings/node/loadSettings.js';

/** What a file can be. */
type FileKind = 'entry' | 'agent' | 'keeper' | 'declaration';

const settingsSchemas: Readonly<Record<Exclude<FileKind, 'declaration'>, z.ZodType>> = {
	entry: entrySettingsSchema,
	agent: agentSettingsSchema,
	keeper: keeperSettingsSchema,
};

/** The command's definition. */
export const checkCommand = defineCommand({
	meta: {
		name: 'check',
		description:
			'Checks settings or declarations without starting anything. Exit codes: 0 good, 2 faulty. ' +
			'Example: yuccaarch check entry-1.toml',
	},
	args: {
		file: {
			type: 'positional',
			required: true,
			description: 'Settings of one process, or declarations that belong together.',
		},
		kind: {
			type: 'enum',
			options: ['entry', 'agent', 'keeper', 'declaration'],
			description: 'What the file is; by default it is told by its keys.',
		},
		json: { type: 'boolean', default: false, description: 'Prints one JSON object.' },
	},
	run: ({ args }) => {
		try {
			const kind = checkFiles(args._, args.kind);
			const text = args.json
				? JSON.stringify({ isGood: true, kind, files: args._ })
				: `${args._.join(', ')}: good (${kind}).`;
			process.stdout.write(`${text}\n`);
		} catch (error) {
			reportSettingsError(error);
		}
	},
});

function checkFiles(files: readonly string[], givenKind: FileKind | undefined): FileKind {
	const contents = files.map((file) => ({ file, content: readToml(file) }));
	const kind = givenKind ?? kindOf(contents[0]?.content);
	if (kind === 'declaration') {
		joinDeclarations(
			contents.map(({ file, content }) => ({
				file,
				declaration: checkSettings(file, content, declarationSchema),
			})),
		);
		return kind;
	}
	for (const { file, content } of contents) {
		checkSettings(file, content, settingsSchemas[kind]);
	}
	return kind;
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
