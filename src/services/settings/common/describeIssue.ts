/** Turns a schema's issue into whole sentences that name the value and the remedy. */

import type * as z from 'zod';

/** An issue of a schema that was checked with `reportInput`. */
type Issue = z.core.$ZodIssue;

/** Keys whose values must not be shown. */
const secretKeyPattern = /secret|token/i;

const maxShownLength = 80;

/**
 * Describes an issue. The caller names the file and the key.
 *
 * @example
 * describeIssue(issue); // 'The value 0 is too small. Give at least 1.'
 */
export function describeIssue(issue: Issue): string {
	const value = showValue(issue);
	switch (issue.code) {
		case 'unrecognized_keys':
			return 'The key is not known. Remove it or correct its spelling.';
		case 'invalid_type':
			return issue.input === undefined
				? `The key is missing. Add it with ${typeWord(issue.expected)}.`
				: `The value ${value} has the wrong type. Give ${typeWord(issue.expected)}.`;
		case 'too_small':
			return `The value ${value} is too ${sizeWord(issue.origin, 'small', 'short')}. Give ${bound('at least', issue.minimum, issue.inclusive)}${unitOf(issue.origin)}.`;
		case 'too_big':
			return `The value ${value} is too ${sizeWord(issue.origin, 'large', 'long')}. Give ${bound('at most', issue.maximum, issue.inclusive)}${unitOf(issue.origin)}.`;
		case 'invalid_value':
			return `The value ${value} is not known. Give one of ${issue.values.map((known) => JSON.stringify(known)).join(', ')}.`;
		case 'invalid_key':
			return `The name is not accepted. ${issue.issues.map((inner) => inner.message).join(' ')}`;
		default:
			return `The value ${value} is not accepted. ${issue.message}`;
	}
}

/** A type of the schema, in the words of a settings file. */
function typeWord(expected: string): string {
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

/** Paths of the keys that an issue is about; an unknown key is named itself, not the table that holds it. */
export function keysOf(issue: Issue): string[] {
	const path = issue.path.map(String);
	if (issue.code !== 'unrecognized_keys') {
		return [path.join('.')];
	}
	return issue.keys.map((key) => [...path, key].join('.'));
}

function showValue(issue: Issue): string {
	if (issue.path.some((key) => secretKeyPattern.test(String(key)))) {
		return '(not shown)';
	}
	const shown = issue.input === undefined ? 'nothing' : JSON.stringify(issue.input);
	return shown.length > maxShownLength ? `${shown.slice(0, maxShownLength)}…` : shown;
}

function sizeWord(origin: string, ofNumber: string, ofText: string): string {
	return origin === 'string' || origin === 'array' ? ofText : ofNumber;
}

function bound(words: string, limit: number | bigint, isInclusive: boolean | undefined): string {
	if (isInclusive === false) {
		return `${words === 'at least' ? 'more than' : 'less than'} ${limit}`;
	}
	return `${words} ${limit}`;
}

function unitOf(origin: string): string {
	if (origin === 'string') {
		return ' characters';
	}
	return origin === 'array' ? ' elements' : '';
}
