/** Schemas of the rows of tables, of edits and of tables: for declarations, the operator API and the processes. */

import { z } from 'zod';
import { durationMsSchema, nameSchema } from '../../services/settings/common/settingsSchema.js';
import { tableNames } from './tableEdits.js';
import type { TableDelta, TableEdit, Tables } from './tables.js';

const countSchema = z.number().int().positive().max(1_000_000_000);
const shareSchema = z.number().min(0).max(1);

/** Objectives of a route, with defaults. */
export const objectivesSchema = z.strictObject({
	answeredWithinMs: durationMsSchema.default(2000).describe('Time within which an answer counts as on time.'),
	answeredWithinShare: shareSchema.default(0.99).describe('Share of jobs that must be answered on time.'),
	answeredWholeShare: shareSchema.default(0.999).describe('Share of jobs that must be answered whole.'),
});

/** Fields of a declared route, except its name. */
export const routeSchema = z.strictObject({
	pool: nameSchema.describe('Pool whose upstreams answer the route.'),
	defaultDeadlineMs: durationMsSchema.default(10_000).describe('Deadline of a job that gives none.'),
	maxDeadlineMs: durationMsSchema.default(60_000).describe('Longest deadline that a job may ask for.'),
	maxTasksPerJob: countSchema.default(200).describe('Tasks that a job may have.'),
	maxConcurrentTasks: countSchema
		.default(10_000)
		.describe('Tasks of the route that may be queued or running at the same time.'),
	repeatable: z
		.boolean()
		.default(false)
		.describe('Whether a job that does not say so may run again after every memory of it was lost.'),
	objectives: objectivesSchema.prefault({}),
});

/** Fields of a declared pool, except its name. */
export const poolSchema = z.strictObject({
	maxQueuedTasks: countSchema.default(2000).describe('Tasks that may wait for a slot.'),
	retryBudgetShare: shareSchema
		.default(0.1)
		.describe('Starts that may be sent again after a refusal, as a share of all starts.'),
	maxEjectedShare: shareSchema
		.default(0.3)
		.describe("Share of the pool's workers that may be ejected at the same time."),
	spareStartsPerWorker: z
		.number()
		.int()
		.nonnegative()
		.max(64)
		.default(1)
		.describe('Starts that a worker may hold beyond its slots.'),
});

/** Fields of a declared team, except its name. */
export const teamSchema = z.strictObject({
	maxRunningTasks: countSchema.default(10_000).describe('Tasks of the team that may run at the same time.'),
	weight: z
		.number()
		.positive()
		.max(1000)
		.default(1)
		.describe('Share that the team gets beside others when slots are scarce.'),
});

/** Schemas of complete rows, by table. */
const rowSchemas = {
	routes: routeSchema.extend({ name: nameSchema }),
	pools: poolSchema.extend({ name: nameSchema }),
	teams: teamSchema.extend({ name: nameSchema }),
	drains: z.strictObject({ name: nameSchema }),
};

/** Schema of an edit, as operators send it. */
export const tableEditSchema: z.ZodType<TableEdit> = z.union([
	z.strictObject({
		action: z.literal('delete'),
		table: z.enum(['routes', 'pools', 'teams', 'drains']),
		name: nameSchema,
	}),
	z.discriminatedUnion('table', [
		z.strictObject({ action: z.literal('put'), table: z.literal('routes'), row: rowSchemas.routes }),
		z.strictObject({ action: z.literal('put'), table: z.literal('pools'), row: rowSchemas.pools }),
		z.strictObject({ action: z.literal('put'), table: z.literal('teams'), row: rowSchemas.teams }),
		z.strictObject({ action: z.literal('put'), table: z.literal('drains'), row: rowSchemas.drains }),
	]),
]);

/** Schemas of rows between processes. Unknown fields are accepted, since a newer process may add some. */
const wireRowSchemas = {
	routes: z.looseObject(rowSchemas.routes.shape),
	pools: z.looseObject(rowSchemas.pools.shape),
	teams: z.looseObject(rowSchemas.teams.shape),
	drains: z.looseObject(rowSchemas.drains.shape),
};

const revisionSchema = z.number().int().nonnegative();

/** Schema of all tables at one revision, as processes send them to each other. */
export const tablesSchema: z.ZodType<Tables> = z.object({
	revision: revisionSchema,
	routes: z.array(wireRowSchemas.routes),
	pools: z.array(wireRowSchemas.pools),
	teams: z.array(wireRowSchemas.teams),
	drains: z.array(wireRowSchemas.drains),
});

/** Schema of an accepted change, as processes send it to each other. */
export const tableDeltaSchema: z.ZodType<TableDelta> = z.object({
	revision: revisionSchema,
	edits: z.array(
		z.union([
			z.object({ action: z.literal('delete'), table: z.enum(tableNames), name: nameSchema }),
			z.object({ action: z.literal('put'), table: z.literal('routes'), row: wireRowSchemas.routes }),
			z.object({ action: z.literal('put'), table: z.literal('pools'), row: wireRowSchemas.pools }),
			z.object({ action: z.literal('put'), table: z.literal('teams'), row: wireRowSchemas.teams }),
			z.object({ action: z.literal('put'), table: z.literal('drains'), row: wireRowSchemas.drains }),
		]),
	),
});
