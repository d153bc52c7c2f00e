/** Processes stop where they are (SIGSTOP) and go on later (SIGCONT), believing what they believed before. */

import test from 'ava';
import { waitFor } from '../../base/common/async.js';
import {
	at,
	finishAudited,
	homeEntry,
	progressTimeoutMs,
	startLoaded,
	threeKeepers,
} from './proofScenario.js';

test.serial('the home entry freezes until another is home, then goes on with its old starts', async (t) => {
	const loaded = await startLoaded(t, 201);
	const { run, load, answered } = loaded;
	await answered(60);
	const home = homeEntry(run, 'response');
	const fault = run.expectLostAnswers(home);
	home.process.pause();
	await answered(150);
	home.process.resume();
	await answered(100);
	fault.dispose();
	await run.awaitWorkers(home);
	t.true(load.answers.length > 0);
	await finishAudited(t, loaded);
});

test.serial('an agent freezes and goes on: no start reaches its upstream that was given up', async (t) => {
	const loaded = await startLoaded(t, 202);
	const { run, answered } = loaded;
	await answered(60);
	const agent = at(run.system.agents, 1);
	agent.process.pause();
	await answered(150);
	agent.process.resume();
	await answered(100);
	await finishAudited(t, loaded);
});

test.serial(
	'two of three keepers freeze: entries refuse truthfully, and serve again afterwards',
	async (t) => {
		const loaded = await startLoaded(t, 203, threeKeepers);
		const { run, load, answered } = loaded;
		await answered(60);
		const frozen = [at(run.system.keepers, 0), at(run.system.keepers, 1)];
		frozen.forEach((keeper) => {
			keeper.process.pause();
		});
		const isRefused = (): boolean =>
			load.answers.some(({ outcome }) => outcome.kind === 'notRun' && outcome.reason === 'staleTables');
		await waitFor('an entry refuses because its tables are too old', progressTimeoutMs, isRefused);
		frozen.forEach((keeper) => {
			keeper.process.resume();
		});
		await run.system.waitUntilServing();
		await Promise.all(run.system.entries.map((entry) => run.awaitWorkers(entry)));
		await answered(60);
		await finishAudited(t, loaded);
	},
);
