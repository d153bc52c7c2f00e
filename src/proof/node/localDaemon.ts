/** One daemon of a local system, which can be killed and started again with the same settings. */

import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { stringify } from 'smol-toml';
import { Disposable } from '../../base/common/disposable.js';
import type { FaultProxy } from './faultProxy.js';
import { LocalProcess, LocalProcessError, type ExitStatus, type LogLine } from './localProcess.js';

/** What a daemon is started with. */
export interface LocalDaemonOptions {
	/** The `processId`; also names the settings file. */
	readonly name: string;
	readonly role: 'keeper' | 'entry' | 'agent' | 'upstream';
	/** Arguments after the role. */
	readonly args: readonly string[];
	readonly nodeArgs?: readonly string[];
}

/** A revision that a process said it works with from a time on. Times are of the wall clock. */
export interface RevisionInForce {
	readonly revision: number;
	readonly atMs: number;
}

/** One run of a daemon, from its readiness to its end or the signal that ended it. */
export interface DaemonRun {
	/** Differs in each run. */
	readonly incarnation: string;
	readonly startedAtMs: number;
	readonly readyAtMs: number;
	endedAtMs: number;
	/** In the order in which the process said so. */
	readonly revisions: RevisionInForce[];
	/** Its log so far. */
	readonly events: readonly LogLine[];
}

/** One daemon and, after it was killed, its successors. */
export class LocalDaemon extends Disposable {
	/** Runs that got ready, the oldest first. */
	readonly runs: DaemonRun[] = [];
	private _process: LocalProcess | undefined;
	private _ready: LogLine | undefined;

	constructor(private readonly _options: LocalDaemonOptions) {
		super();
	}

	/** The `processId`. */
	get name(): string {
		return this._options.name;
	}

	/** The process that runs now, or the last one. */
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

	/** The event `process.ready` of the process that runs now. */
	get ready(): LogLine {
		if (this._ready === undefined) {
			throw new LocalProcessError(`${this.name} is not ready.`);
		}
		return this._ready;
	}

	/** Starts the process, also after it has ended, and waits until it is ready. */
	async start(): Promise<void> {
		const { name, role, args, nodeArgs } = this._options;
		this._ready = undefined;
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
		this._ready = await this._process.waitForReady();
		const run: DaemonRun = {
			incarnation: `${this.name}/${this._process.pid}`,
			startedAtMs,
			readyAtMs: Date.parse(this._ready.time),
			endedAtMs: Infinity,
			revisions,
			events: this._process.events,
		};
		this.runs.push(run);
		void this._process.exited.then(() => {
			run.endedAtMs = Math.min(run.endedAtMs, Date.now());
		});
	}

	/** Kills the process without warning. */
	async kill(): Promise<ExitStatus> {
		this._endRun();
		return this.process.kill();
	}

	/** Drains the process by SIGTERM. */
	async stop(): Promise<ExitStatus> {
		this._endRun();
		return this.process.stop();
	}

	private _endRun(): void {
		const run = this.runs.at(-1);
		if (run !== undefined) {
			run.endedAtMs = Math.min(run.endedAtMs, Date.now());
		}
	}
}

/** A keeper, its addresses and its data folder. */
export class LocalKeeper extends LocalDaemon {
	constructor(
		options: LocalDaemonOptions,
		/** Where other processes connect; the proxy's address when there is one. */
		readonly peerAddress: string,
		readonly operatorAddress: string,
		readonly dataFolder: string,
		/** Stands before {@link peerAddress} when the system was asked for proxies. */
		readonly peerProxy: FaultProxy | undefined,
	) {
		super(options);
	}
}

/** An entry and its addresses. */
export class LocalEntry extends LocalDaemon {
	constructor(
		options: LocalDaemonOptions,
		/** Where readers connect; the proxy's address when there is one. */
		readonly httpAddress: string,
		/** Stands before the readers' address when the system was asked for proxies. */
		readonly httpProxy: FaultProxy | undefined,
		/** Stands before the address for agents and entries when the system was asked for proxies. */
		readonly peerProxy: FaultProxy | undefined,
	) {
		super(options);
	}

	/** Base URL for readers, without a slash at the end. */
	get url(): string {
		return `http://${this.httpAddress}`;
	}
}

/** A stand-in upstream and the journal of the starts that it saw. */
export class LocalUpstream extends LocalDaemon {
	constructor(
		options: LocalDaemonOptions,
		readonly journalFile: string,
	) {
		super(options);
	}
}

/** An agent and the upstream beside it. */
export class LocalAgent extends LocalDaemon {
	constructor(
		options: LocalDaemonOptions,
		readonly announceAddress: string,
		readonly pool: string,
		readonly upstream: LocalUpstream,
		/** Stands before {@link announceAddress} when the system was asked for proxies. */
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
