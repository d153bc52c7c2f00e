/**
 * Extracts the raw text of an array's elements from a JSON document, so that tasks are forwarded unchanged. Parsing and
 * serializing them again would lose digits of long numbers and take time.
 */

const quote = 0x22;
const backslash = 0x5c;
const openBracket = 0x5b;
const closeBracket = 0x5d;
const openBrace = 0x7b;
const closeBrace = 0x7d;
const comma = 0x2c;
const colon = 0x3a;

function isWhitespace(code: number): boolean {
	return code === 0x20 || code === 0x0a || code === 0x0d || code === 0x09;
}

function skipWhitespace(text: string, from: number): number {
	let at = from;
	while (isWhitespace(text.charCodeAt(at))) {
		at += 1;
	}
	return at;
}

/** Returns the index after the string that starts at `from`. */
function skipString(text: string, from: number): number {
	let at = from + 1;
	for (;;) {
		const end = text.indexOf('"', at);
		if (end === -1) {
			return text.length;
		}
		let escapes = 0;
		while (text.charCodeAt(end - 1 - escapes) === backslash) {
			escapes += 1;
		}
		if (escapes % 2 === 0) {
			return end + 1;
		}
		at = end + 1;
	}
}

/** Returns the index after the value that starts at `from`. */
function skipValue(text: string, from: number): number {
	let depth = 0;
	let at = from;
	while (at < text.length) {
		const code = text.charCodeAt(at);
		if (code === quote) {
			at = skipString(text, at);
			if (depth === 0) {
				return at;
			}
			continue;
		}
		if (
			depth === 0 &&
			(code === comma || code === closeBracket || code === closeBrace || isWhitespace(code))
		) {
			return at;
		}
		at += 1;
		if (code === openBracket || code === openBrace) {
			depth += 1;
		}
		if (code === closeBracket || code === closeBrace) {
			depth -= 1;
			if (depth === 0) {
				return at;
			}
		}
	}
	return at;
}

/** Returns the raw texts of the elements of the array that starts at `from`. */
function sliceArray(text: string, from: number): string[] {
	const slices: string[] = [];
	let at = skipWhitespace(text, from + 1);
	while (at < text.length && text.charCodeAt(at) !== closeBracket) {
		const end = skipValue(text, at);
		slices.push(text.slice(at, end));
		at = skipWhitespace(text, end);
		if (text.charCodeAt(at) === comma) {
			at = skipWhitespace(text, at + 1);
		}
	}
	return slices;
}

/**
 * Returns the raw texts of the elements of an array that is a member of the document's top-level object.
 *
 * @param text a document that `JSON.parse` accepts, with an object at the top level
 * @param name the array's key; if the key occurs more than once, the last one counts, as with `JSON.parse`
 * @returns undefined when there is no such member or it isn't an array
 * @example
 * sliceArrayMember('{"tasks":[{"id":1.0},2]}', 'tasks'); // ['{"id":1.0}', '2']
 */
export function sliceArrayMember(text: string, name: string): string[] | undefined {
	let slices: string[] | undefined;
	let at = skipWhitespace(text, 0) + 1;
	for (;;) {
		at = skipWhitespace(text, at);
		if (text.charCodeAt(at) !== quote) {
			return slices;
		}
		const keyEnd = skipString(text, at);
		const isWanted = JSON.parse(text.slice(at, keyEnd)) === name;
		at = skipWhitespace(text, keyEnd);
		if (text.charCodeAt(at) !== colon) {
			return slices;
		}
		at = skipWhitespace(text, at + 1);
		if (isWanted) {
			slices = text.charCodeAt(at) === openBracket ? sliceArray(text, at) : undefined;
		}
		at = skipWhitespace(text, skipValue(text, at));
		if (text.charCodeAt(at) === comma) {
			at += 1;
		}
	}
}
