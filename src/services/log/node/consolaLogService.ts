/** Log service on consola: writes JSON lines, or text for a terminal, and limits the rate of repeated events. */

import { createConsola, type ConsolaInstance, type ConsolaReporter, type LogObject } from 'consola/core';
import type { ILogService, LogFields, LogLevel } from '../common/log.js';
import { LogRateLimiter, defaultLogRateLimits, type LogRateLimits } from '../common/logRateLimiter.js';

/** Identifies the process in each line. */
export interface LogSource {
	readonly role: string;
	readonly instance: string;
}

/** Options of a log. */
export interface LogOptions {
	readonly level: LogLevel;
	readonly format: 'json' | 'text';
	/** Writes a line, given without its line break; by default to standard error, apart from a command's output. */
	readonly writeLine?: (line: string) => void;
	/** Limits beyond which events are counted instead of written. */
	readonly rateLimits?: LogRateLimits;
}

/** Numeric log levels of consola. */
const consolaLevels: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/**
 * Writes events through consola. An event that equals an earlier one of the same window is counted instead of written;
 * when the window ends, it is written once more with the count as `suppressed`. Events of level `debug` are written
 * without a limit.
 *
 * @example
 * const log = new ConsolaLogService({ role: 'entry', instance: 'entry-1' }, { level: 'info', format: 'json' });
 * log.info('pool.home.changed', { pool: 'ledger', home: 'entry-2' });
 */
export class ConsolaLogService implements ILogService {
	private readonly _consola: ConsolaInstance;
	private readonly _writeLine: (line: string) => void;
	private readonly _rateLimits: LogRateLimits;
	private readonly _rateLimiter: LogRateLimiter;
	private _windowTimer: NodeJS.Timeout | undefined;

	constructor(
		private readonly _source: LogSource,
		private readonly _options: LogOptions,
	) {
		this._writeLine =
			_options.writeLine ??
			((line) => {
				process.stderr.write(`${line}\n`);
			});
		this._rateLimits = _options.rateLimits ?? defaultLogRateLimits;
		this._rateLimiter = new LogRateLimiter(this._rateLimits);
		const reporter: ConsolaReporter = {
			log: (entry) => {
				this._writeEntry(entry);
			},
		};
		this._consola = createConsola({
			level: consolaLevels[_options.level],
			reporters: [reporter],
			throttle: 0,
		});
	}

	debug(event: string, fields?: LogFields): void {
		this._consola.debug(event, fields ?? {});
	}

	info(event: string, fields?: LogFields): void {
		this._logRateLimited('info', event, fields ?? {});
	}

	warn(event: string, fields?: LogFields): void {
		this._logRateLimited('warn', event, fields ?? {});
	}

	error(event: string, fields?: LogFields): void {
		this._logRateLimited('error', event, fields ?? {});
	}

	private _logRateLimited(level: Exclude<LogLevel, 'debug'>, event: string, fields: LogFields): void {
		const isLevelEnabled = consolaLevels[level] <= consolaLevels[this._options.level];
		if (isLevelEnabled && this._rateLimiter.admit(level, event, fields)) {
			this._consola[level](event, fields);
		}
		if (isLevelEnabled) {
			this._scheduleWindowEnd();
		}
	}

	private _scheduleWindowEnd(): void {
		if (this._windowTimer !== undefined) {
			return;
		}
		this._windowTimer = setTimeout(() => {
			this._windowTimer = undefined;
			this._writeSuppressedEvents();
		}, this._rateLimits.windowMs);
		// The timer must not keep a process alive that has nothing else to do.
		this._windowTimer.unref();
	}

	private _writeSuppressedEvents(): void {
		const { windowMs } = this._rateLimits;
		for (const { level, event, fields, suppressed } of this._rateLimiter.endWindow()) {
			this._consola[level](event, { ...fields, suppressed, windowMs });
		}
	}

	private _writeEntry(entry: LogObject): void {
		const [event, fields] = entry.args as [string, LogFields];
		if (this._options.format === 'text') {
			this._writeLine(
				`${entry.type.padEnd(5)} ${this._source.role}/${this._source.instance} ${event}${formatFields(fields)}`,
			);
			return;
		}
		this._writeLine(
			JSON.stringify({
				time: entry.date.toISOString(),
				level: entry.type,
				...this._source,
				event,
				...fields,
			}),
		);
	}
}

function formatFields(fields: LogFields): string {
	return Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => ` ${name}=${JSON.stringify(value)}`)
		.join('');
}
