/** Log service on consola: JSON lines, or a readable form on a terminal. */

import { createConsola, type ConsolaInstance, type ConsolaReporter, type LogObject } from 'consola';
import type { ILogService, LogFields, LogLevel } from '../common/log.js';

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
}

/** consola's numbers for levels. */
const consolaLevels: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/**
 * Writes events through consola.
 *
 * @example
 * const log = new ConsolaLogService({ role: 'entry', instance: 'entry-1' }, { level: 'info', format: 'json' });
 * log.info('pool.home.changed', { pool: 'ledger', home: 'entry-2' });
 */
export class ConsolaLogService implements ILogService {
	private readonly _consola: ConsolaInstance;
	private readonly _write: (line: string) => void;

	constructor(
		private readonly _source: LogSource,
		private readonly _options: LogOptions,
	) {
		this._write =
			_options.write ??
			((line) => {
				process.stderr.write(`${line}\n`);
			});
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
		this._consola.info(event, fields ?? {});
	}

	warn(event: string, fields?: LogFields): void {
		this._consola.warn(event, fields ?? {});
	}

	error(event: string, fields?: LogFields): void {
		this._consola.error(event, fields ?? {});
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
