/** Schemas that several settings files share. A test compares the description of each key with the documentation. */

import * as z from 'zod';

const maxPort = 65_535;

/** An IP number and a port, such as `127.0.0.1:7000`. */
export const addressSchema = z
	.string()
	.regex(
		/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
		'Give an IP number and a port, such as "127.0.0.1:7000".',
	)
	.refine(isIpAndPort, `Give a valid IP number and a port of at most ${maxPort}.`);

/** A name of a process, data centre, rack, pool, route or team. */
export const nameSchema = z
	.string()
	.regex(
		/^[a-z0-9][a-z0-9-]{0,62}$/,
		'Give 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit.',
	);

/** A duration in whole milliseconds, from 1 ms to 24 hours. */
export const durationMsSchema = z.number().int().positive().max(86_400_000);

/** Settings of the log. */
export const logSettingsSchema = z
	.strictObject({
		level: z
			.enum(['debug', 'info', 'warn', 'error'])
			.default('info')
			.describe('Least severity that is logged.'),
		format: z.enum(['json', 'text']).default('json').describe('JSON lines, or text for a terminal.'),
	})
	.prefault({});

/** Settings of the metrics; by default none are sent. */
export const metricsSettingsSchema = z
	.strictObject({
		address: addressSchema
			.optional()
			.describe('StatsD address for metrics over UDP; absent means that none are sent.'),
	})
	.prefault({});

/** Keys that the settings of every daemon have. */
export const processSettingsShape = {
	processId: nameSchema.describe('Name of this process, unique in the system.'),
	dataCentre: nameSchema.describe('Data centre that the process runs in.'),
	rack: nameSchema.default('rack-1').describe('Rack that the process runs in.'),
	sharedSecret: z
		.string()
		.min(16)
		.describe('Secret that the processes prove to each other; at least 16 characters.'),
	log: logSettingsSchema,
	metrics: metricsSettingsSchema,
};

function isIpAndPort(address: string): boolean {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator);
	const isIp = host.startsWith('[')
		? z.ipv6().safeParse(host.slice(1, -1)).success
		: z.ipv4().safeParse(host).success;
	return isIp && Number(address.slice(separator + 1)) <= maxPort;
}
