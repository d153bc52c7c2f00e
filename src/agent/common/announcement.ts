/** Announcement of an upstream to its agent. */

import { z } from 'zod';
import { addressSchema, nameSchema } from '../../services/settings/common/settingsSchema.js';

/** Longest time for which an announcement is valid, so that a lost upstream gets no new start after 2 s. */
export const maxAnnouncementTtlMs = 2000;

const loopbackPattern = /^(127\.|\[::1\])/;

/** Schema of an announcement's request body. */
export const announcementSchema = z.strictObject({
	upstreamId: z
		.string()
		.min(1)
		.max(100)
		.describe(
			'Identifier of one run of the upstream, different in each run, such as a random number or its start time.',
		),
	pool: nameSchema.describe('Pool that the upstream belongs to.'),
	address: addressSchema
		.regex(loopbackPattern, 'Give a loopback address, such as "127.0.0.1:9000".')
		.describe('Address at which the upstream accepts tasks over HTTP.'),
	slots: z
		.number()
		.int()
		.positive()
		.max(10_000)
		.describe('Largest number of tasks that may run at the same time.'),
	connections: z
		.number()
		.int()
		.positive()
		.max(10_000)
		.describe('Largest number of HTTP connections that the upstream accepts at the same time.'),
	cores: z.number().positive().describe('Processor cores that the tasks may use together.'),
	memoryBytes: z.number().int().positive().describe('Memory that the tasks may use together.'),
	accelerators: z
		.number()
		.int()
		.nonnegative()
		.default(0)
		.describe('Accelerators that the tasks may use together.'),
	ttlMs: z
		.number()
		.int()
		.min(300)
		.max(maxAnnouncementTtlMs)
		.default(1500)
		.describe('Time for which the announcement is valid unless it is renewed.'),
});

/** Validated announcement. */
export type Announcement = z.output<typeof announcementSchema>;
