/** `yuccaarch keeper`: Runs a keeper, which stores the tables and claims. */

import { randomUUID } from 'node:crypto';
import type { FileHandle } from 'node:fs/promises';
import { defineCommand } from 'citty';
import { monotonicClock } from '../../../base/common/clock.js';
import { keeperSettingsSchema, type KeeperSettings } from '../../../keeper/common/keeperSettings.js';
import { KeeperMetrics } from '../../../keeper/common/keeperMetrics.js';
import { KeeperDaemon, type OpenKeeperLog } from '../../../keeper/node/keeperDaemon.js';
import { exitCodes, reportSettingsError, runDaemon } from '../../../services/daemon/node/daemon.js';
import type { ILogService } from '../../../services/log/common/log.js';
import { ConsolaLogService } from '../../../services/log/node/consolaLogService.js';
import { createMetricsService } from '../../../services/metrics/node/statsdMetricsService.js';
import { loadSettings } from '../../../services/settings/node/loadSettings.js';
import { syncFileData } from '../../../services/storage/node/diskAccess.js';
import { defaultConnectionLimits, type PeerIdentity } from '../../../services/transport/common/transport.js';
import { ReplicatedLog } from '../../../replication/node/replicatedLog.js';

/** Timeout of a drain, which transfers the leadership and moves the subscribers to other keepers. */
const drainTimeoutMs = 10_000;

/** The command's definition. */
export const keeperCommand = defineCommand({
	meta: {
		name: 'keeper',
		description: 'Runs a keeper, which stores the tables and claims. Example: yuccaarch keeper keeper-1.toml',
	},
	args: { settings: { type: 'positional', required: true, description: "The keeper's settings file." } },
	run: async ({ args }) => {
		try {
			await runKeeper(loadSettings(args.settings, keeperSettingsSchema));
		} catch (error) {
			reportSettingsError(error);
		}
	},
});

async function runKeeper(settings: KeeperSettings): Promise<void> {
	const { processId } = settings;
	const log = new ConsolaLogService({ role: 'keeper', instance: processId }, settings.log);
	const identity: PeerIdentity = { role: 'keeper', processId, incarnation: randomUUID() };
	const metricsService = createMetricsService(settings.metrics, { role: 'keeper', instance: processId });
	const metrics = new KeeperMetrics(metricsService);
	await runDaemon({
		log,
		drainTimeoutMs,
		start: async () => {
			const keeper = await KeeperDaemon.start({
				settings,
				identity,
				logService: log,
				openLog: createLogOpener(settings, identity, log, metrics),
				metrics,
			});
			keeper.onDidStop(() => {
				// Exits the process, because data that is not synced must not be served.
				log.error('keeper.stopped', {
					remedy: 'See the previous event, fix its cause, and start the keeper again.',
				});
				process.exit(exitCodes.failed);
			});
			const { peerAddress, operatorAddress } = keeper;
			log.info('process.ready', { peerAddress, operatorAddress });
			return keeper;
		},
	});
}

function createLogOpener(
	settings: KeeperSettings,
	identity: PeerIdentity,
	log: ILogService,
	metrics: KeeperMetrics,
): OpenKeeperLog {
	return (stateMachine, boundAddress) =>
		ReplicatedLog.open({
			dataFolder: settings.dataFolder,
			processId: settings.processId,
			address: boundAddress,
			initialMembers: settings.members,
			stateMachine,
			connection: { identity, secret: settings.sharedSecret, limits: defaultConnectionLimits },
			electionTimeoutMs: settings.electionTimeoutMs,
			heartbeatIntervalMs: settings.heartbeatIntervalMs,
			clock: monotonicClock,
			log,
			random: Math.random,
			syncFile: (handle) => syncAndRecordDuration(handle, metrics),
		});
}

/** Syncs the data of a file to disk and records how long the sync took. */
async function syncAndRecordDuration(handle: FileHandle, metrics: KeeperMetrics): Promise<void> {
	const startMs = performance.now();
	await syncFileData(handle);
	metrics.recordSyncTime(performance.now() - startMs);
}
