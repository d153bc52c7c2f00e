/** Erases a keeper's disk, and waits until the keeper is a voter again. */

import { rmSync } from 'node:fs';
import { waitFor } from '../../base/common/async.js';
import type { SystemStatus } from '../../protocol/common/operatorApi.js';
import { sendToKeeper } from './sendToKeeper.js';
import type { LocalKeeper } from './localDaemon.js';

/** Timeout for a keeper with an empty disk to become a voter while a majority runs. */
export const voterTimeoutMs = 30_000;

/** Kills a keeper and deletes its data folder, without restarting it. */
export async function killAndEraseDisk(keeper: LocalKeeper): Promise<void> {
	await keeper.kill();
	rmSync(keeper.dataFolder, { recursive: true, force: true });
}

/**
 * Waits until a restarted keeper is leader or follower and sees all members as voters.
 *
 * @example
 * await killAndEraseDisk(keeper);
 * await keeper.start();
 * await waitUntilVoter(keeper, system.keepers.length);
 */
export async function waitUntilVoter(keeper: LocalKeeper, members: number): Promise<void> {
	await waitFor(`${keeper.name} is a voter again`, voterTimeoutMs, async () => {
		const answer = await sendToKeeper(keeper, '/v1/status').catch(() => undefined);
		return answer !== undefined && areAllMembersVoters(answer.body as SystemStatus, members);
	});
}

function areAllMembersVoters(status: SystemStatus, members: number): boolean {
	const isMember = status.role === 'leader' || status.role === 'follower';
	return isMember && status.members.length === members && status.members.every(({ isVoter }) => isVoter);
}
