/** Describes why a message failed schema validation. */

import type { ZodError } from 'zod';

/** Maximum number of errors that are listed; a message of another format has one in each row. */
const maxListedErrors = 5;

/**
 * Returns the invalid fields of a rejected message and their errors.
 *
 * @example
 * describeFaults(parsed.error); // 'probe: Invalid input: expected number, received string'
 */
export function describeValidationErrors(error: ZodError): string {
	return error.issues
		.slice(0, maxListedErrors)
		.map((issue) => `${issue.path.join('.')}: ${issue.message}`)
		.join('; ');
}
