/**
 * Measures how many task starts an entry carries a second: a real entry with HTTP and the wire protocol in this
 * process, fake agents that answer at once in a second, and readers in a third.
 *
 * Usage: `node out/src/entry/test/startRateBenchmark.js [agents] [slots] [seconds] [tasksPerJob] [openJobs]`
 */

import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { Pool } from 'undici';
import { delay, waitFor } from '../../base/common/async.js';
import { nullLogService } from '../../services/log/common/log.js';
import { entrySettingsSchema } from '../common/entrySettings.js';
import { EntryDaemon } from '../node/entryDaemon.js';
import { FakeAgent } from './fakeAgent.js';
import { FakeControlPlane } from './fakeControlPlane.js';

const secret = 'a-secret-for-this-test';

interface Plan {
	readonly agents: number;
	readonly slots: number;
	readonly seconds: number;
	readonly tasksPerJob: number;
	readonly openJobs: number;
}

function readPlan(args: readonly string[]): Plan {
	const [agents, slots, seconds, tasksPerJob, openJobs] = args.map(Number);
	return {
		agents: agents ?? 11,
		slots: slots ?? 64,
		seconds: seconds ?? 10,
		tasksPerJob: tasksPerJob ?? 40,
		openJobs: openJobs ?? 32,
	};
}

function runAgents(address: string, plan: Plan): void {
	for (let index = 0; index < plan.agents; index += 1) {
		new FakeAgent(`agent-${index}`, secret, address, plan.slots, () => ({
			state: 'done',
			resultJson: '{"status":"on consignment","untilMonth":7}',
			runMs: 1,
		}));
	}
}

async function runReaders(address: string, plan: Plan): Promise<void> {
	const pool = new Pool(`http://${address}`, { connections: plan.openJobs });
	const task = { work: 'work-000000123456', gallery: 'gallery-42', question: 'isOnConsignment' };
	const body = JSON.stringify({ tasks: new Array(plan.tasksPerJob).fill(task), deadlineMs: 10_000 });
	const read = async (): Promise<never> => {
		for (;;) {
			const response = await pool.request({ path: '/v1/routes/lookup/jobs', method: 'POST', body });
			const text = await response.body.text();
			if (response.statusCode !== 200) {
				throw new Error(text);
			}
		}
	};
	await Promise.all(Array.from({ length: plan.openJobs }, read));
}

async function runEntry(plan: Plan): Promise<void> {
	const control = new FakeControlPlane();
	const settings = entrySettingsSchema.parse({
		processId: 'entry-1',
		dataCentre: 'dc-1',
		sharedSecret: secret,
		httpAddress: '127.0.0.1:0',
		peerAddress: '127.0.0.1:0',
		keepers: [{ processId: 'keeper-1', address: '127.0.0.1:1' }],
	});
	const entry = await EntryDaemon.start({ settings, log: nullLogService, connectControl: () => control });
	const { incarnation, peerAddress, httpAddress } = entry;
	control.publish([
		{ processId: 'entry-1', incarnation, peerAddress, dataCentre: 'dc-1', isDraining: false },
	]);
	const children = [startChild('agents', peerAddress, plan), startChild('readers', httpAddress, plan)];
	const startsSent = (): number => entry.counters.startsSent;
	await waitFor('tasks are started', 10_000, () => startsSent() > 10_000);
	const before = { starts: startsSent(), cpu: process.cpuUsage(), wallMs: performance.now() };
	await delay(plan.seconds * 1000);
	const cpu = process.cpuUsage(before.cpu);
	const wallSeconds = (performance.now() - before.wallMs) / 1000;
	const starts = startsSent() - before.starts;
	const cpuSeconds = (cpu.user + cpu.system) / 1e6;
	const report = {
		...plan,
		starts,
		startsPerSecond: Math.round(starts / wallSeconds),
		startsPerSecondPerEntryCore: Math.round(starts / cpuSeconds),
		cpuShare: Number((cpuSeconds / wallSeconds).toFixed(2)),
		rssMegabytes: Math.round(process.memoryUsage.rss() / 2 ** 20),
		startsPerFrame: Number((entry.counters.startsSent / entry.counters.startFrames).toFixed(1)),
	};
	process.stdout.write(`${JSON.stringify(report)}\n`);
	await Promise.all(children.map(stopChild));
	entry.dispose();
	process.exit();
}

function startChild(part: string, address: string, plan: Plan): ChildProcess {
	return fork(fileURLToPath(import.meta.url), [part, address, JSON.stringify(plan)], { execArgv: [] });
}

async function stopChild(child: ChildProcess): Promise<void> {
	const ended = once(child, 'exit');
	child.kill('SIGKILL');
	await ended;
}

const [part, address, plan] = process.argv.slice(2);
if (part === 'agents' && address !== undefined) {
	runAgents(address, JSON.parse(plan ?? '{}') as Plan);
} else if (part === 'readers' && address !== undefined) {
	await runReaders(address, JSON.parse(plan ?? '{}') as Plan);
} else {
	await runEntry(readPlan(process.argv.slice(2)));
}
