/** What tasks of a route were measured to use at the workers; declared sizes are far off. */

import type { RouteUsage, UpstreamOffer } from '../../protocol/common/agentMessages.js';
import type { TaskNeeds } from '../../protocol/common/jobs.js';

type MeasuredResources = Pick<TaskNeeds, 'cores' | 'memoryBytes'>;

/** One worker's estimate, and what it has in all. */
interface WorkerMeasure {
	readonly usage: MeasuredResources;
	readonly offer: MeasuredResources;
}

/**
 * Joins the workers' estimates of one route.
 *
 * @example
 * measured.note('agent-1', { route: 'terms', cores: 1, memoryBytes: 2 ** 20 }, offer);
 * measured.expected({ cores: 16, memoryBytes: 0, accelerators: 0 }).cores; // 1
 */
export class MeasuredNeeds {
	private readonly _measures = new Map<string, WorkerMeasure>();
	private _expected: MeasuredResources | undefined;

	/** Takes the estimate of one worker in place of its last one. */
	note(workerId: string, usage: RouteUsage, offer: UpstreamOffer): void {
		this._measures.set(workerId, { usage, offer });
		this._expected = join([...this._measures.values()]);
	}

	/** Forgets a worker that is gone. */
	forget(workerId: string): void {
		if (this._measures.delete(workerId)) {
			this._expected = join([...this._measures.values()]);
		}
	}

	/** What a task needs: what was measured, and what it declares where nothing was. Accelerators are not measured. */
	expected(declared: TaskNeeds): TaskNeeds {
		return this._expected === undefined
			? declared
			: { ...this._expected, accelerators: declared.accelerators };
	}
}

/**
 * The greatest use that any worker has measured. A task that ran somewhere must not look too large for any worker
 * that has run its like, so it is bounded by the smallest of these.
 */
function join(measures: readonly WorkerMeasure[]): MeasuredResources | undefined {
	if (measures.length === 0) {
		return undefined;
	}
	const bounded = (valueOf: (resources: MeasuredResources) => number): number =>
		Math.min(
			Math.max(...measures.map(({ usage }) => valueOf(usage))),
			...measures.map(({ offer }) => valueOf(offer)),
		);
	return {
		cores: bounded(({ cores }) => cores),
		memoryBytes: bounded(({ memoryBytes }) => memoryBytes),
	};
}
