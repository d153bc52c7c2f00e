/** Life of a daemon process: start, drain on SIGTERM, exit codes, and the one handler of unexpected errors. */

import { describeError } from '../../../base/common/errors.js';
import { DisposableStore, type IDisposable } from '../../../base/common/disposable.js';
import type { ILogService } from '../../log/common/log.js';
import { SettingsError } from '../../settings/common/settingsError.js';

/** Exit codes of every command. */
export const exitCodes = { ok: 0, failed: 1, badSettings: 2, killed: 3 } as const;

/** A running daemon. */
export interface IDaemon extends IDisposable {
	/** Takes nothing new, and resolves once everything in flight has been answered. */
	drain(): Promise<void>;
}

/** What a daemon is started with. */
export interface DaemonOptions {
	readonly log: ILogService;
	/** Time that a drain may take before the process gives up. */
	readonly drainTimeoutMs: number;
	/** Starts the daemon; the process is ready when it resolves. */
	readonly start: () => Promise<IDaemon>;
}

/**
 * Runs a daemon until a signal ends it, then exits the process: 0 after a whole drain, 1 after a drain that took
 * too long or an unexpected error, 2 when it could not start, 3 on a second signal.
 *
 * @example
 * await runDaemon({ log, drainTimeoutMs: 30_000, start: () => EntryDaemon.start(settings, log) });
 */
export async function runDaemon(options: DaemonOptions): Promise<void> {
	const { log } = options;
	const store = new DisposableStore();
	const exit = (code: number): void => {
		store.dispose();
		process.exit(code);
	};
	const onUnexpected = (error: unknown): void => {
		const stack = error instanceof Error ? error.stack : undefined;
		log.error('process.unexpectedError', { message: describeError(error), stack });
		exit(exitCodes.failed);
	};
	process.on('uncaughtException', onUnexpected);
	process.on('unhandledRejection', onUnexpected);

	let daemon: IDaemon;
	try {
		daemon = store.add(await options.start());
	} catch (error) {
		log.error('process.startFailed', { message: describeError(error) });
		exit(exitCodes.badSettings);
		return;
	}

	let isDraining = false;
	const onSignal = (signal: NodeJS.Signals): void => {
		if (isDraining) {
			log.warn('process.killed', { signal });
			exit(exitCodes.killed);
			return;
		}
		isDraining = true;
		log.info('process.draining', { signal });
		const timer = setTimeout(() => {
			log.error('process.drainTimedOut', { drainTimeoutMs: options.drainTimeoutMs });
			exit(exitCodes.failed);
		}, options.drainTimeoutMs);
		daemon.drain().then(() => {
			clearTimeout(timer);
			log.info('process.stopped');
			exit(exitCodes.ok);
		}, onUnexpected);
	};
	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
}

/** Reports settings that can't be used and sets the exit code; other errors are thrown on. */
export function reportSettingsError(error: unknown): void {
	if (!(error instanceof SettingsError)) {
		throw error;
	}
	process.stderr.write(`${error.message}\n`);
	process.exitCode = exitCodes.badSettings;
}
