/** Schemas of the requests that operators send to change the tables or the group of keepers. */

import { z } from 'zod';
import { tableEditSchema } from '../../declarations/common/tableSchemas.js';
import { addressSchema, nameSchema } from '../../services/settings/common/settingsSchema.js';
import type { ChangeRequest, MemberChangeRequest } from '../../protocol/common/operatorApi.js';

/** Maximum number of edits in one change. Exceeds the number of rows in the largest declaration that is expected. */
const maxEditsPerChange = 5000;

/** Schema of a request to change the tables. */
export const changeRequestSchema: z.ZodType<ChangeRequest> = z.strictObject({
	requestId: z.string().min(8).max(128),
	expectedRevision: z.number().int().nonnegative(),
	author: z.string().min(1).max(128),
	edits: z.array(tableEditSchema).min(1).max(maxEditsPerChange),
});

/** Schema of a request to add, promote or remove a keeper. */
export const memberRequestSchema: z.ZodType<MemberChangeRequest> = z.discriminatedUnion('action', [
	z.strictObject({ action: z.literal('add'), processId: nameSchema, address: addressSchema }),
	z.strictObject({ action: z.literal('promote'), processId: nameSchema }),
	z.strictObject({ action: z.literal('remove'), processId: nameSchema }),
]);

/**
 * Returns the validation issues as text, one line per issue, each preceded by the path of its field.
 *
 * @example
 * formatSchemaIssues(error); // 'edits.0.row.pool: Give 1 to 63 lower-case letters, …'
 */
export function formatSchemaIssues(error: z.ZodError): string {
	return error.issues
		.map((issue) => (issue.path.length === 0 ? issue.message : `${issue.path.join('.')}: ${issue.message}`))
		.join('\n');
}
