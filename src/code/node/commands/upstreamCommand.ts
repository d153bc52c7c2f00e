/** `yuccaarch upstream`: Runs a stand-in upstream, for demonstrations and tests. */

import { defineCommand } from 'citty';
import { randomUUID } from 'node:crypto';
import { runDaemon } from '../../../services/daemon/node/daemon.js';
import { ConsolaLogService } from '../../../services/log/node/consolaLogService.js';
import { nullJournal } from '../../../standins/common/journal.js';
import { defaultUpstreamOptions, type UpstreamOptions } from '../../../standins/common/upstreamOptions.js';
import { FileJournal } from '../../../standins/node/fileJournal.js';
import { StandinUpstream } from '../../../standins/node/standinUpstream.js';

/** Time that a drain may take before the process gives up. */
const drainTimeoutMs = 60_000;

const defaults = defaultUpstreamOptions;

const args = {
	announce: { type: 'string', required: true, description: 'Announce address of the agent.' },
	pool: { type: 'string', required: true, description: 'Pool that the upstream belongs to.' },
	address: { type: 'string', default: defaults.httpAddress, description: 'Address to take tasks on.' },
	'upstream-id': { type: 'string', description: 'Differs in each run; random when absent.' },
	slots: { type: 'string', default: String(defaults.slots), description: 'Tasks at the same time.' },
	connections: {
		type: 'string',
		default: String(defaults.connections),
		description: 'HTTP connections at the same time.',
	},
	cores: { type: 'string', default: String(defaults.cores), description: 'Processor cores.' },
	'memory-bytes': { type: 'string', default: String(defaults.memoryBytes), description: 'Memory.' },
	accelerators: { type: 'string', default: String(defaults.accelerators), description: 'Accelerators.' },
	'ttl-ms': { type: 'string', default: String(defaults.ttlMs), description: 'Time an announcement holds.' },
	journal: { type: 'string', description: 'File that each event is appended to.' },
	seed: { type: 'string', default: String(defaults.seed), description: 'Seed of the random behaviour.' },
	'run-ms': {
		type: 'string',
		default: String(defaults.defaultRunMs),
		description: 'Run time of a task whose payload gives none.',
	},
	'fail-share': { type: 'string', default: '0', description: 'Share of tasks that fail, from 0 to 1.' },
	'slow-share': { type: 'string', default: '0', description: 'Share of tasks that are slow, from 0 to 1.' },
	'slow-factor': {
		type: 'string',
		default: String(defaults.slowFactor),
		description: 'How many times as long a slow task takes.',
	},
	'refuse-share': { type: 'string', default: '0', description: 'Share of starts refused, from 0 to 1.' },
	'ignore-stop-share': { type: 'string', default: '0', description: 'Share of stops ignored, from 0 to 1.' },
	'usage-lag-ms': {
		type: 'string',
		default: String(defaults.usageLagMs),
		description: 'Age of the usage that is reported.',
	},
} as const;

/** The command's definition. */
export const upstreamCommand = defineCommand({
	meta: { name: 'upstream', description: 'Runs a stand-in upstream, for demonstrations and tests.' },
	args,
	run: async ({ args: given }) => {
		const options: UpstreamOptions = {
			upstreamId: given['upstream-id'] ?? randomUUID(),
			httpAddress: given.address,
			announceAddress: given.announce,
			pool: given.pool,
			slots: toNumber('slots', given.slots),
			connections: toNumber('connections', given.connections),
			cores: toNumber('cores', given.cores),
			memoryBytes: toNumber('memory-bytes', given['memory-bytes']),
			accelerators: toNumber('accelerators', given.accelerators),
			ttlMs: toNumber('ttl-ms', given['ttl-ms']),
			journalFile: given.journal,
			seed: toNumber('seed', given.seed),
			defaultRunMs: toNumber('run-ms', given['run-ms']),
			failShare: toNumber('fail-share', given['fail-share']),
			slowShare: toNumber('slow-share', given['slow-share']),
			slowFactor: toNumber('slow-factor', given['slow-factor']),
			refuseShare: toNumber('refuse-share', given['refuse-share']),
			ignoreStopShare: toNumber('ignore-stop-share', given['ignore-stop-share']),
			usageLagMs: toNumber('usage-lag-ms', given['usage-lag-ms']),
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

function toNumber(name: string, text: string): number {
	const value = Number(text);
	if (text === '' || !Number.isFinite(value) || value < 0) {
		throw new Error(`--${name} takes a number that is not negative, but "${text}" was given.`);
	}
	return value;
}
