/** Versioned routing document: assigns requests to routes, and routes to the worker pools that run their tasks. */

/** A queue of jobs that is addressed by a host and a path prefix. */
export interface JobRoute {
	readonly name: string;
	readonly host: string;
	/** Path prefix that begins and ends with a slash. The longest prefix that matches a path determines the route. */
	readonly pathPrefix: string;
	/** Pool whose workers run the route's tasks. */
	readonly pool: string;
	/** Maximum duration of a job. */
	readonly timeoutMs: number;
	/** Time that is added to the stretched duration of the longest task to get the target duration of a job. */
	readonly objectiveMs: number;
	/** Factor by which the duration of the longest task is multiplied in the target duration of a job. */
	readonly stretch: number;
	/** Priority of the route's jobs; 0 is the highest. */
	readonly priority: number;
	/** Number of failed runs of one task after which its job fails. */
	readonly maxAttempts: number;
}

/** A pool of workers. */
export interface WorkerPool {
	readonly name: string;
	/** Whether the pool's workers refuse tasks that exceed their capacity. */
	readonly enforcesCapacity: boolean;
}

/** Limits for requests of callers. */
export interface RequestLimits {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Time within which the headers of a request must arrive. */
	readonly headerTimeoutMs: number;
	/** Time after which an idle connection is closed. */
	readonly idleTimeoutMs: number;
}

/** One version of the routing. The operator chooses the version number; the highest one is in force. */
export interface RoutingDocument {
	readonly version: number;
	readonly routes: readonly JobRoute[];
	readonly pools: readonly WorkerPool[];
	readonly limits: RequestLimits;
}

/**
 * Validates a document. Returns one sentence for each error; empty when the document can be put in force.
 *
 * @example
 * const errors = validateRoutingDocument(document);
 */
export function validateRoutingDocument(document: RoutingDocument): readonly string[] {
	const errors: string[] = [];
	const poolNames = new Set(document.pools.map((pool) => pool.name));
	const seenPrefixKeys = new Set<string>();
	for (const route of document.routes) {
		if (!poolNames.has(route.pool)) {
			errors.push(`The route "${route.name}" names the pool "${route.pool}", which is not declared.`);
		}
		if (!(route.timeoutMs > 0)) {
			errors.push(`The route "${route.name}" needs a timeout above 0 ms.`);
		}
		const prefixKey = `${route.host.toLowerCase()} ${route.pathPrefix}`;
		if (seenPrefixKeys.has(prefixKey)) {
			errors.push(`Two routes share the host "${route.host}" and the prefix "${route.pathPrefix}".`);
		}
		seenPrefixKeys.add(prefixKey);
	}
	return errors;
}
