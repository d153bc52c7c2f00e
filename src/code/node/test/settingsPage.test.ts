/** Holds docs/SETTINGS.md against the schemas of the settings, and the example settings against the schemas. */

import { readdirSync, readFileSync } from 'node:fs';
import test from 'ava';
import { z } from 'zod';
import { agentSettingsSchema } from '../../../agent/common/agentSettings.js';
import { entrySettingsSchema } from '../../../entry/common/entrySettings.js';
import { keeperSettingsSchema } from '../../../keeper/common/keeperSettings.js';
import { loadSettings } from '../../../services/settings/node/loadSettings.js';

const schemas = {
	entry: entrySettingsSchema,
	agent: agentSettingsSchema,
	keeper: keeperSettingsSchema,
} as const;

type Role = keyof typeof schemas;

const roles: readonly Role[] = ['entry', 'agent', 'keeper'];
const examples = new URL('../../../../../examples/', import.meta.url);
const page = readFileSync(new URL('../../../../../docs/SETTINGS.md', import.meta.url), 'utf8');

/** What the page must say of one key. */
interface SettingRow {
	readonly key: string;
	readonly type: string;
	readonly unit: string;
	readonly default: string;
	/** Starts with the schema's description. */
	readonly effect: string;
}

/** The part of a JSON schema that the page is made of. */
interface SchemaNode {
	readonly type?: string;
	readonly description?: string;
	readonly default?: unknown;
	readonly enum?: readonly string[];
	readonly properties?: Readonly<Record<string, SchemaNode>>;
	readonly required?: readonly string[];
	readonly items?: SchemaNode;
}

const typeWords: Readonly<Record<string, string>> = {
	string: 'text',
	integer: 'whole number',
	array: 'list of tables',
};

function typeOf(node: SchemaNode): string {
	if (node.enum !== undefined) {
		return `one of ${node.enum.map((value) => `\`${value}\``).join(', ')}`;
	}
	return typeWords[node.type ?? ''] ?? `a type that the test does not know: ${String(node.type)}`;
}

function unitOf(key: string): string {
	if (key.endsWith('Ms')) {
		return 'ms';
	}
	return key.endsWith('Bytes') ? 'bytes' : '-';
}

function defaultOf(node: SchemaNode, isRequired: boolean): string {
	if (node.default !== undefined) {
		return `\`${JSON.stringify(node.default)}\``;
	}
	return isRequired ? 'required' : 'none';
}

function rowsOfSchema(table: SchemaNode, prefix: string): SettingRow[] {
	return Object.entries(table.properties ?? {}).flatMap(([name, node]) => {
		const key = `${prefix}${name}`;
		if (node.properties !== undefined) {
			return rowsOfSchema(node, `${key}.`);
		}
		const row = {
			key,
			type: typeOf(node),
			unit: unitOf(key),
			default: defaultOf(node, table.required?.includes(name) === true),
			effect: node.description ?? '',
		};
		return [row, ...(node.items === undefined ? [] : rowsOfSchema(node.items, `${key}[].`))];
	});
}

function rowsOfPage(role: Role): SettingRow[] {
	const section = page.split(/^## /m).find((part) => part.toLowerCase().startsWith(`${role}\n`)) ?? '';
	return section
		.split('\n')
		.filter((line) => line.startsWith('| `'))
		.map((line) => {
			const cells = line.split('|').map((cell) => cell.trim());
			const [, key = '', type = '', unit = '', defaultValue = '', effect = ''] = cells;
			return { key: key.replaceAll('`', ''), type, unit, default: defaultValue, effect };
		});
}

for (const role of roles) {
	test(`the page has each setting of the ${role}, with its type, unit, default and effect`, (t) => {
		const expected = rowsOfSchema(z.toJSONSchema(schemas[role], { io: 'input' }) as SchemaNode, '');
		const shown = rowsOfPage(role);
		t.deepEqual(
			shown.map((row) => row.key),
			expected.map((row) => row.key),
			'The page lacks a key, or names one that does not exist.',
		);
		for (const [index, { effect, ...rest }] of expected.entries()) {
			const { effect: shownEffect, ...shownRest } = shown[index] ?? { effect: '' };
			t.deepEqual(shownRest, rest);
			t.not(effect, '', `The schema does not describe ${rest.key}.`);
			t.true(shownEffect.startsWith(effect), `${rest.key}: the page does not begin with "${effect}".`);
		}
	});

	test(`the example settings of the ${role} are good`, (t) => {
		for (const deployment of ['registro-rioplatense', 'citacion-clara']) {
			const folder = new URL(`${deployment}/`, examples);
			t.deepEqual(readdirSync(folder).sort(), ['agent.toml', 'entry.toml', 'keeper.toml']);
			const settings = loadSettings(new URL(`${role}.toml`, folder).pathname, schemas[role]);
			t.is(settings.processId, `${role}-1`);
		}
	});
}
