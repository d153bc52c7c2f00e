/** Counts equal events, so that a storm of them is reported and not repeated. */

import type { LogFields, LogLevel } from './log.js';

/** Bounds of what is written. */
export interface StormLimits {
	/** Time within which an equal event is counted and not written again. */
	readonly windowMs: number;
	/** Events of one name with different fields that are written within a window. */
	readonly maxPerName: number;
}

/** Limits that suit a daemon. */
export const defaultStormLimits: StormLimits = { windowMs: 10_000, maxPerName: 100 };

/** An event that was counted, and how often it was not written. */
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
 * Decides which events are written. Events are equal when level, name and all fields are. Past a number of different
 * events of one name within a window, further ones are counted under the name alone.
 *
 * @example
 * if (counter.take('warn', 'entry.lost', fields)) { write(); }
 * for (const event of counter.endWindow()) { writeCount(event); }
 */
export class StormCounter {
	private readonly _events = new Map<string, CountedEvent>();
	private readonly _namesSeen = new Map<string, number>();

	constructor(private readonly _limits: StormLimits) {}

	/** Whether anything was counted since the window began. */
	get isEmpty(): boolean {
		return this._events.size === 0;
	}

	/** Counts an event; returns whether it is to be written. */
	take(level: LogLevel, event: string, fields: LogFields): boolean {
		const seen = this._namesSeen.get(event) ?? 0;
		const isStorm = seen >= this._limits.maxPerName;
		const key = isStorm ? `${level} ${event}` : `${level} ${event} ${JSON.stringify(fields)}`;
		const known = this._events.get(key);
		if (known !== undefined) {
			known.suppressed += 1;
			return false;
		}
		this._events.set(key, { level, event, fields: isStorm ? {} : fields, suppressed: isStorm ? 1 : 0 });
		this._namesSeen.set(event, seen + 1);
		return !isStorm;
	}

	/** Ends the window; returns what was counted and not written. */
	endWindow(): readonly SuppressedEvent[] {
		const suppressed = [...this._events.values()].filter((event) => event.suppressed > 0);
		this._events.clear();
		this._namesSeen.clear();
		return suppressed;
	}
}
