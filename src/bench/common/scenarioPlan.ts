/** What each scenario does to the workers, and what the ideal knows of it. */

import { match } from 'ts-pattern';
import type { Deployment } from './deployment.js';
import type { IdealOptions } from './idealSchedule.js';
import type { ScenarioName } from './workload.js';

/** The end of one worker: agent and upstream are killed. */
export interface WorkerKill {
	readonly workerIndex: number;
	readonly atMs: number;
}

/** What a scenario does. */
export interface ScenarioPlan {
	/** Further flags of the stand-in upstreams, by index of the worker. */
	readonly upstreamArgs: ReadonlyMap<number, readonly string[]>;
	readonly kills: readonly WorkerKill[];
	/** Index of the worker that fails or straggles; absent where none does. */
	readonly oddWorkerIndex?: number | undefined;
	/** Jobs that arrive from then on find the failing worker sound again; infinite where none recovers. */
	readonly soundFromMs: number;
	readonly ideal: IdealOptions;
}

/** Index of the worker that fails or straggles. */
const oddWorkerIndex = 2;

/** Share of the run after which the failing worker is sound again. */
const recoveryShare = 0.4;

/** Factor by which a straggling worker is slower. */
const stragglerFactor = 4;

/**
 * Plans a scenario for a deployment.
 *
 * @example
 * const plan = planScenario('worker-deaths', deployments.registro, 30_000);
 */
export function planScenario(
	scenario: ScenarioName,
	deployment: Deployment,
	durationMs: number,
): ScenarioPlan {
	const { slotsPerWorker } = deployment;
	const slots = deployment.workers * slotsPerWorker;
	const untouched: ScenarioPlan = {
		upstreamArgs: new Map(),
		kills: [],
		soundFromMs: Infinity,
		ideal: { slots, capacityChanges: [] },
	};
	// The ideal avoids a worker that fails or straggles altogether.
	const slotsWithoutOne = slots - slotsPerWorker;
	const soundFromMs = recoveryShare * durationMs;
	return match(scenario)
		.with('failing-worker', () => ({
			...untouched,
			upstreamArgs: new Map([[oddWorkerIndex, ['--fail-share', '1']]]),
			oddWorkerIndex,
			soundFromMs,
			ideal: {
				slots: slotsWithoutOne,
				capacityChanges: [{ atMs: soundFromMs, slotsLost: -slotsPerWorker }],
			},
		}))
		.with('stragglers', () => ({
			...untouched,
			upstreamArgs: new Map([
				[oddWorkerIndex, ['--slow-share', '1', '--slow-factor', String(stragglerFactor)]],
			]),
			oddWorkerIndex,
			ideal: { slots: slotsWithoutOne, capacityChanges: [] },
		}))
		.with('worker-deaths', () => {
			const kills = [0.3, 0.6].map((share, index) => ({
				workerIndex: oddWorkerIndex + index,
				atMs: share * durationMs,
			}));
			const capacityChanges = kills.map((kill) => ({ atMs: kill.atMs, slotsLost: slotsPerWorker }));
			return { ...untouched, kills, ideal: { slots, capacityChanges } };
		})
		.with('steady', 'burst', 'cancel-wave', 'wrong-declarations', 'team-flood', () => untouched)
		.exhaustive();
}
