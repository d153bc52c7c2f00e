/** Log service on consola: JSON lines, or a readable form on a terminal. Storms of equal events are counted. */

import { createConsola, type ConsolaInstance, type ConsolaReporter, type LogObject } from 'consola/core';
import type { ILogService, LogFields, LogLevel } from '../common/log.js';
import { StormCounter, defaultStormLimits, type StormLimits } from '../common/stormCounter.js';

/** What each line says about its process. */
export interface LogSource {
	readonly role: string;
	readonly instance: string;
}

/** How a log is written. */
export interface LogOptions {
	readonly level: LogLevel;
	readonly format: 'json' | 'text';
	/** Takes a line without its end; standard error by default, so that a command's output stays clean. */
	readonly write?: (line: string) => void;
	/** When equal events are counted and not written. */
	readonly storm?: StormLimits;
}

/** consola's numbers for levels. */
const consolaLevels: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/**
 * Writes events through consola. An event that equals one of the last seconds is counted; when the window ends, it is
 * written once more with the count as `suppressed`. Events of level `debug` are never counted.
 *
 * @example
 * const log = new ConsolaLogService({ role: 'entry', instance: 'entry-1' }, { level: 'info', format: 'json' });
 * log.info('pool.home.changed', { pool: 'ledger', home: 'entry-2' });
 */
export class ConsolaLogService implements ILogService {
	private readonly _consola: ConsolaInstance;
	private readonly _write: (line: string) => void;
	private readonly _stormLimits: StormLimits;
	private readonly _storms: StormCounter;
	private _windowTimer: NodeJS.Timeout | undefined;

	constructor(
		private readonly _source: LogSource,
		private readonly _options: LogOptions,
	) {
		this._write =
			_options.write ??
			((line) => {
				process.stderr.write(`${line}\n`);
			});
		this._stormLimits = _options.storm ?? defaultStormLimits;
		this._storms = new StormCounter(this._stormLimits);
		const reporter: ConsolaReporter = {
			log: (entry) => {
				this._report(entry);
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
		this._logOnce('info', event, fields ?? {});
	}

	warn(event: string, fields?: LogFields): void {
		this._logOnce('warn', event, fields ?? {});
	}

	error(event: string, fields?: LogFields): void {
		this._logOnce('error', event, fields ?? {});
	}

	private _logOnce(level: Exclude<LogLevel, 'debug'>, event: string, fields: LogFields): void {
		const isWanted = consolaLevels[level] <= consolaLevels[this._options.level];
		if (isWanted && this._storms.take(level, event, fields)) {
			this._consola[level](event, fields);
		}
		if (isWanted) {
			this._endWindowLater();
		}
	}

	private _endWindowLater(): void {
		if (this._windowTimer !== undefined) {
			return;
		}
		this._windowTimer = setTimeout(() => {
			this._windowTimer = undefined;
			this._endWindow();
		}, this._stormLimits.windowMs);
		// A process that has nothing else to do must not wait for its log.
		this._windowTimer.unref();
	}

	private _endWindow(): void {
		const { windowMs } = this._stormLimits;
		for (const { level, event, fields, suppressed } of this._storms.endWindow()) {
			this._consola[level](event, { ...fields, suppressed, windowMs });
		}
	}

	private _report(entry: LogObject): void {
		const [event, fields] = entry.args as [string, LogFields];
		if (this._options.format === 'text') {
			this._write(
				`${entry.type.padEnd(5)} ${this._source.role}/${this._source.instance} ${event}${toText(fields)}`,
			);
			return;
		}
		this._write(
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

function toText(fields: LogFields): string {
	return Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => ` ${name}=${JSON.stringify(value)}`)
		.join('');
}
