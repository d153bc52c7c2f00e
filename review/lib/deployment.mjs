/** A small deployment on loopback addresses: the project's programs as separate processes, and stand-ins around them. */

import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

/** Root of the repository, in which the programs are started. */
export const root = fileURLToPath(new URL('../../', import.meta.url));

/** Time limits and intervals that the users' pages set for a small deployment. */
export const bounds = {
	graceS: 6,
	heartbeatMs: 1500,
	maxHoldMs: 1000,
	stopGraceMs: 50,
	resendMs: 1300,
	timeLimitMs: 1500,
};

/** Ends the script with exit code 2: the case could not run. */
export class CannotRun extends Error {}

/** Waits until a condition holds. */
export async function waitFor(what, isMet, timeoutMs = 20_000) {
	const endMs = performance.now() + timeoutMs;
	while (!(await Promise.resolve(isMet()).catch(() => false))) {
		if (performance.now() > endMs) {
			throw new CannotRun(`${what} did not happen within ${timeoutMs} ms.`);
		}
		await sleep(20);
	}
}

/** Port of the metrics, which the templates set. */
const metricsPort = 9464;

/** Returns a port that is free on all given addresses: one of those given, or any. */
async function findFreePort(hosts, wantedPort) {
	for (let attempt = 0; attempt < (wantedPort === undefined ? 50 : 1); attempt += 1) {
		const port = wantedPort ?? 20_000 + Math.floor(Math.random() * 40_000);
		const servers = [];
		try {
			for (const host of hosts) {
				const server = createServer();
				await new Promise((resolve, reject) => {
					server.once('error', reject);
					server.listen(port, host, resolve);
				});
				servers.push(server);
			}
			return port;
		} catch {
			// The port is in use on one of the addresses; another one is tried.
		} finally {
			await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
		}
	}
	throw new CannotRun('No free port was found.');
}

/** Chooses loopback addresses on which the port of the metrics is free. */
async function findFreeHosts(count) {
	for (let attempt = 0; attempt < 20; attempt += 1) {
		const block = 1 + Math.floor(Math.random() * 250);
		const hosts = Array.from({ length: count }, (_, index) => `127.${block}.0.${index + 1}`);
		const port = await findFreePort(hosts, metricsPort).catch(() => undefined);
		if (port !== undefined) {
			return hosts;
		}
	}
	throw new CannotRun(`Port ${metricsPort} is free on no block of loopback addresses.`);
}

/** Sends a request and reads its answer; status 0 when none came. */
export function send(method, address, target, body = '', { headers = {}, timeoutMs = 5000, agent } = {}) {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		let hasEnded = false;
		const end = (status, text) => {
			hasEnded = true;
			clearTimeout(timer);
			resolve({ status, body: text });
		};
		const sent = request(
			{
				...{ host, port, method, path: target, agent },
				headers: {
					'content-type': 'application/json',
					'content-length': Buffer.byteLength(body),
					...headers,
				},
			},
			(response) => {
				let text = '';
				response.on('data', (chunk) => {
					text += chunk;
				});
				response.on('end', () => end(response.statusCode, text));
				response.on('error', () => end(0, 'the answer broke off'));
			},
		);
		const timer = setTimeout(() => sent.destroy(new Error('no answer in time')), timeoutMs);
		sent.on('error', (error) => {
			if (!hasEnded) {
				end(0, error.message);
			}
		});
		sent.end(body);
	});
}

/** Writes what happens into record.txt, with the milliseconds since the start. */
export class Recorder {
	#lines = [];
	#startMs = performance.now();

	constructor(file) {
		this.file = file;
	}

	note(text) {
		const seconds = ((performance.now() - this.#startMs) / 1000).toFixed(3);
		// The paths of the machine stay out of the record.
		this.#lines.push(
			`${seconds.padStart(8)} s  ${text.replaceAll(tmpdir(), '<temporary folder>').replaceAll(root, '')}`,
		);
	}

	save() {
		writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
	}
}

/** Reads the run commands of the deploy file. */
function readCommands() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const commands = new Map();
	for (const [, role, run] of text.matchAll(/\[roles\.(\w+)\]\s+run = "([^"]+)"/g)) {
		commands.set(role, run.split(' '));
	}
	return commands;
}

/** Fills in a settings template of the deploy folder; only plain values and the list of seeds occur in them. */
function fillTemplate(role, fields) {
	const text = readFileSync(path.join(root, `deploy/${role}.template.toml`), 'utf8');
	const seeds = fields.seeds.map((seed) => `"${seed}"`).join(',');
	return text
		.replace(/\{\{#seeds\}\}.*\{\{\/seeds\}\}/, seeds)
		.replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(fields[name] ?? ''));
}

/** The programs of one deployment. */
export class Deployment {
	#commands = readCommands();
	#programs = [];

	constructor(recorder) {
		this.recorder = recorder;
		this.folder = mkdtempSync(path.join(tmpdir(), 'yuccaarch-review-'));
	}

	/** Chooses addresses and ports, and starts the keepers, entries and agents. Some keepers may be added later. */
	async start({ keepers, laterKeepers = 0, entries = 0, agents = 0, service = '' }) {
		const hosts = await findFreeHosts(keepers + laterKeepers + entries + agents);
		const ports = [];
		for (let index = 0; index < 5; index += 1) {
			ports.push(await findFreePort(hosts));
		}
		const [peerPort, controlPort, frontPort, readyPort, appPort] = ports;
		const keeperHosts = hosts.slice(0, keepers + laterKeepers);
		const entryHosts = hosts.slice(keeperHosts.length, keeperHosts.length + entries);
		const agentHosts = hosts.slice(keeperHosts.length + entries);
		const common = {
			zone: 'zone-a',
			'portRange.0': peerPort,
			'bounds.graceS': bounds.graceS,
			seeds: keeperHosts.slice(0, 3).map((ip) => `${ip}:${controlPort}`),
		};
		const create = (role, ip, extra) =>
			this.#createProgram(role, { ...common, ip, nodeName: `${role}-${ip}`, ...extra });
		const allKeepers = keeperHosts.map((ip, index) => {
			const dataDir = path.join(this.folder, `data-${ip}`);
			mkdirSync(dataDir);
			return create('keeper', ip, {
				...{ 'listen.control': `${ip}:${controlPort}`, dataDir, bootstrap: index < keepers },
				'faultTolerance.machines': Math.floor((keepers - 1) / 2),
			});
		});
		this.keepers = allKeepers.slice(0, keepers);
		this.laterKeepers = allKeepers.slice(keepers);
		this.entries = entryHosts.map((ip) =>
			create('entry', ip, { 'listen.front': `${ip}:${frontPort}`, 'listen.ready': `${ip}:${readyPort}` }),
		);
		this.agents = agentHosts.map((ip) =>
			create('agent', ip, { 'listen.control': `${ip}:${controlPort}`, app: `${ip}:${appPort}`, service }),
		);
		for (const program of [...this.keepers, ...this.entries, ...this.agents]) {
			program.start();
		}
	}

	/** Sends the first config until it is acknowledged, as the operator does. */
	async putConfig(config) {
		const body = JSON.stringify(config);
		await waitFor('The acknowledgement of the config', async () => {
			for (const keeper of this.keepers) {
				const address = keeper.fields['listen.control'];
				const { status } = await send('POST', address, '/Config.Put', body, { timeoutMs: 1000 });
				if (status === 200) {
					return true;
				}
			}
			return false;
		});
		this.recorder.note(`the operator's config ${config.version} is acknowledged`);
	}

	/** Waits until all entries see a number of workers that accept tasks, and are ready. */
	async waitUntilReady(workerCount) {
		for (const entry of this.entries) {
			await waitFor(`Readiness of ${entry.name}`, async () => {
				const { status } = await send('GET', entry.fields['listen.ready'], '/ready');
				return status === 200 && (await entry.readMetric('workers')) === workerCount;
			});
		}
		this.recorder.note(`all entries are ready and see ${workerCount} workers`);
	}

	/** Ends all processes that were started, and removes the temporary folder. */
	async stop() {
		await Promise.all(this.#programs.map((program) => program.kill()));
		rmSync(this.folder, { recursive: true, force: true });
	}

	#createProgram(role, fields) {
		const program = new Program(this, role, fields, this.#commands.get(role));
		this.#programs.push(program);
		return program;
	}
}

/** One program of the project. */
class Program {
	#child;
	#closed;

	constructor(deployment, role, fields, command) {
		this.deployment = deployment;
		this.name = fields.nodeName;
		this.role = role;
		this.fields = fields;
		this.command = command;
		this.metricsAddress = `${fields.ip}:${metricsPort}`;
		this.logLines = [];
	}

	start() {
		this.deployment.recorder.note(`${this.name} starts`);
		const file = path.join(this.deployment.folder, `${this.name}.toml`);
		writeFileSync(file, fillTemplate(this.role, this.fields));
		const [, ...words] = this.command;
		const { PATH, HOME, LANG } = process.env;
		const child = spawn(process.execPath, words, {
			...{ cwd: root, env: { PATH, HOME, LANG, YUCCAARCH_BOOT: file } },
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		this.#child = child;
		this.#closed = new Promise((resolve) => {
			child.once('exit', (code, signal) => {
				this.deployment.recorder.note(`${this.name} has ended (${code ?? signal})`);
				resolve();
			});
		});
		let rest = '';
		child.stdout.on('data', (chunk) => {
			const lines = (rest + chunk).split('\n');
			rest = lines.pop();
			this.logLines.push(...lines);
		});
	}

	/** Sends a signal to this process. */
	signal(name) {
		this.deployment.recorder.note(`${this.name} gets ${name}`);
		this.#child.kill(name);
	}

	/** Kills this process, also when it is stopped. */
	async kill() {
		if (this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null) {
			this.#child.kill('SIGKILL');
		}
		await this.#closed;
	}

	/** Waits until this process has ended. */
	async ended() {
		await this.#closed;
	}

	/** Kills this keeper and empties its data folder; it is to start again as one that has lost its disk. */
	async loseDisk() {
		this.deployment.recorder.note(`${this.name} loses power and its disk`);
		await this.kill();
		rmSync(this.fields.dataDir, { recursive: true, force: true });
		mkdirSync(this.fields.dataDir);
		this.fields.bootstrap = false;
	}

	/** Reads a metric of this program. */
	async readMetric(name) {
		const { body } = await send('GET', this.metricsAddress, '/metrics');
		return Number(new RegExp(`^yuccaarch_${name} (\\S+)$`, 'm').exec(body)?.[1]);
	}
}

/** Asks one keeper after the other until one answers with 200; returns the answer, or nothing after the time limit. */
export async function askKeepers(keepers, recorder, method, target, body, limitMs) {
	const endMs = performance.now() + limitMs;
	const statuses = new Map();
	while (performance.now() < endMs) {
		for (const keeper of keepers) {
			const address = keeper.fields['listen.control'];
			const answer = await send(method, address, target, body, { timeoutMs: 1000 });
			if (answer.status === 200) {
				recorder.note(`${method} ${target} at ${keeper.name}: 200`);
				return answer;
			}
			const seen = `${keeper.name} ${answer.status} ${answer.body}`;
			statuses.set(seen, (statuses.get(seen) ?? 0) + 1);
		}
		await sleep(100);
	}
	recorder.note(`${method} ${target} got no 200 in ${limitMs} ms:`);
	for (const [seen, count] of statuses) {
		recorder.note(`  ${count} times ${seen}`);
	}
	return undefined;
}

/** Sends jobs as the users' clients do. */
export class Client {
	#agent = new Agent({ keepAlive: true });

	constructor(recorder, host, prefix) {
		this.recorder = recorder;
		this.host = host;
		this.prefix = prefix;
	}

	/** Sends a job once; the caller waits until its time limit. */
	async sendJob(entry, id, job, timeLimitMs = bounds.timeLimitMs) {
		this.recorder.note(`client sends ${id} to ${entry.name}`);
		const answer = await send('POST', entry.fields['listen.front'], this.prefix + id, JSON.stringify(job), {
			headers: { host: this.host, 'x-deadline-ms': String(timeLimitMs) },
			...{ timeoutMs: timeLimitMs, agent: this.#agent },
		});
		this.recorder.note(`client gets ${answer.status} ${answer.body} for ${id}`);
		return answer;
	}

	/** Cancels a job at an entry. */
	async cancelJob(entry, id) {
		this.recorder.note(`client cancels ${id} at ${entry.name}`);
		const answer = await send('DELETE', entry.fields['listen.front'], this.prefix + id, '', {
			headers: { host: this.host },
		});
		this.recorder.note(`client gets ${answer.status} for the cancelling of ${id}`);
		return answer;
	}

	/**
	 * Sends a job that needn't be stored, and sends it again `resendMs` after no response, a broken channel, 502 or 504, to
	 * the next of the entries.
	 */
	async runJob(entries, id, job, { attempts = 3, timeLimitMs = bounds.timeLimitMs } = {}) {
		let answer;
		for (let attempt = 0; attempt < attempts; attempt += 1) {
			answer = await this.sendJob(entries[attempt % entries.length], id, job, timeLimitMs);
			if (![0, 502, 504].includes(answer.status)) {
				return answer;
			}
			await sleep(bounds.resendMs);
		}
		return answer;
	}
}

/** Creates the ID of a job: 16 hexadecimal digits. */
export function createJobId() {
	return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('');
}

/** Creates a config with one route and one service. */
export function createConfig({
	version,
	host,
	prefix,
	service,
	enforcesCapacity = true,
	timeoutMs = bounds.timeLimitMs,
}) {
	return {
		version,
		routes: [
			{
				...{ name: 'r-1', host, pathPrefix: prefix, type: 'unsafe', timeoutMs },
				...{ sloMs: 60, priority: 0, service, attempts: 2, stretch: 1.6 },
			},
		],
		services: [
			{ name: service, healthPath: '/health', maxConns: 64, protocol: 'h1', tls: false, enforcesCapacity },
		],
		limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
	};
}

/** Runs a case: exit code 1 if it finds faults, 0 if it finds none, 2 if it can't run. */
export async function runCase(url, play) {
	const recorder = new Recorder(path.join(path.dirname(fileURLToPath(url)), 'record.txt'));
	const deployment = new Deployment(recorder);
	const hasTrouble = process.env.TROUBLE !== '0';
	recorder.note(hasTrouble ? 'with the disruption' : 'without the disruption');
	let exitCode = 2;
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.on(signal, () => {
			recorder.note(`the script gets ${signal}`);
			recorder.save();
			deployment.stop().finally(() => process.exit(2));
		});
	}
	try {
		const faults = await play(deployment, recorder, hasTrouble);
		for (const fault of faults) {
			recorder.note(`BROKEN: ${fault}`);
		}
		recorder.note(faults.length > 0 ? `the rule was broken ${faults.length} times` : 'the rule held');
		exitCode = faults.length > 0 ? 1 : 0;
	} catch (error) {
		recorder.note(`the case could not run: ${error.stack}`);
	} finally {
		await deployment.stop();
		recorder.save();
	}
	process.exit(exitCode);
}
