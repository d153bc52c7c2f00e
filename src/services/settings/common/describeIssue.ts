/** Describes validation issues in whole sentences that name the value and the remedy. */

import type * as z from 'zod';

/** An issue found by a validation with `reportInput`. */
type Issue = z.core.$ZodIssue;

/** Matches keys whose values must not be shown. */
const secretKeyPattern = /secret|token/i;

const maxShownCharacters = 80;

/**
 * Describes an issue. The text leaves out the file and the key; the caller adds them.
 *
 * @example
 * describeIssue(issue); // 'The value 0 is too small. Give at least 1.'
 */
export function describeIssue(issue: Issue): string {
	const value = formatValue(issue);
	switch (issue.code) {
		case 'unrecognized_keys':
			return 'The key is not known. Remove it or correct its spelling.';
		case 'invalid_type':
			return issue.input === undefined
				? `The key is missing. Add it with ${describeType(issue.expected)}.`
				: `The value ${value} has the wrong type. Give ${describeType(issue.expected)}.`;
		case 'too_small':
			return `The value ${value} is too ${chooseSizeWord(issue.origin, 'small', 'short')}. Give ${formatLimit('at least', issue.minimum, issue.inclusive)}${getSizeUnit(issue.origin)}.`;
		case 'too_big':
			return `The value ${value} is too ${chooseSizeWord(issue.origin, 'large', 'long')}. Give ${formatLimit('at most', issue.maximum, issue.inclusive)}${getSizeUnit(issue.origin)}.`;
		case 'invalid_value':
			return `The value ${value} is not known. Give one of ${issue.values.map((known) => JSON.stringify(known)).join(', ')}.`;
		case 'invalid_key':
			return `The name is not accepted. ${issue.issues.map((inner) => inner.message).join(' ')}`;
		default:
			return `The value ${value} is not accepted. ${issue.message}`;
	}
}

/** Describes a type of the schema in the terms of a settings file. */
function describeType(expected: string): string {
	const words: Readonly<Record<string, string>> = {
		string: 'a text in quotes',
		number: 'a number',
		int: 'a whole number',
		boolean: 'true or false',
		array: 'a list',
		object: 'a table',
		record: 'a table',
	};
	return words[expected] ?? `a value of the type ${expected}`;
}

/** Returns the paths of the keys at fault; for unknown keys, their own paths and not that of their table. */
export function getIssueKeys(issue: Issue): string[] {
	const path = issue.path.map(String);
	if (issue.code !== 'unrecognized_keys') {
		return [path.join('.')];
	}
	return issue.keys.map((key) => [...path, key].join('.'));
}

function formatValue(issue: Issue): string {
	if (issue.path.some((key) => secretKeyPattern.test(String(key)))) {
		return '(not shown)';
	}
	const shown = issue.input === undefined ? 'nothing' : JSON.stringify(issue.input);
	return shown.length > maxShownCharacters ? `${shown.slice(0, maxShownCharacters)}…` : shown;
}

function chooseSizeWord(valueType: string, numberWord: string, textWord: string): string {
	return valueType === 'string' || valueType === 'array' ? textWord : numberWord;
}

function formatLimit(words: string, limit: number | bigint, isInclusive: boolean | undefined): string {
	if (isInclusive === false) {
		return `${words === 'at least' ? 'more than' : 'less than'} ${limit}`;
	}
	return `${words} ${limit}`;
}

function getSizeUnit(valueType: string): string {
	if (valueType === 'string') {
		return ' characters';
	}
	return valueType === 'array' ? ' elements' : '';
}
