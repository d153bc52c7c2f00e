/** Structured logging: one event a line, with a name and typed fields. */

/** Severity of an event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Values that belong to an event. Names carry their unit, as in `waitMs`. */
export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>;

/** Writes events of one process. */
export interface ILogService {
	/** For tracing one task or message; not shown at the default level. */
	debug(event: string, fields?: LogFields): void;
	/** For a change that an operator may want to see later, such as a new leader. */
	info(event: string, fields?: LogFields): void;
	/** For a fault that the system handles itself. */
	warn(event: string, fields?: LogFields): void;
	/** For a fault that needs an operator. */
	error(event: string, fields?: LogFields): void;
}

/** Discards every event. */
export const nullLogService: ILogService = {
	debug: () => undefined,
	info: () => undefined,
	warn: () => undefined,
	error: () => undefined,
};
