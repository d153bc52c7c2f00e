/** Two of three keepers are replaced as planned, one after the other, with their successors up and running before. */

import { performance } from 'node:perf_hooks';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase, sleep } from '../tools-2/deployment.mjs';
import { createConfig, Operator } from '../tools-2/operator.mjs';

/** Bounds of the site rcarp-sched. */
const catchupMs = 4000;
const recoveryMs = 12_000;
/** Time for which the config is read back after the recovery; the pages ask for `contactMs`, 3 s, at least. */
const readBackMs = 20_000;
/** Pause between the end of one replaced machine and the change after which the other one gets its SIGTERM. */
const pauseMs = 2000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record, hasTrouble) => {
	const operator = new Operator(record);
	const firstSeeds = [1, 2, 3].map((position) => deployment.controlAddress(position));
	const [a, b, c] = ['core-a', 'core-b', 'core-c'].map((name) =>
		deployment.add('keeper', name, { seeds: firstSeeds, bootstrap: true }),
	);
	for (const keeper of [a, b, c]) {
		keeper.start();
	}
	await sleep(2000);
	if ((await operator.put(createConfig(3), [a, b, c], 10_000)) === undefined) {
		throw new Error('The first config was not acknowledged.');
	}
	for (const keeper of [a, b, c]) {
		keeper.fields.bootstrap = false;
	}

	record.write(
		'planned replacement of core-c and core-a: core-d and core-e start with empty disks at new addresses',
	);
	const [d, e] = ['core-d', 'core-e'].map((name) => deployment.add('keeper', name, { seeds: firstSeeds }));
	d.start();
	e.start();
	await sleep(catchupMs + 2000);
	await operator.put(createConfig(5), [d, e, a, b], 5000);
	record.write('core-d and core-e have had their catchupS; core-c gets SIGTERM and is removed for good');
	await c.remove('SIGTERM');
	await sleep(pauseMs);
	const newest = createConfig(8);
	if ((await operator.put(newest, [b, d, e, a], 5000)) === undefined) {
		throw new Error('The config was not acknowledged before the second machine was removed.');
	}

	if (hasTrouble) {
		record.write('core-a gets SIGTERM and is removed for good');
		await a.remove('SIGTERM');
	}
	await sleep(recoveryMs);
	const remaining = hasTrouble ? [b, d, e] : [a, b, d, e];
	const endsMs = performance.now() + readBackMs;
	let readVersion;
	while (performance.now() < endsMs && readVersion === undefined) {
		for (const keeper of remaining) {
			readVersion ??= await operator.get(keeper);
		}
		await sleep(500);
	}
	const later = await operator.put(createConfig(11), remaining, 12_000);
	const breaches = [];
	if (readVersion === undefined) {
		breaches.push(`the config doesn't come: no keeper has answered a read within ${readBackMs / 1000} s`);
	} else if (readVersion < newest.version) {
		breaches.push(`the config read back is version ${readVersion}, older than ${newest.version}`);
	}
	if (later === undefined) {
		record.write('also: a new config was not acknowledged within 12 s');
	}
	return breaches;
});
