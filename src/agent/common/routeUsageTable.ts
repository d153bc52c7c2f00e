/** Estimates of the resource use of tasks, by route, from measurements, since declared sizes are far off. */

import type { RouteUsage } from '../../protocol/common/agentMessages.js';
import type { TaskNeeds } from '../../protocol/common/jobs.js';
import type { TaskUsage } from './taskRecord.js';

/** Number of measured tasks of a route from which the estimate replaces the declared needs. */
const minSamples = 3;
/** Weight of a sample that is below the estimate; a sample above it replaces the estimate. */
const lowerSampleWeight = 0.1;
/** Largest number of routes that are kept; beyond it, the least recently measured route is removed. */
const maxRoutes = 1000;

/** Change of an estimate, as a share of its published value, above which it is published again. */
const publishThresholdShare = 0.1;

/** Estimated resource use of a task of one route. */
interface RouteEstimate {
	cores: number;
	memoryBytes: number;
	samples: number;
	/** Estimate that is sent to entries; undefined until there are enough samples. */
	published: TaskUsage | undefined;
	/** Version of the table at which the published estimate last changed. */
	publishedVersion: number;
}

/** Table of the estimated resource use of a task, by route. */
export class RouteUsageTable {
	private readonly _routes = new Map<string, RouteEstimate>();
	private _version = 0;

	/** Version that increases with each newly published estimate. */
	get version(): number {
		return this._version;
	}

	/** Returns the estimates that were published after a version. */
	changesSince(version: number): RouteUsage[] {
		return [...this._routes].flatMap(([route, { published, publishedVersion }]) =>
			published !== undefined && publishedVersion > version ? [{ route, ...published }] : [],
		);
	}

	/** Updates the estimate of a route with the measured use of one ended task. */
	addSample(route: string, usage: TaskUsage): void {
		const routeEstimate = this._routes.get(route) ?? createEstimate();
		routeEstimate.cores = updateEstimate(routeEstimate.cores, usage.cores);
		routeEstimate.memoryBytes = updateEstimate(routeEstimate.memoryBytes, usage.memoryBytes);
		routeEstimate.samples += 1;
		this._routes.delete(route);
		this._routes.set(route, routeEstimate);
		this._publishIfChanged(routeEstimate);
		if (this._routes.size > maxRoutes) {
			const [oldest] = this._routes.keys();
			this._routes.delete(oldest ?? '');
		}
	}

	private _publishIfChanged(routeEstimate: RouteEstimate): void {
		const { cores, memoryBytes, samples, published } = routeEstimate;
		if (samples < minSamples) {
			return;
		}
		const shouldPublish =
			published === undefined ||
			exceedsPublishThreshold(published.cores, cores) ||
			exceedsPublishThreshold(published.memoryBytes, memoryBytes);
		if (shouldPublish) {
			this._version += 1;
			routeEstimate.published = { cores, memoryBytes };
			routeEstimate.publishedVersion = this._version;
		}
	}

	/** Returns the expected use of a task: the route's estimate once it has enough samples, else the declared needs. */
	estimate(route: string, declared: TaskNeeds): TaskNeeds {
		const routeEstimate = this._routes.get(route);
		if (routeEstimate === undefined || routeEstimate.samples < minSamples) {
			return declared;
		}
		return {
			cores: routeEstimate.cores,
			memoryBytes: routeEstimate.memoryBytes,
			accelerators: declared.accelerators,
		};
	}
}

function updateEstimate(estimate: number, measured: number): number {
	return measured > estimate ? measured : estimate + (measured - estimate) * lowerSampleWeight;
}

function createEstimate(): RouteEstimate {
	return { cores: 0, memoryBytes: 0, samples: 0, published: undefined, publishedVersion: 0 };
}

function exceedsPublishThreshold(published: number, estimate: number): boolean {
	return Math.abs(estimate - published) > publishThresholdShare * published;
}
