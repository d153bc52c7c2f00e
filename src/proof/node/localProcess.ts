/** Runs a child process of a test, the demo or the bench, and gives access to its log, signals and exit status. */

import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { Deferred } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';

/** Compiled main module of the program; every role is one of its subcommands. */
export const mainFile = fileURLToPath(new URL('../../code/node/main.js', import.meta.url));

const exitWithParentModule = new URL('./exitWithParent.js', import.meta.url).href;

/** Unstructured lines of standard error that are kept for error messages. */
const maxErrorLines = 200;

/** Log events of a process that are kept; the oldest are dropped first. */
const maxEvents = 10_000;

/** Timeout for a process to become ready, on a machine that is busy with other tests. */
const defaultReadyTimeoutMs = 20_000;

/** Timeout for a process to end after a signal. */
const defaultStopTimeoutMs = 35_000;

/** One structured log line of a child. */
export interface LogLine {
	readonly event: string;
	readonly level: string;
	/** ISO 8601 time of the event. */
	readonly time: string;
	readonly [field: string]: unknown;
}

/** Exit code of a process, or the signal that ended it. */
export interface ExitStatus {
	readonly code: number | null;
	readonly signal: NodeJS.Signals | null;
}

/** Options of a child process. */
export interface LocalProcessOptions {
	/** Name in error messages, such as `entry-1`. */
	readonly name: string;
	/** Arguments after the program, such as `['entry', 'entry-1.toml']`. */
	readonly args: readonly string[];
	/** Compiled program; the project's own by default. */
	readonly programFile?: string;
	/** Flags of Node.js itself, such as `--max-old-space-size=96`. */
	readonly nodeArgs?: readonly string[];
	/** Environment variables added to those of this process. */
	readonly env?: Readonly<Record<string, string>>;
}

/** Reports that a child process failed, with its last output. */
export class LocalProcessError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'LocalProcessError';
	}
}

/**
 * Runs one Node.js child process. It is killed by {@link dispose}, and when this process ends in any way, unless it
 * is paused at that moment; resume it first.
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
	/** Resolves once the process has ended and its output has been read. */
	readonly exited = this._exited.promise;

	private readonly _events: LogLine[] = [];
	private readonly _errorLines: string[] = [];
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
			this._errorLines.push(error.message);
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

	/** Starts a child process. When it ends at once, {@link waitForReady} rejects with its output. */
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

	/** Whether the process has not yet ended. */
	get isRunning(): boolean {
		return this._exitStatus === undefined;
	}

	/** Exit status; undefined while the process runs. */
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

	/** Last unstructured lines of standard error, for error messages. */
	get errorText(): string {
		return this._errorLines.join('\n');
	}

	/** Sends a signal; does nothing once the process has ended. */
	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this._child.kill(signal);
		}
	}

	/** Suspends the process (SIGSTOP), to simulate a frozen machine. */
	pause(): void {
		this.signal('SIGSTOP');
	}

	/** Resumes a paused process (SIGCONT). */
	resume(): void {
		this.signal('SIGCONT');
	}

	/** Kills the process (SIGKILL) and waits until it has ended. */
	async kill(): Promise<ExitStatus> {
		this.signal('SIGKILL');
		return this.exited;
	}

	/**
	 * Asks the process to drain (SIGTERM) and waits until it has ended.
	 *
	 * @throws LocalProcessError when it still runs after the timeout
	 */
	async stop(timeoutMs = defaultStopTimeoutMs): Promise<ExitStatus> {
		this.signal('SIGTERM');
		return this.waitForExit(timeoutMs);
	}

	/**
	 * Waits until the process has ended.
	 *
	 * @throws LocalProcessError when it still runs after the timeout
	 */
	async waitForExit(timeoutMs = defaultStopTimeoutMs): Promise<ExitStatus> {
		const timedOut = new Deferred<undefined>();
		const timer = setTimeout(() => {
			timedOut.resolve(undefined);
		}, timeoutMs);
		const status = await Promise.race([this.exited, timedOut.promise]);
		clearTimeout(timer);
		if (status === undefined) {
			throw new LocalProcessError(
				`${this.name} did not end within ${timeoutMs} ms. ${this._describeState()}`,
			);
		}
		return status;
	}

	/** Waits for the event `process.ready` and returns it; its fields hold the bound addresses. */
	async waitForReady(timeoutMs = defaultReadyTimeoutMs): Promise<LogLine> {
		return this.waitForEvent('process.ready', timeoutMs);
	}

	/**
	 * Returns the first past or future event with a name that meets a condition.
	 *
	 * @throws LocalProcessError when the process ends first, or after the timeout
	 * @example
	 * await agent.waitForEvent('upstream.announced', 5000, (line) => line['pool'] === 'ledger');
	 */
	async waitForEvent(
		event: string,
		timeoutMs: number,
		condition: (line: LogLine) => boolean = () => true,
	): Promise<LogLine> {
		const matches = (line: LogLine): boolean => line.event === event && condition(line);
		const earlierLine = this._events.find(matches);
		if (earlierLine !== undefined) {
			return earlierLine;
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
			throw new LocalProcessError(`${this.name} did not log "${event}". ${this._describeState()}`);
		}
		return line;
	}

	private _describeState(): string {
		const state = this.isRunning ? 'It still runs.' : `It ended: ${JSON.stringify(this._exitStatus)}.`;
		const events = this._events.slice(-20).map((line) => JSON.stringify(line));
		return [state, 'Its last output:', ...events, this.errorText].join('\n');
	}

	private _readLines(): void {
		const { stdout, stderr } = this._child;
		if (stdout !== null) {
			createInterface({ input: stdout }).on('line', (line) => {
				this._outputLines.push(line);
				this._readEvent(line);
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
		if (!this._readEvent(text)) {
			this._errorLines.push(text);
			this._errorLines.splice(0, this._errorLines.length - maxErrorLines);
		}
	}

	/** Returns whether the text was a structured log line. */
	private _readEvent(text: string): boolean {
		const line = parseLogLine(text);
		if (line === undefined) {
			return false;
		}
		this._events.push(line);
		if (this._events.length > maxEvents) {
			this._events.shift();
		}
		this._onDidLog.fire(line);
		return true;
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
