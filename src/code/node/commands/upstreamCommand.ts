/** `yuccaarch upstream`: Runs a stand-in upstream for demonstrations and tests. */

import { defineCommand } from 'citty';
import { randomUUID } from 'node:crypto';
import { runDaemon } from '../../../services/daemon/node/daemon.js';
import { ConsolaLogService } from '../../../services/log/node/consolaLogService.js';
import { nullJournal } from '../../../standins/common/journal.js';
import { defaultUpstreamOptions, type UpstreamOptions } from '../../../standins/common/upstreamOptions.js';
import { FileJournal } from '../../../standins/node/fileJournal.js';
import { StandinUpstream } from '../../../standins/node/standinUpstream.js';

/** Time after which a drain that has not ended is aborted and the process exits. */
const drainTimeoutMs = 60_000;

const defaults = defaultUpstreamOptions;

const args = {
	announce: { type: 'string', required: true, description: 'Announce address of the agent.' },
	pool: { type: 'string', required: true, description: 'Pool that the upstream belongs to.' },
	address: {
		type: 'string',
		default: defaults.httpAddress,
		description: 'Address on which the upstream listens for tasks.',
	},
	'upstream-id': {
		type: 'string',
		description: 'Id of this run of the upstream, different in each run; random by default.',
	},
	slots: {
		type: 'string',
		default: String(defaults.slots),
		description: 'Maximum number of concurrent tasks.',
	},
	connections: {
		type: 'string',
		default: String(defaults.connections),
		description: 'Maximum number of concurrent HTTP connections.',
	},
	cores: { type: 'string', default: String(defaults.cores), description: 'Processor cores.' },
	'memory-bytes': {
		type: 'string',
		default: String(defaults.memoryBytes),
		description: 'Memory.',
	},
	accelerators: {
		type: 'string',
		default: String(defaults.accelerators),
		description: 'Accelerators.',
	},
	'ttl-ms': {
		type: 'string',
		default: String(defaults.ttlMs),
		description: 'Time in ms for which an announcement is valid.',
	},
	journal: { type: 'string', description: 'Journal file, to which each event is appended.' },
	seed: {
		type: 'string',
		default: String(defaults.seed),
		description: 'Seed of the random number generator.',
	},
	'run-ms': {
		type: 'string',
		default: String(defaults.defaultRunMs),
		description: 'Run time in ms of a task whose payload gives none.',
	},
	'fail-share': { type: 'string', default: '0', description: 'Share of tasks that fail, from 0 to 1.' },
	'slow-share': { type: 'string', default: '0', description: 'Share of tasks that are slow, from 0 to 1.' },
	'slow-factor': {
		type: 'string',
		default: String(defaults.slowFactor),
		description: 'Factor by which the run time of a slow task is multiplied.',
	},
	'refuse-share': {
		type: 'string',
		default: '0',
		description: 'Share of task starts that are refused, from 0 to 1.',
	},
	'ignore-stop-share': {
		type: 'string',
		default: '0',
		description: 'Share of stop requests that are ignored, from 0 to 1.',
	},
	'usage-lag-ms': {
		type: 'string',
		default: String(defaults.usageLagMs),
		description: 'Delay in ms of the reported usage.',
	},
} as const;

/** The command's definition. */
export const upstreamCommand = defineCommand({
	meta: { name: 'upstream', description: 'Runs a stand-in upstream for demonstrations and tests.' },
	args,
	run: async ({ args: values }) => {
		const options: UpstreamOptions = {
			upstreamId: values['upstream-id'] ?? randomUUID(),
			httpAddress: values.address,
			announceAddress: values.announce,
			pool: values.pool,
			slots: parseNonNegativeNumber('slots', values.slots),
			connections: parseNonNegativeNumber('connections', values.connections),
			cores: parseNonNegativeNumber('cores', values.cores),
			memoryBytes: parseNonNegativeNumber('memory-bytes', values['memory-bytes']),
			accelerators: parseNonNegativeNumber('accelerators', values.accelerators),
			ttlMs: parseNonNegativeNumber('ttl-ms', values['ttl-ms']),
			journalFile: values.journal,
			seed: parseNonNegativeNumber('seed', values.seed),
			defaultRunMs: parseNonNegativeNumber('run-ms', values['run-ms']),
			failShare: parseNonNegativeNumber('fail-share', values['fail-share']),
			slowShare: parseNonNegativeNumber('slow-share', values['slow-share']),
			slowFactor: parseNonNegativeNumber('slow-factor', values['slow-factor']),
			refuseShare: parseNonNegativeNumber('refuse-share', values['refuse-share']),
			ignoreStopShare: parseNonNegativeNumber('ignore-stop-share', values['ignore-stop-share']),
			usageLagMs: parseNonNegativeNumber('usage-lag-ms', values['usage-lag-ms']),
		};
		const source = { role: 'upstream', instance: options.upstreamId };
		const log = new ConsolaLogService(source, { level: 'info', format: 'json' });
		await runDaemon({
			log,
			drainTimeoutMs,
			start: () => {
				const journal =
					options.journalFile === undefined ? nullJournal : new FileJournal(options.journalFile);
				return StandinUpstream.start(options, journal, log);
			},
		});
	},
});

function parseNonNegativeNumber(name: string, text: string): number {
	const value = Number(text);
	if (text === '' || !Number.isFinite(value) || value < 0) {
		throw new Error(`--${name} must be a number that is not negative, but "${text}" was given.`);
	}
	return value;
}
