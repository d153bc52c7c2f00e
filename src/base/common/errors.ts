/** Helpers for errors. */

/** Handles errors that no other code handles; each process has one handler. */
export type UnexpectedErrorHandler = (error: unknown, where: string) => void;

/**
 * Returns a readable description of a thrown value.
 *
 * @example
 * logger.warn('settings.unreadable', { reason: describeError(error) });
 */
export function describeError(error: unknown): string {
	if (!(error instanceof Error)) {
		return String(error);
	}
	if (error instanceof AggregateError && error.message === '') {
		return error.errors.map(describeError).join('; ');
	}
	return error.message;
}

/** Marks code that is unreachable according to the types; throws when it is reached. */
export function assertNever(value: never): never {
	throw new Error(`Unexpected value that its type excludes: ${JSON.stringify(value)}.`);
}
