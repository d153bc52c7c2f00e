/** `yuccaarch entry`: Runs an entry, which receives jobs from readers. */

import { defineCommand } from 'citty';
import { ControlPlaneClient } from '../../../control/node/controlPlaneClient.js';
import { entrySettingsSchema, type EntrySettings } from '../../../entry/common/entrySettings.js';
import { EntryDaemon } from '../../../entry/node/entryDaemon.js';
import { reportSettingsError, runDaemon, type IDaemon } from '../../../services/daemon/node/daemon.js';
import type { ILogService } from '../../../services/log/common/log.js';
import { ConsolaLogService } from '../../../services/log/node/consolaLogService.js';
import { createMetricsService } from '../../../services/metrics/node/statsdMetricsService.js';
import { loadSettings } from '../../../services/settings/node/loadSettings.js';

/** The command's definition. */
export const entryCommand = defineCommand({
	meta: {
		name: 'entry',
		description: 'Runs an entry, which receives jobs from readers. Example: yuccaarch entry entry-1.toml',
	},
	args: { settings: { type: 'positional', required: true, description: "The entry's settings file." } },
	run: async ({ args }) => {
		try {
			await runEntry(loadSettings(args.settings, entrySettingsSchema));
		} catch (error) {
			reportSettingsError(error);
		}
	},
});

async function runEntry(settings: EntrySettings): Promise<void> {
	const log = new ConsolaLogService({ role: 'entry', instance: settings.processId }, settings.log);
	await runDaemon({
		log,
		drainTimeoutMs: settings.drainTimeoutMs,
		start: () => startEntry(settings, log),
	});
}

async function startEntry(settings: EntrySettings, log: ILogService): Promise<IDaemon> {
	const controlPlanes: ControlPlaneClient[] = [];
	const daemon = await EntryDaemon.start({
		settings,
		log,
		metrics: createMetricsService(settings.metrics, { role: 'entry', instance: settings.processId }),
		createControlPlane: ({ identity, secret, limits }) => {
			const controlPlane = new ControlPlaneClient({
				keepers: settings.keepers,
				identity,
				secret,
				limits,
				log,
			});
			controlPlanes.push(controlPlane);
			return controlPlane;
		},
	});
	return {
		drain: async () => {
			await daemon.drain();
			// Removes the entry from the directory now, instead of when its lease expires.
			await Promise.all(controlPlanes.map((controlPlane) => controlPlane.leave()));
		},
		dispose: () => {
			daemon.dispose();
		},
	};
}
