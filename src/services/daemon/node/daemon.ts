/** Lifecycle of a daemon process: start, drain on SIGTERM or SIGINT, exit codes and the handler of unexpected errors. */

import { describeError } from '../../../base/common/errors.js';
import { DisposableStore, type IDisposable } from '../../../base/common/disposable.js';
import type { ILogService } from '../../log/common/log.js';
import { SettingsError } from '../../settings/common/settingsError.js';

/** Exit codes of all commands. */
export const exitCodes = { ok: 0, failed: 1, badSettings: 2, killed: 3 } as const;

/** A running daemon. */
export interface IDaemon extends IDisposable {
	/** Refuses new requests, and resolves once all requests in flight have been answered. */
	drain(): Promise<void>;
}

/** Options of {@link runDaemon}. */
export interface DaemonOptions {
	readonly log: ILogService;
	/** Time after which a drain that has not ended is aborted and the process exits. */
	readonly drainTimeoutMs: number;
	/** Starts the daemon, and resolves when it is ready. */
	readonly start: () => Promise<IDaemon>;
}

/**
 * Runs a daemon until SIGTERM or SIGINT, drains it and exits the process. The exit code is 0 after a complete drain, 1
 * after a drain that timed out or an unexpected error, 2 when the daemon could not start, and 3 on a second signal.
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
	const handleUnexpectedError = (error: unknown): void => {
		const stack = error instanceof Error ? error.stack : undefined;
		log.error('process.unexpectedError', { message: describeError(error), stack });
		exit(exitCodes.failed);
	};
	process.on('uncaughtException', handleUnexpectedError);
	process.on('unhandledRejection', handleUnexpectedError);

	let daemon: IDaemon;
	try {
		daemon = store.add(await options.start());
	} catch (error) {
		log.error('process.startFailed', { message: describeError(error) });
		exit(exitCodes.badSettings);
		return;
	}

	let isDraining = false;
	const handleSignal = (signal: NodeJS.Signals): void => {
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
		}, handleUnexpectedError);
	};
	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
}

/** Prints the faults of a {@link SettingsError} and sets the exit code; rethrows any other error. */
export function reportSettingsError(error: unknown): void {
	if (!(error instanceof SettingsError)) {
		throw error;
	}
	process.stderr.write(`${error.message}\n`);
	process.exitCode = exitCodes.badSettings;
}
