/** Limits how often events are logged: repeated events are counted instead of written. */

import type { LogFields, LogLevel } from './log.js';

/** Limits of the events that are written. */
export interface LogRateLimits {
	/** Length of a window; within it, an event that equals an earlier one is counted instead of written. */
	readonly windowMs: number;
	/** Events with the same name and different fields that are written per window. */
	readonly maxPerName: number;
}

/** Default limits, for daemons. */
export const defaultLogRateLimits: LogRateLimits = { windowMs: 10_000, maxPerName: 100 };

/** An event, and the number of times that it was not written. */
export interface SuppressedEvent {
	readonly level: LogLevel;
	readonly event: string;
	readonly fields: LogFields;
	readonly suppressed: number;
}

interface CountedEvent {
	readonly level: LogLevel;
	readonly event: string;
	readonly fields: LogFields;
	suppressed: number;
}

/**
 * Decides which events are written. Events are equal when their levels, names and all fields are equal. Once
 * `maxPerName` different events with the same name were written in a window, further ones are counted by level and name.
 *
 * @example
 * if (limiter.admit('warn', 'entry.lost', fields)) { write(); }
 * for (const event of limiter.endWindow()) { writeCount(event); }
 */
export class LogRateLimiter {
	private readonly _eventsByKey = new Map<string, CountedEvent>();
	private readonly _writtenCountsByName = new Map<string, number>();

	constructor(private readonly _limits: LogRateLimits) {}

	/** Whether no event was logged since the window began. */
	get isEmpty(): boolean {
		return this._eventsByKey.size === 0;
	}

	/** Counts an event and returns whether it must be written. */
	admit(level: LogLevel, event: string, fields: LogFields): boolean {
		const writtenCount = this._writtenCountsByName.get(event) ?? 0;
		const isOverNameLimit = writtenCount >= this._limits.maxPerName;
		const key = isOverNameLimit ? `${level} ${event}` : `${level} ${event} ${JSON.stringify(fields)}`;
		const counted = this._eventsByKey.get(key);
		if (counted !== undefined) {
			counted.suppressed += 1;
			return false;
		}
		this._eventsByKey.set(key, {
			level,
			event,
			fields: isOverNameLimit ? {} : fields,
			suppressed: isOverNameLimit ? 1 : 0,
		});
		this._writtenCountsByName.set(event, writtenCount + 1);
		return !isOverNameLimit;
	}

	/** Ends the window and returns the events that were not written each time. */
	endWindow(): readonly SuppressedEvent[] {
		const suppressed = [...this._eventsByKey.values()].filter((event) => event.suppressed > 0);
		this._eventsByKey.clear();
		this._writtenCountsByName.clear();
		return suppressed;
	}
}
