/** Starts a small deployment of the project's own programs on loopback addresses, with the commands of the deploy file. */

import { spawn } from 'node:child_process';
import { mkdtempSync, mkdirSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { Buffer } from 'node:buffer';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Commands of deploy/system.toml, after the program. */
const commands = {
	entry: ['--max-old-space-size=160', 'target/main.js', 'entry'],
	agent: ['--max-old-space-size=64', '--max-semi-space-size=1', 'target/main.js', 'agent'],
	keeper: ['--max-old-space-size=160', 'target/main.js', 'keeper'],
};

const peerPort = 7720;
export const ports = { front: 8161, app: 8162, control: 8166, ready: 8167 };

/** Bounds of the small sites, which the settings templates use. */
const bounds = { graceS: 6 };

/** Fills in a settings template; supports values, and a list with separators. */
function render(template, fields) {
	const read = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
	return template
		.replace(/\{\{#(\w+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) =>
			read(name)
				.map((each, index, all) =>
					inner.replaceAll('{{.}}', String(each)).replaceAll('{{,}}', index + 1 < all.length ? ',' : ''),
				)
				.join(''),
		)
		.replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(read(name) ?? ''));
}

function isFree(host, port) {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => resolve(false));
		server.listen(port, host, () => server.close(() => resolve(true)));
	});
}

/** Returns the first two bytes of a range of loopback addresses on which the ports are free. */
async function findNetwork(count) {
	for (let attempt = 0; attempt < 50; attempt += 1) {
		const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
		const checks = [];
		for (let host = 1; host <= count; host += 1) {
			for (const port of [peerPort, 9464, ...Object.values(ports)]) {
				checks.push(isFree(`${network}.${host}`, port));
			}
		}
		if ((await Promise.all(checks)).every(Boolean)) {
			return network;
		}
	}
	throw new Error('No free loopback addresses were found.');
}

export class Deployment {
	static async start({ keepers = 3, entries = 3, agents = 9, service = 'ledger', keeperEnv = {} } = {}) {
		const deployment = new Deployment();
		const network = await findNetwork(keepers + entries + agents);
		deployment.folder = mkdtempSync(path.join(tmpdir(), 'yuccaarch-review-'));
		deployment.service = service;
		deployment.keeperEnv = keeperEnv;
		deployment.machines = new Map();
		deployment.stopped = false;
		const names = [];
		let host = 0;
		const add = (role, count) => {
			for (let index = 1; index <= count; index += 1) {
				host += 1;
				names.push({
					role,
					name: `${role}-${index}`,
					zone: `zone-${1 + ((index - 1) % 3)}`,
					ip: `${network}.${host}`,
				});
			}
		};
		add('keeper', keepers);
		add('entry', entries);
		add('agent', agents);
		deployment.seeds = names
			.filter(({ role }) => role === 'keeper')
			.map(({ ip }) => `${ip}:${ports.control}`);
		for (const machine of names) {
			deployment.machines.set(machine.name, { ...machine, child: undefined, starts: 0 });
		}
		for (const { name } of names) {
			deployment.launch(name);
		}
		return deployment;
	}

	get(name) {
		return this.machines.get(name);
	}

	list(role) {
		return [...this.machines.values()].filter((machine) => machine.role === role);
	}

	/** Writes the settings and starts the program of a machine. */
	launch(name) {
		const machine = this.get(name);
		const dataDir = path.join(this.folder, name, 'data');
		mkdirSync(dataDir, { recursive: true });
		const { ip, zone, role } = machine;
		const fields = {
			nodeName: name,
			zone,
			ip,
			portRange: [peerPort, peerPort + 15],
			seeds: machine.seeds ?? this.seeds,
			bounds,
			listen: {
				front: `${ip}:${ports.front}`,
				ready: `${ip}:${ports.ready}`,
				control: `${ip}:${ports.control}`,
			},
			app: `${ip}:${ports.app}`,
			service: this.service,
			dataDir,
			bootstrap: machine.starts === 0,
			faultTolerance: { machines: 1 },
		};
		const template = readFileSync(path.join(root, 'deploy', `${role}.template.toml`), 'utf8');
		const settings = path.join(this.folder, name, 'local.toml');
		writeFileSync(settings, render(template, fields));
		const log = openSync(path.join(this.folder, name, 'log'), 'a');
		const { PATH, HOME, LANG } = process.env;
		const child = spawn(process.execPath, commands[role], {
			cwd: root,
			env: { PATH, HOME, LANG, YUCCAARCH_BOOT: settings },
			stdio: ['ignore', log, log],
		});
		machine.starts += 1;
		machine.child = child;
		machine.exits ??= [];
		child.on('exit', (code, signal) => {
			machine.exits.push({ code, signal, wasAsked: machine.isAsked === true });
			if (machine.child === child) {
				machine.child = undefined;
			}
		});
		return child;
	}

	signal(name, signal) {
		const machine = this.get(name);
		if (signal === 'SIGKILL' || signal === 'SIGTERM') {
			machine.isAsked = true;
		}
		machine.child?.kill(signal);
	}

	/** Sends a signal that ends a program, and waits until it has ended. */
	async end(name, signal) {
		const machine = this.get(name);
		const { child } = machine;
		if (child === undefined) {
			return;
		}
		const ended = new Promise((resolve) => child.once('exit', resolve));
		this.signal(name, signal);
		await ended;
	}

	log(name) {
		return readFileSync(path.join(this.folder, name, 'log'), 'utf8');
	}

	/** Ends all programs and removes the folder. */
	async close({ keepFolder = false } = {}) {
		this.stopped = true;
		const children = [...this.machines.values()].flatMap(({ child }) => (child === undefined ? [] : [child]));
		const ends = children.map((child) => new Promise((resolve) => child.once('exit', resolve)));
		for (const child of children) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}
		await Promise.all(ends);
		if (!keepFolder) {
			rmSync(this.folder, { recursive: true, force: true });
		}
	}
}

/**
 * Sends a request on a new channel. Resolves to its status, or to the way in which it ended without an answer.
 *
 * @param options method, address, path, host, body, timeoutMs, deadlineMs (told to the entry)
 */
export function call({ method, address, path: urlPath, host, body, timeoutMs = 1000, deadlineMs }) {
	const [ip, port] = address.split(':');
	const text = body === undefined ? '' : JSON.stringify(body);
	const headers = {
		...(host === undefined ? {} : { host }),
		...(deadlineMs === undefined ? {} : { 'x-deadline-ms': String(deadlineMs) }),
		...(body === undefined
			? {}
			: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
	};
	return new Promise((resolve) => {
		const req = request({ host: ip, port: Number(port), path: urlPath, method, headers, agent: false });
		const timer = globalThis.setTimeout(() => {
			resolve({ kind: 'timeLimit' });
			req.destroy();
		}, timeoutMs);
		req.on('error', (error) => {
			globalThis.clearTimeout(timer);
			resolve({ kind: 'broken', code: error.code });
		});
		req.on('response', (res) => {
			let answer = '';
			res.setEncoding('utf8');
			res.on('data', (chunk) => {
				answer += chunk;
			});
			res.on('error', () => {
				globalThis.clearTimeout(timer);
				resolve({ kind: 'broken', code: 'answer' });
			});
			res.on('end', () => {
				globalThis.clearTimeout(timer);
				resolve({ kind: 'answer', status: res.statusCode, body: answer, headers: res.headers });
			});
		});
		req.end(text);
	});
}

/** Sends a config to the keepers, in turn, until one acknowledges it. */
export async function putConfig(deployment, config, { forMs = 15_000 } = {}) {
	const endMs = performance.now() + forMs;
	const keepers = deployment.list('keeper');
	for (let attempt = 0; performance.now() < endMs; attempt += 1) {
		const { ip } = keepers[attempt % keepers.length];
		const address = `${ip}:${ports.control}`;
		const reply = await call({ method: 'POST', address, path: '/Config.Put', body: config });
		if (reply.kind === 'answer' && reply.status === 200) {
			return reply;
		}
		await sleep(100);
	}
	throw new Error('No keeper has acknowledged the config.');
}

/** Waits until each entry is ready. */
export async function waitUntilReady(deployment, { forMs = 20_000, minWorkers = 1 } = {}) {
	const endMs = performance.now() + forMs;
	for (const { ip } of deployment.list('entry')) {
		for (;;) {
			const ready = await call({ method: 'GET', address: `${ip}:${ports.ready}`, path: '/ready' });
			const metrics = await call({ method: 'GET', address: `${ip}:9464`, path: '/metrics' });
			const workers = Number(/_workers (\d+)/.exec(metrics.body ?? '')?.[1] ?? 0);
			if (ready.status === 200 && workers >= minWorkers) {
				break;
			}
			if (performance.now() > endMs) {
				throw new Error('An entry has not become ready.');
			}
			await sleep(100);
		}
	}
}

/** Config with the routes of a small site. */
export function createConfig(version, service, routes) {
	return {
		version,
		routes: routes.map((route) => ({
			type: 'unsafe',
			timeoutMs: 1500,
			sloMs: 60,
			priority: 1,
			service,
			attempts: 3,
			stretch: 1.6,
			...route,
		})),
		services: [
			{
				name: service,
				healthPath: '/health',
				maxConns: 64,
				protocol: 'h1',
				tls: false,
				enforcesCapacity: true,
				standby: false,
			},
		],
		limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
	};
}

/** Writes what was sent, answered and run to a file. */
export class Recorder {
	constructor(file) {
		this.file = file;
		this.lines = [];
		this.startedAtMs = performance.now();
	}

	write(text) {
		const seconds = ((performance.now() - this.startedAtMs) / 1000).toFixed(3);
		this.lines.push(`${seconds} ${text}`);
	}

	save() {
		writeFileSync(this.file, `${this.lines.join('\n')}\n`);
	}
}
