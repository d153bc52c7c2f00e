/** Daemons of a local system, which can be killed and restarted with the same settings. */

import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { stringify } from 'smol-toml';
import { Disposable } from '../../base/common/disposable.js';
import type { FaultProxy } from './faultProxy.js';
import { LocalProcess, LocalProcessError, type ExitStatus, type LogLine } from './localProcess.js';

/** Options of a daemon. */
export interface LocalDaemonOptions {
	/** The `processId`; also names the settings file. */
	readonly name: string;
	readonly role: 'keeper' | 'entry' | 'agent' | 'upstream';
	/** Arguments after the role. */
	readonly args: readonly string[];
	readonly nodeArgs?: readonly string[];
}

/** A revision that a process logged as in force, and the wall-clock time at which it did. */
export interface RevisionInForce {
	readonly revision: number;
	readonly atMs: number;
}

/** One run of a daemon that became ready. Times are wall-clock times. */
export interface DaemonRun {
	/** Differs in each run. */
	readonly incarnation: string;
	readonly startedAtMs: number;
	readonly readyAtMs: number;
	endedAtMs: number;
	/** Revisions in force, in the order in which the process logged them. */
	readonly revisions: RevisionInForce[];
	/** Structured log lines so far. */
	readonly events: readonly LogLine[];
}

/** Runs a daemon, which can be restarted after it has ended. */
export class LocalDaemon extends Disposable {
	/** Runs that became ready, the oldest first. */
	readonly runs: DaemonRun[] = [];
	private _process: LocalProcess | undefined;
	private _readyLine: LogLine | undefined;

	constructor(private readonly _options: LocalDaemonOptions) {
		super();
	}

	/** The `processId`. */
	get name(): string {
		return this._options.name;
	}

	/** Current process, or the last one. Throws before the first start. */
	get process(): LocalProcess {
		if (this._process === undefined) {
			throw new LocalProcessError(`${this.name} has not been started.`);
		}
		return this._process;
	}

	/** Whether the process runs. */
	get isRunning(): boolean {
		return this._process?.isRunning === true;
	}

	/** Event `process.ready` of the last started process. Throws until it is ready. */
	get readyEvent(): LogLine {
		if (this._readyLine === undefined) {
			throw new LocalProcessError(`${this.name} is not ready.`);
		}
		return this._readyLine;
	}

	/** Starts or restarts the process, and waits until it is ready. */
	async start(): Promise<void> {
		const { name, role, args, nodeArgs } = this._options;
		this._readyLine = undefined;
		const startedAtMs = Date.now();
		this._process = this._register(
			LocalProcess.start({ name, args: [role, ...args], ...(nodeArgs === undefined ? {} : { nodeArgs }) }),
		);
		const revisions: RevisionInForce[] = [];
		this._process.onDidLog((line) => {
			if (line.event === 'tables.inForce') {
				revisions.push({ revision: Number(line.revision), atMs: Date.parse(line.time) });
			}
		});
		this._readyLine = await this._process.waitForReady();
		const run: DaemonRun = {
			incarnation: `${this.name}/${this._process.pid}`,
			startedAtMs,
			readyAtMs: Date.parse(this._readyLine.time),
			endedAtMs: Infinity,
			revisions,
			events: this._process.events,
		};
		this.runs.push(run);
		void this._process.exited.then(() => {
			run.endedAtMs = Math.min(run.endedAtMs, Date.now());
		});
	}

	/** Kills the process (SIGKILL) and waits until it has ended. */
	async kill(): Promise<ExitStatus> {
		this._markRunEnded();
		return this.process.kill();
	}

	/** Drains the process (SIGTERM) and waits until it has ended. */
	async stop(): Promise<ExitStatus> {
		this._markRunEnded();
		return this.process.stop();
	}

	private _markRunEnded(): void {
		const run = this.runs.at(-1);
		if (run !== undefined) {
			run.endedAtMs = Math.min(run.endedAtMs, Date.now());
		}
	}
}

/** A keeper with its addresses and data folder. */
export class LocalKeeper extends LocalDaemon {
	constructor(
		options: LocalDaemonOptions,
		/** Address for other processes; the proxy's when there is one. */
		readonly peerAddress: string,
		readonly operatorAddress: string,
		readonly dataFolder: string,
		/** Proxy behind {@link peerAddress}; undefined when none was requested. */
		readonly peerProxy: FaultProxy | undefined,
	) {
		super(options);
	}
}

/** An entry and its addresses. */
export class LocalEntry extends LocalDaemon {
	constructor(
		options: LocalDaemonOptions,
		/** Address for readers; the proxy's when there is one. */
		readonly httpAddress: string,
		/** Proxy behind {@link httpAddress}; undefined when none was requested. */
		readonly httpProxy: FaultProxy | undefined,
		/** Proxy in front of the address for agents and entries; undefined when none was requested. */
		readonly peerProxy: FaultProxy | undefined,
	) {
		super(options);
	}

	/** Base URL for readers, without a slash at the end. */
	get url(): string {
		return `http://${this.httpAddress}`;
	}
}

/** A stand-in upstream and its journal file. */
export class LocalUpstream extends LocalDaemon {
	constructor(
		options: LocalDaemonOptions,
		readonly journalFile: string,
	) {
		super(options);
	}
}

/** An agent and its upstream. */
export class LocalAgent extends LocalDaemon {
	constructor(
		options: LocalDaemonOptions,
		readonly announceAddress: string,
		readonly pool: string,
		readonly upstream: LocalUpstream,
		/** Proxy in front of {@link announceAddress}; undefined when none was requested. */
		readonly announceProxy: FaultProxy | undefined,
	) {
		super(options);
	}
}

/**
 * Writes a settings file and returns its path.
 *
 * @example
 * const file = writeSettings(folder, 'entry-1', { processId: 'entry-1', httpAddress: '127.0.0.1:0' });
 */
export function writeSettings(folder: string, name: string, settings: object): string {
	const file = path.join(folder, `${name}.toml`);
	writeFileSync(file, stringify(settings));
	return file;
}
