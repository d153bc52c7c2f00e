/** A keeper of five is lost for good and replaced by one whose seeds do not name the leader; later two keepers lose their disks. */

import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { askKeepers, CannotRun, createConfig, runCase } from '../lib/deployment.mjs';

/** Bounds of the installations with five core machines. */
const [catchupMs, recoveryMs, contactMs] = [6000, 15_000, 4000];
const config = { host: 'a.example', prefix: '/x/', service: 's' };

/** Returns the keepers that lead, by their own metrics. */
async function findLeaders(keepers) {
	const leading = await Promise.all(keepers.map((keeper) => keeper.readMetric('isLeader')));
	return keepers.filter((_, index) => leading[index] === 1);
}

await runCase(import.meta.url, async (deployment, recorder, hasTrouble) => {
	await deployment.start({ keepers: 5, laterKeepers: 1 });
	await deployment.putConfig(createConfig({ version: 1, ...config }));
	await sleep(8000);
	const [leader] = await findLeaders(deployment.keepers);
	if (leader === undefined) {
		throw new CannotRun('No keeper leads.');
	}
	recorder.note(`${leader.name} leads`);
	const [lost, ...others] = deployment.keepers.filter((keeper) => keeper !== leader);
	const [successor] = deployment.laterKeepers;
	recorder.note(`${lost.name} is lost for good`);
	await lost.kill();
	await sleep(1000);
	// SEEDS=leader is a control run: the same, but the leader is among the three seeds.
	const seeds = process.env.SEEDS === 'leader' ? [leader, ...others.slice(1)] : others;
	successor.fields.seeds = seeds.map((keeper) => keeper.fields['listen.control']);
	recorder.note(`the seeds of ${successor.name} are ${successor.fields.seeds.join(' ')}`);
	successor.start();
	await sleep(2 * catchupMs + contactMs);
	const remaining = [leader, ...others, successor];
	const put = (version) => {
		const body = JSON.stringify(createConfig({ version, ...config }));
		return askKeepers(remaining, recorder, 'POST', '/Config.Put', body, recoveryMs);
	};
	if ((await put(2)) === undefined) {
		return ['Acks: a valid config is not acknowledged after the replacement'];
	}
	if (hasTrouble) {
		const wiped = others.slice(0, 2);
		await Promise.all(wiped.map((keeper) => keeper.loseDisk()));
		await sleep(1000);
		for (const keeper of wiped) {
			keeper.start();
		}
	}
	await sleep(recoveryMs);
	await put(3);
	const read = await askKeepers(remaining, recorder, 'GET', '/Config.Get', '', 2 * contactMs);
	if (read === undefined) {
		return ['the config does not come when it is read back; version 2 was acknowledged'];
	}
	const { version } = JSON.parse(read.body);
	recorder.note(`the config that is read back has version ${version}`);
	return version < 2 ? [`version ${version} is read back, although version 2 was acknowledged`] : [];
});
