/** Takes a keeper's disk away, and waits until the keeper counts again. */

import { rmSync } from 'node:fs';
import { waitFor } from '../../base/common/async.js';
import type { SystemStatus } from '../../protocol/common/operatorApi.js';
import { askKeeper } from './askKeeper.js';
import type { LocalKeeper } from './localDaemon.js';

/** Longest time for a keeper with an empty disk to become a voter while a majority runs. */
export const repairTimeoutMs = 30_000;

/** Kills a keeper and deletes its data folder; the keeper stays down. */
export async function loseDisk(keeper: LocalKeeper): Promise<void> {
	await keeper.kill();
	rmSync(keeper.dataFolder, { recursive: true, force: true });
}

/**
 * Waits until a keeper votes with its present disk, beside all other members.
 *
 * @example
 * await loseDisk(keeper);
 * await keeper.start();
 * await awaitRepair(keeper, system.keepers.length);
 */
export async function awaitRepair(keeper: LocalKeeper, members: number): Promise<void> {
	await waitFor(`${keeper.name} is a voter again`, repairTimeoutMs, async () => {
		const answer = await askKeeper(keeper, '/v1/status').catch(() => undefined);
		return answer !== undefined && isVoterAmong(answer.body as SystemStatus, members);
	});
}

function isVoterAmong(status: SystemStatus, members: number): boolean {
	const isMember = status.role === 'leader' || status.role === 'follower';
	return isMember && status.members.length === members && status.members.every(({ isVoter }) => isVoter);
}
