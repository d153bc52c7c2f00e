/** Routing of a versioned deployment: which requests belong to which route, and which pool runs a route's tasks. */

/** One route: a queue of jobs behind a host and a path prefix. */
export interface JobRoute {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash; the longest one that a path begins with is the route's. */
	readonly pathPrefix: string;
	/** Pool whose workers run the route's tasks. */
	readonly pool: string;
	/** Longest time that a job of the route may take. */
	readonly timeoutMs: number;
	/** Time that a job may take beyond the stretched duration of its longest task. */
	readonly objectiveMs: number;
	/** Factor on the duration of the longest task within which a job should end. */
	readonly stretch: number;
	/** 0 comes first. */
	readonly priority: number;
	/** Failed runs of one task after which its job has failed. */
	readonly maxAttempts: number;
}

/** A pool of workers. */
export interface WorkerPool {
	readonly name: string;
	/** Whether the pool's workers refuse tasks that exceed their capacity. */
	readonly enforcesCapacity: boolean;
}

/** Bounds on what callers may send. */
export interface RequestLimits {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Time for the headers of a request to arrive. */
	readonly headerTimeoutMs: number;
	/** Time after which an idle connection is closed. */
	readonly idleTimeoutMs: number;
}

/** One version of the routing. The operator chooses the version; the highest one is in force. */
export interface RoutingDocument {
	readonly version: number;
	readonly routes: readonly JobRoute[];
	readonly pools: readonly WorkerPool[];
	readonly limits: RequestLimits;
}

/**
 * What is wrong with a document, one sentence each; empty when it can be put in force.
 *
 * @example
 * const faults = findRoutingFaults(document);
 */
export function findRoutingFaults(document: RoutingDocument): readonly string[] {
	const faults: string[] = [];
	const poolNames = new Set(document.pools.map((pool) => pool.name));
	const places = new Set<string>();
	for (const route of document.routes) {
		if (!poolNames.has(route.pool)) {
			faults.push(`The route "${route.name}" names the pool "${route.pool}", which is not declared.`);
		}
		if (!(route.timeoutMs > 0)) {
			faults.push(`The route "${route.name}" needs a timeout above 0 ms.`);
		}
		const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
		if (places.has(place)) {
			faults.push(`Two routes share the host "${route.host}" and the prefix "${route.pathPrefix}".`);
		}
		places.add(place);
	}
	return faults;
}
