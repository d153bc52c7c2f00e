/** Reads TOML files and validates them against a schema. */

import { readFileSync } from 'node:fs';
import { parse, TomlError } from 'smol-toml';
import type * as z from 'zod';
import { describeError } from '../../../base/common/errors.js';
import { describeIssue, getIssueKeys } from '../common/describeIssue.js';
import { SettingsError } from '../common/settingsError.js';

/**
 * Reads one TOML file and validates it.
 *
 * @throws SettingsError that names the file, every faulty key and the remedy
 * @example
 * const settings = loadSettings('entry.toml', entrySettingsSchema);
 */
export function loadSettings<T extends z.ZodType>(file: string, schema: T): z.output<T> {
	return validateSettings(file, readToml(file), schema);
}

/** Validates a parsed file against a schema. See {@link loadSettings}. */
export function validateSettings<T extends z.ZodType>(
	file: string,
	content: unknown,
	schema: T,
): z.output<T> {
	const result = schema.safeParse(content, { reportInput: true });
	if (result.success) {
		return result.data;
	}
	const issues = result.error.issues.flatMap((issue) =>
		getIssueKeys(issue).map((key) => ({ file, key, message: describeIssue(issue) })),
	);
	throw new SettingsError(issues);
}

/**
 * Reads and parses one TOML file without validating its keys.
 *
 * @throws SettingsError when the file can't be read or isn't valid TOML
 */
export function readToml(file: string): unknown {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError([{ file, key: '', message: `The file can't be read: ${describeError(error)}.` }]);
	}
	try {
		return parse(text);
	} catch (error) {
		if (error instanceof TomlError) {
			const message = `Line ${error.line}, column ${error.column} is not valid TOML: ${describeError(error)}`;
			throw new SettingsError([{ file, key: '', message }]);
		}
		throw error;
	}
}
