/** A child process of a test, the demo or the bench: its log events, signals and end. */

import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { Deferred } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';

/** Compiled entry point of the program; every role is one of its subcommands. */
export const mainFile = fileURLToPath(new URL('../../code/node/main.js', import.meta.url));

const exitWithParentModule = new URL('./exitWithParent.js', import.meta.url).href;

/** Lines of other output that are kept for error messages. */
const maxKeptTextLines = 200;

/** Log events of a process that are kept; the oldest are dropped first. */
const maxKeptEvents = 10_000;

/** Time for a process to say that it is ready, on a machine that is busy with other tests. */
const defaultReadyTimeoutMs = 20_000;

/** Time for a process to end after a signal. */
const defaultStopTimeoutMs = 35_000;

/** One structured log line of a child. */
export interface LogLine {
	readonly event: string;
	readonly level: string;
	/** ISO 8601 time of the event. */
	readonly time: string;
	readonly [field: string]: unknown;
}

/** How a process ended: by its own code or by a signal. */
export interface ExitStatus {
	readonly code: number | null;
	readonly signal: NodeJS.Signals | null;
}

/** What a child is started with. */
export interface LocalProcessOptions {
	/** Name in error messages, such as `entry-1`. */
	readonly name: string;
	/** Arguments after the program, such as `['entry', 'entry-1.toml']`. */
	readonly args: readonly string[];
	/** Compiled program; the project's own by default. */
	readonly programFile?: string;
	/** Flags of Node.js itself, such as `--max-old-space-size=96`. */
	readonly nodeArgs?: readonly string[];
	/** Variables added to this process's own environment. */
	readonly env?: Readonly<Record<string, string>>;
}

/** Fails a test with what the child wrote. */
export class LocalProcessError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'LocalProcessError';
	}
}

/**
 * Runs one Node.js child. It is killed by {@link dispose}, and also when this process ends in any way
 * (a child that is paused at that moment is the exception; resume it first).
 *
 * @example
 * const entry = store.add(LocalProcess.start({ name: 'entry-1', args: ['entry', settingsFile] }));
 * const ready = await entry.waitForReady();
 * const exit = await entry.stop(); // { code: 0, signal: null }
 */
export class LocalProcess extends Disposable {
	private readonly _onDidLog = this._register(new Emitter<LogLine>());
	/** Fires for each structured log line. */
	readonly onDidLog = this._onDidLog.event;

	private readonly _exited = new Deferred<ExitStatus>();
	/** Resolves once the process has ended and its output was read. */
	readonly exited = this._exited.promise;

	private readonly _events: LogLine[] = [];
	private readonly _errorText: string[] = [];
	private readonly _outputLines: string[] = [];
	private _exitStatus: ExitStatus | undefined;

	private constructor(
		/** Name in error messages. */
		readonly name: string,
		private readonly _child: ChildProcess,
	) {
		super();
		this._readLines();
		_child.on('error', (error) => {
			this._errorText.push(error.message);
		});
		_child.on('close', (code, signal) => {
			this._exitStatus = { code, signal };
			this._exited.resolve(this._exitStatus);
		});
		this._register(
			toDisposable(() => {
				this.signal('SIGKILL');
			}),
		);
	}

	/** Starts a child. It may end at once; {@link waitForReady} tells why. */
	static start(options: LocalProcessOptions): LocalProcess {
		const program = options.programFile ?? mainFile;
		const nodeArgs = ['--import', exitWithParentModule, ...(options.nodeArgs ?? [])];
		const child = spawn(process.execPath, [...nodeArgs, program, ...options.args], {
			stdio: ['pipe', 'pipe', 'pipe'],
			env: { ...process.env, ...options.env },
		});
		return new LocalProcess(options.name, child);
	}

	/** Process id; 0 when the process could not be started. */
	get pid(): number {
		return this._child.pid ?? 0;
	}

	/** Whether the process has not ended yet. */
	get isRunning(): boolean {
		return this._exitStatus === undefined;
	}

	/** How the process ended; undefined while it runs. */
	get exitStatus(): ExitStatus | undefined {
		return this._exitStatus;
	}

	/** Structured log lines so far, the oldest first. */
	get events(): readonly LogLine[] {
		return this._events;
	}

	/** Lines of standard output so far. */
	get outputLines(): readonly string[] {
		return this._outputLines;
	}

	/** What the process wrote to standard error beside structured lines, for error messages. */
	get errorText(): string {
		return this._errorText.join('\n');
	}

	/** Sends a signal; does nothing when the process has ended. */
	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this._child.kill(signal);
		}
	}

	/** Stops the process where it is (SIGSTOP), as a frozen machine does. */
	pause(): void {
		this.signal('SIGSTOP');
	}

	/** Lets a paused process go on. */
	resume(): void {
		this.signal('SIGCONT');
	}

	/** Kills the process without warning and waits for its end. */
	async kill(): Promise<ExitStatus> {
		this.signal('SIGKILL');
		return this.exited;
	}

	/**
	 * Asks the process to drain (SIGTERM) and waits for its end.
	 *
	 * @throws LocalProcessError when it is still there after the time
	 */
	async stop(timeoutMs = defaultStopTimeoutMs): Promise<ExitStatus> {
		this.signal('SIGTERM');
		return this.waitForExit(timeoutMs);
	}

	/**
	 * Waits for the end of the process.
	 *
	 * @throws LocalProcessError when it is still there after the time
	 */
	async waitForExit(timeoutMs = defaultStopTimeoutMs): Promise<ExitStatus> {
		const timedOut = new Deferred<undefined>();
		const timer = setTimeout(() => {
			timedOut.resolve(undefined);
		}, timeoutMs);
		const status = await Promise.race([this.exited, timedOut.promise]);
		clearTimeout(timer);
		if (status === undefined) {
			throw new LocalProcessError(`${this.name} did not end within ${timeoutMs} ms. ${this._describe()}`);
		}
		return status;
	}

	/** Waits for the event `process.ready` and returns it with the bound addresses. */
	async waitForReady(timeoutMs = defaultReadyTimeoutMs): Promise<LogLine> {
		return this.waitForEvent('process.ready', timeoutMs);
	}

	/**
	 * Returns the first event of a name, from those so far or those to come, that meets a condition.
	 *
	 * @throws LocalProcessError when the process ends first, or the time runs out
	 * @example
	 * await agent.waitForEvent('upstream.announced', 5000, (line) => line['pool'] === 'ledger');
	 */
	async waitForEvent(
		event: string,
		timeoutMs: number,
		condition: (line: LogLine) => boolean = () => true,
	): Promise<LogLine> {
		const matches = (line: LogLine): boolean => line.event === event && condition(line);
		const known = this._events.find(matches);
		if (known !== undefined) {
			return known;
		}
		const found = new Deferred<LogLine | undefined>();
		const subscription = this.onDidLog((line) => {
			if (matches(line)) {
				found.resolve(line);
			}
		});
		const timer = setTimeout(() => {
			found.resolve(undefined);
		}, timeoutMs);
		const line = await Promise.race([found.promise, this.exited.then(() => undefined)]);
		clearTimeout(timer);
		subscription.dispose();
		if (line === undefined) {
			throw new LocalProcessError(`${this.name} did not log "${event}". ${this._describe()}`);
		}
		return line;
	}

	private _describe(): string {
		const state = this.isRunning ? 'It still runs.' : `It ended: ${JSON.stringify(this._exitStatus)}.`;
		const events = this._events.slice(-20).map((line) => JSON.stringify(line));
		return [state, 'Its last output:', ...events, this.errorText].join('\n');
	}

	private _readLines(): void {
		const { stdout, stderr } = this._child;
		if (stdout !== null) {
			createInterface({ input: stdout }).on('line', (line) => {
				this._outputLines.push(line);
			});
		}
		if (stderr !== null) {
			createInterface({ input: stderr }).on('line', (line) => {
				this._readErrorLine(line);
			});
		}
		this._child.stdin?.on('error', () => undefined);
	}

	private _readErrorLine(text: string): void {
		const line = parseLogLine(text);
		if (line === undefined) {
			this._errorText.push(text);
			this._errorText.splice(0, this._errorText.length - maxKeptTextLines);
			return;
		}
		this._events.push(line);
		if (this._events.length > maxKeptEvents) {
			this._events.shift();
		}
		this._onDidLog.fire(line);
	}
}

function parseLogLine(text: string): LogLine | undefined {
	if (!text.startsWith('{')) {
		return undefined;
	}
	try {
		const value = JSON.parse(text) as Partial<LogLine>;
		return typeof value.event === 'string' ? (value as LogLine) : undefined;
	} catch {
		return undefined;
	}
}
