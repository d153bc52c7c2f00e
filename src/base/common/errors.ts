/** Handling of errors that no code expected. */

/** Receives every error that no code expected; there is one in each process. */
export type UnexpectedErrorHandler = (error: unknown, where: string) => void;

/**
 * Turns anything thrown into text for a person.
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

/** Marks a state that the types rule out. */
export function assertNever(value: never): never {
	throw new Error(`A value that the types rule out was met: ${JSON.stringify(value)}.`);
}
