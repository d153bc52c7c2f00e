/** The tables that every run of the bench applies. */

import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { stringify } from 'smol-toml';
import { LocalProcess } from '../../proof/node/localProcess.js';
import { localOperatorToken, LocalSystem, type LocalSystemOptions } from '../../proof/node/localSystem.js';

/** Pool of the bench's upstreams. */
export const benchPool = 'bench';

/** Route of the bench's jobs. */
export const benchRoute = 'bench-route';

/** Deadline of the bench's jobs; long, so that slowness is measured and not refused. */
export const benchDeadlineMs = 120_000;

/** Limits that never bind: the bench measures placing, not refusing. */
const unboundTasks = 100_000;
const teamNames = ['north', 'south', 'east', 'west', 'flood'];

/** Exit code of `yuccaarch apply` after a change. */
const changedExitCode = 10;

/** A drain must be allowed to last longer than the longest deadline. */
const drainTimeoutMs = benchDeadlineMs + 10_000;

/** Starts a system whose processes may have jobs with the bench's deadline. */
export async function startBenchSystem(options: LocalSystemOptions): Promise<LocalSystem> {
	return LocalSystem.start({
		...options,
		entrySettings: { ...options.entrySettings, drainTimeoutMs },
		agentSettings: { ...options.agentSettings, drainTimeoutMs },
	});
}

/** Applies the bench's tables and waits until they are in force in every process. */
export async function applyBenchTables(system: LocalSystem): Promise<void> {
	const [keeper] = system.keepers;
	if (keeper === undefined) {
		throw new RangeError('The bench needs a keeper.');
	}
	const file = path.join(system.folder, 'bench-tables.toml');
	writeFileSync(file, stringify(createTables()));
	const args = ['apply', file, '--operator', keeper.operatorAddress, '--token', localOperatorToken, '--wait'];
	const apply = LocalProcess.start({ name: 'apply', args });
	const exit = await apply.waitForExit();
	if (exit.code !== changedExitCode) {
		throw new Error(`"yuccaarch apply" ended with ${JSON.stringify(exit)}: ${apply.errorText}`);
	}
}

function createTables(): object {
	return {
		pools: { [benchPool]: { maxQueuedTasks: unboundTasks } },
		routes: {
			[benchRoute]: {
				pool: benchPool,
				maxTasksPerJob: 200,
				maxConcurrentTasks: unboundTasks,
				defaultDeadlineMs: benchDeadlineMs,
				maxDeadlineMs: benchDeadlineMs,
				repeatable: true,
				objectives: { answeredWithinMs: 2000, answeredWithinShare: 0.99, answeredWholeShare: 0.999 },
			},
		},
		teams: Object.fromEntries(teamNames.map((team) => [team, { maxRunningTasks: unboundTasks }])),
	};
}
