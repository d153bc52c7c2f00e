// Starts the project's programs as the deploy file does: each on a loopback address of its own, with settings that the
// templates of the deploy file yield.

import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, mkdirSync, createWriteStream } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Milliseconds of the machine's monotonic clock, the same in all processes. */
export function nowMs() {
	return Number(process.hrtime.bigint() / 1000n) / 1000;
}

/** Reads the command line of each role from the deploy file. */
function readCommands() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const commands = {};
	for (const section of text.split(/^\[roles\./m).slice(1)) {
		const [role = '', body = ''] = section.split(/\]\n(.*)/s);
		const run = /^run = "(.*)"$/m.exec(body)?.[1] ?? '';
		const template = /^template = "(.*)"$/m.exec(body)?.[1] ?? '';
		commands[role] = { words: run.split(' '), template };
	}
	return commands;
}

/** Renders a template: values, and a section for each entry of a list, as DEPLOY.md tells. */
export function renderTemplate(template, fields) {
	const lookUp = (name, scope) =>
		name === '.' ? scope : name.split('.').reduce((value, key) => value?.[key], fields);
	const show = (value) => (value === undefined ? '' : Array.isArray(value) ? value.join(',') : String(value));
	return template
		.replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, name, body) => {
			const list = lookUp(name);
			return list
				.map((item, position) =>
					body.replaceAll('{{.}}', show(item)).replaceAll('{{,}}', position < list.length - 1 ? ',' : ''),
				)
				.join('');
		})
		.replace(/\{\{([\w.]+)\}\}/g, (_all, name) => show(lookUp(name)));
}

async function isFree(host, port) {
	const server = createServer();
	const isListening = await new Promise((resolve) => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			resolve(true);
		});
	});
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return isListening;
}

/** A small deployment in a temporary folder. */
export class Deployment {
	constructor(recordFile) {
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this._commands = readCommands();
		this._children = new Set();
		this._record = createWriteStream(recordFile);
		this._startedMs = nowMs();
		this._subnet = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
		this._nextHost = 1;
	}

	/** Chooses ports that are free on the first address. */
	async open() {
		do {
			this.peerPort = 20000 + Math.floor(Math.random() * 10000);
			this.controlPort = this.peerPort + 1;
			this.frontPort = this.peerPort + 2;
			this.readyPort = this.peerPort + 3;
			this.appPort = this.peerPort + 4;
		} while (
			!(await isFree(`${this._subnet}.1`, this.peerPort)) ||
			!(await isFree(`${this._subnet}.1`, this.appPort))
		);
	}

	/** Writes one line of the record. */
	note(event, fields = {}) {
		const at = ((nowMs() - this._startedMs) / 1000).toFixed(3);
		this._record.write(`${at} ${event} ${JSON.stringify(fields)}\n`);
	}

	createAddress() {
		this._nextHost += 1;
		return `${this._subnet}.${this._nextHost}`;
	}

	/** Describes a machine; its programs can be started on it again and again. */
	createMachine(name, role, extra = {}) {
		const ip = extra.ip ?? this.createAddress();
		const folder = path.join(this.folder, name);
		mkdirSync(folder, { recursive: true });
		const fields = {
			nodeName: name,
			ip,
			zone: 'a',
			region: 'r',
			portRange: [this.peerPort, this.peerPort + 15],
			bootstrap: true,
			inTolerance: role === 'keeper',
			dataDir: path.join(folder, 'data'),
			heartbeatMs: 1500,
			listen: {
				front: `${ip}:${this.frontPort}`,
				ready: `${ip}:${this.readyPort}`,
				control: `${ip}:${this.controlPort}`,
			},
			faultTolerance: { machines: 1, zones: 0, regions: 0 },
			bounds: { graceS: 6 },
			...extra,
		};
		return { name, role, ip, folder, fields, child: undefined };
	}

	/** Starts a machine's program with the command of the deploy file. */
	start(machine, change = {}) {
		Object.assign(machine.fields, change);
		const { words, template } = this._commands[machine.role];
		const settings = path.join(machine.folder, 'local.toml');
		const text = readFileSync(path.join(root, template), 'utf8');
		writeFileSync(settings, renderTemplate(text, machine.fields));
		const log = createWriteStream(path.join(machine.folder, 'log.txt'), { flags: 'a' });
		const child = spawn(process.execPath, words.slice(1), {
			cwd: root,
			env: { PATH: process.env.PATH, YUCCAARCH_BOOT: settings },
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		machine.child = child;
		machine.exit = new Promise((resolve) => {
			child.once('exit', (code, signal) => {
				this._children.delete(child);
				this.note('process.exit', { name: machine.name, code, signal });
				resolve({ code, signal });
			});
		});
		this._children.add(child);
		this.note('process.start', { name: machine.name, role: machine.role, ip: machine.ip, pid: child.pid });
		return machine;
	}

	signal(machine, signal) {
		this.note('signal', { name: machine.name, signal });
		machine.child.kill(signal);
	}

	/** The machine loses its disk. */
	wipe(machine) {
		this.note('disk.lost', { name: machine.name });
		rmSync(machine.fields.dataDir, { recursive: true, force: true });
	}

	/** Ends a stand-in process together with the programs. */
	adopt(child) {
		this._children.add(child);
		child.once('exit', () => {
			this._children.delete(child);
		});
	}

	readLog(machine) {
		return readFileSync(path.join(machine.folder, 'log.txt'), 'utf8');
	}

	/** Ends all processes that were started here and removes the temporary folder. */
	async close() {
		for (const child of this._children) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}
		await sleep(200);
		await new Promise((resolve) => {
			this._record.end(resolve);
		});
		if (process.env.KEEP === undefined) {
			rmSync(this.folder, { recursive: true, force: true });
		}
	}
}
