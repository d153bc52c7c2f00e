/** `yuccaarch agent`: Runs an agent, which passes tasks to one upstream. */

import { defineCommand } from 'citty';
import { randomUUID } from 'node:crypto';
import { agentSettingsSchema, type AgentSettings } from '../../../agent/common/agentSettings.js';
import { AgentDaemon } from '../../../agent/node/agentDaemon.js';
import { HttpWorkerPlatform } from '../../../agent/node/httpWorkerPlatform.js';
import { monotonicClock } from '../../../base/common/clock.js';
import { ControlPlaneClient } from '../../../control/node/controlPlaneClient.js';
import { reportSettingsError, runDaemon, type IDaemon } from '../../../services/daemon/node/daemon.js';
import { ConsolaLogService } from '../../../services/log/node/consolaLogService.js';
import { createMetricsService } from '../../../services/metrics/node/statsdMetricsService.js';
import type { ILogService } from '../../../services/log/common/log.js';
import { loadSettings } from '../../../services/settings/node/loadSettings.js';
import type { PeerIdentity } from '../../../services/transport/common/transport.js';

/** The command's definition. */
export const agentCommand = defineCommand({
	meta: { name: 'agent', description: 'Runs an agent, which passes tasks to one upstream.' },
	args: {
		settings: { type: 'positional', required: true, description: "The agent's settings file, in TOML." },
	},
	run: async ({ args }) => {
		let settings: AgentSettings;
		try {
			settings = loadSettings(args.settings, agentSettingsSchema);
		} catch (error) {
			reportSettingsError(error);
			return;
		}
		const log = new ConsolaLogService({ role: 'agent', instance: settings.processId }, settings.log);
		await runDaemon({
			log,
			drainTimeoutMs: settings.drainTimeoutMs,
			start: () => startAgent(settings, log),
		});
	},
});

async function startAgent(settings: AgentSettings, log: ILogService): Promise<IDaemon> {
	const identity: PeerIdentity = {
		role: 'agent',
		processId: settings.processId,
		incarnation: randomUUID(),
	};
	const { keepers, controlPath: path, dataCentre, sharedSecret: secret, maxResultBytes } = settings;
	const subscription = { keepers, path, dataCentre, isScoped: true };
	const controlPlane = new ControlPlaneClient({ ...subscription, identity, secret, log });
	const daemon = await AgentDaemon.start(settings, {
		identity,
		controlPlane,
		platform: new HttpWorkerPlatform({ maxResultBytes }, log),
		clock: monotonicClock,
		log,
		metrics: createMetricsService(settings.metrics, { role: 'agent', instance: settings.processId }),
	});
	return {
		drain: async () => {
			await daemon.drain();
			await controlPlane.leave();
		},
		dispose: () => {
			daemon.dispose();
		},
	};
}
