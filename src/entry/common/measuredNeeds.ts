/** Resource usage of a route's tasks as measured at the workers. It replaces the declared needs, which are far off. */

import type { RouteUsage, UpstreamOffer } from '../../protocol/common/agentMessages.js';
import type { TaskNeeds } from '../../protocol/common/jobs.js';

type MeasuredResources = Pick<TaskNeeds, 'cores' | 'memoryBytes'>;

/** One worker's estimate of a task's usage, and the worker's total resources. */
interface WorkerEstimate {
	readonly usage: MeasuredResources;
	readonly offer: MeasuredResources;
}

/**
 * Combines the workers' estimates for one route.
 *
 * @example
 * // After a worker has reported that the route's tasks use 1 core:
 * measured.expectedNeeds({ cores: 16, memoryBytes: 0, accelerators: 0 }).cores; // 1
 */
export class MeasuredNeeds {
	private readonly _estimates = new Map<string, WorkerEstimate>();
	private _expected: MeasuredResources | undefined;

	/** Replaces the estimate of one worker. */
	update(workerId: string, usage: RouteUsage, offer: UpstreamOffer): void {
		this._estimates.set(workerId, { usage, offer });
		this._expected = combineEstimates([...this._estimates.values()]);
	}

	/** Removes the estimate of a worker that is gone. */
	remove(workerId: string): void {
		if (this._estimates.delete(workerId)) {
			this._expected = combineEstimates([...this._estimates.values()]);
		}
	}

	/** Returns a task's measured needs, or the declared ones if there is no estimate. Accelerators aren't measured. */
	expectedNeeds(declared: TaskNeeds): TaskNeeds {
		return this._expected === undefined
			? declared
			: { ...this._expected, accelerators: declared.accelerators };
	}
}

/**
 * Returns the highest usage that any worker has measured, limited to the resources of the smallest worker that has
 * measured the route. Otherwise a task could seem too large for a worker that has already run tasks of its route.
 */
function combineEstimates(estimates: readonly WorkerEstimate[]): MeasuredResources | undefined {
	if (estimates.length === 0) {
		return undefined;
	}
	const boundedMaximum = (selectResource: (resources: MeasuredResources) => number): number =>
		Math.min(
			Math.max(...estimates.map(({ usage }) => selectResource(usage))),
			...estimates.map(({ offer }) => selectResource(offer)),
		);
	return {
		cores: boundedMaximum(({ cores }) => cores),
		memoryBytes: boundedMaximum(({ memoryBytes }) => memoryBytes),
	};
}
