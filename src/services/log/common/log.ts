/** Structured logging: one event per line, with a name and typed fields. */

/** Severity of an event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of an event. Names of quantities end with the unit, as in `waitMs`. */
export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>;

/** Logs the events of one process. */
export interface ILogService {
	/** Logs details of a single task or message; hidden at the default level. */
	debug(event: string, fields?: LogFields): void;
	/** Logs a change that an operator may want to look up later, such as a new leader. */
	info(event: string, fields?: LogFields): void;
	/** Logs a fault that the system handles itself. */
	warn(event: string, fields?: LogFields): void;
	/** Logs a fault that an operator must handle. */
	error(event: string, fields?: LogFields): void;
}

/** Discards every event. */
export const nullLogService: ILogService = {
	debug: () => undefined,
	info: () => undefined,
	warn: () => undefined,
	error: () => undefined,
};
