/**
 * Starts the project's programs as separate processes with the commands and the settings templates of the deploy file. Each
 * machine is an address of its own in 127.0.0.0/8.
 */

import { monitorEventLoopDelay, performance } from 'node:perf_hooks';
import { spawn } from 'node:child_process';
import {
	appendFileSync,
	existsSync,
	mkdirSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

/** Bounds of the site rcarp-sched that the templates use. */
const graceS = 6;
/** Delay after which the platform starts an ended process again. */
const restartDelayMs = 300;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes to record.txt in the folder of the case, with the seconds since the start. */
export class RunRecord {
	constructor(folder) {
		this._file = path.join(folder, 'record.txt');
		this._startedMs = performance.now();
		writeFileSync(this._file, '');
	}

	get nowMs() {
		return performance.now() - this._startedMs;
	}

	write(text) {
		appendFileSync(this._file, `${(this.nowMs / 1000).toFixed(3).padStart(8)} ${text}\n`);
	}
}

/** Returns the value of a dotted name. */
function readName(fields, name) {
	return name === '.' ? fields : name.split('.').reduce((value, key) => value?.[key], fields);
}

/** Renders the placeholders and the list sections that the project's templates use. */
function renderTemplate(text, fields) {
	const withLists = text.replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, name, body) =>
		readName(fields, name)
			.map((entry, position, entries) =>
				body.replaceAll('{{.}}', String(entry)).replaceAll('{{,}}', position + 1 < entries.length ? ',' : ''),
			)
			.join(''),
	);
	return withLists.replace(/\{\{([\w.]+)\}\}/g, (_all, name) => String(readName(fields, name) ?? ''));
}

/** Reads command and template of a role from the deploy file. */
function readRole(role) {
	const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
	const read = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)[1];
	return { words: read('run').split(' '), template: read('template') };
}

async function isPortFree(host, port) {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => resolve(false));
		server.listen(port, host, () => server.close(() => resolve(true)));
	});
}

/** One machine of the system and the process on it. */
class Machine {
	constructor(deployment, role, ip, fields) {
		this.role = role;
		this.ip = ip;
		this.name = fields.nodeName;
		this.fields = fields;
		this._deployment = deployment;
		this.dataFolder = fields.dataDir;
		this.isWanted = false;
		/** Number of times that the process has ended. */
		this.endCount = 0;
	}

	start() {
		const { folder, record } = this._deployment;
		this.isWanted = true;
		const { words, template } = readRole(this.role);
		const settings = path.join(folder, `${this.name}.toml`);
		writeFileSync(
			settings,
			renderTemplate(readFileSync(path.join(repository, template), 'utf8'), this.fields),
		);
		if (this.dataFolder !== undefined) {
			mkdirSync(this.dataFolder, { recursive: true });
		}
		const { PATH, HOME, LANG } = process.env;
		const child = spawn(words[0], words.slice(1), {
			cwd: repository,
			env: { PATH, HOME, LANG, YUCCAARCH_BOOT: settings },
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		record.write(`process ${this.name} started, pid ${child.pid}`);
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', (chunk) => appendFileSync(path.join(folder, `${this.name}.log`), chunk));
		}
		child.on('exit', (code, signal) => {
			this.endCount += 1;
			record.write(`process ${this.name} ended, code ${code}, signal ${signal}`);
			if (this.isWanted && this.child === child) {
				setTimeout(() => {
					if (this.isWanted && this.child === child) {
						this.start();
					}
				}, restartDelayMs);
			}
		});
	}

	signal(signal) {
		this._deployment.record.write(`${signal} to ${this.name}`);
		this.child.kill(signal);
	}

	/** Ends the process for good, and resolves once it has ended. */
	async remove(signal, limitMs = graceS * 1000) {
		this.isWanted = false;
		const { child } = this;
		if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
			return;
		}
		const ended = new Promise((resolve) => {
			child.once('exit', resolve);
		});
		this.signal(signal);
		const timer = setTimeout(() => child.kill('SIGKILL'), limitMs);
		await ended;
		clearTimeout(timer);
	}

	eraseDisk() {
		this._deployment.record.write(`the disk of ${this.name} is lost`);
		rmSync(this.dataFolder, { recursive: true, force: true });
	}
}

/** Draws a block of loopback addresses, so that deployments that run at the same time don't meet. */
function chooseBlock() {
	return `${16 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 256)}`;
}

/** Machines of a small deployment. */
export class Deployment {
	constructor(record) {
		this.record = record;
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.machines = [];
		this._block = chooseBlock();
		this._lastHost = 0;
	}

	/** Chooses ports that are free on all addresses in use. */
	async choosePorts() {
		for (;;) {
			const base = 20_000 + 20 * Math.floor(Math.random() * 600);
			const ports = { peer: base, front: base + 1, ready: base + 2, control: base + 3, app: base + 4 };
			const checks = [...Object.values(ports), 9464].flatMap((port) =>
				[1, 2, 3].map((host) => isPortFree(`127.${this._block}.${host}`, port)),
			);
			if ((await Promise.all(checks)).every(Boolean)) {
				this.ports = ports;
				return;
			}
			this._block = chooseBlock();
		}
	}

	/** Adds a machine; `seeds` are the keepers whose control addresses its settings name. */
	add(role, name, { seeds, bootstrap = false, zone = 'montevideo-centro', service = 'ledger' }) {
		this._lastHost += 1;
		const ip = `127.${this._block}.${this._lastHost}`;
		const { peer, front, ready, control, app } = this.ports;
		const machine = new Machine(this, role, ip, {
			...{ nodeName: name, zone, ip, bootstrap, service, seeds },
			portRange: [peer, peer],
			listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
			app: `${ip}:${app}`,
			bounds: { graceS },
			faultTolerance: { machines: 1 },
			...(role === 'keeper' ? { dataDir: path.join(this.folder, `${name}-disk`) } : {}),
		});
		this.machines.push(machine);
		return machine;
	}

	/** Control address of the keeper that is added as the `position`th machine, counted from 1. */
	controlAddress(position) {
		return `127.${this._block}.${position}:${this.ports.control}`;
	}

	/** Ends all processes, and removes the temporary folder. */
	async dispose() {
		await Promise.all(
			this.machines.map(async (machine) => {
				machine.child?.kill('SIGCONT');
				await machine.remove('SIGKILL');
			}),
		);
		if (process.env.KEEP_LOGS === undefined && existsSync(this.folder)) {
			rmSync(this.folder, { recursive: true, force: true });
		}
	}
}

/** Runs a case, and exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
export async function runCase(folder, play) {
	const record = new RunRecord(folder);
	const hasTrouble = process.env.TROUBLE !== '0';
	record.write(`the case runs ${hasTrouble ? 'with' : 'without'} the disruption`);
	const deployment = new Deployment(record);
	let code = 2;
	// Stand-ins that answer late are no sound ones; this shows whether the machine was too busy for them.
	const lag = monitorEventLoopDelay({ resolution: 5 });
	lag.enable();
	try {
		await deployment.choosePorts();
		const breaches = await play(deployment, record, hasTrouble);
		for (const breach of breaches) {
			record.write(`BROKEN: ${breach}`);
		}
		code = breaches.length > 0 ? 1 : 0;
	} catch (error) {
		record.write(`the case could not run: ${error.stack ?? error}`);
	}
	record.write(`the stand-ins were late by ${(lag.max / 1e6 - 5).toFixed(0)} ms at most`);
	await deployment.dispose();
	record.write(`exit code ${code}`);
	process.stdout.write(
		readFileSync(path.join(folder, 'record.txt'), 'utf8').split('\n').slice(-30).join('\n'),
	);
	process.exit(code);
}
