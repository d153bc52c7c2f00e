// A small deployment with workers, and clients that hand in jobs through a balancer.

import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { call, createConfig, Operator } from './client.mjs';

const workersFile = fileURLToPath(new URL('workers.mjs', import.meta.url));
/** Pause before a job is sent again. */
const resendMs = 1300;

/** Starts three keepers, entries, and agents with their workers; puts the first config in force. */
export async function startSystem(deployment, { entryCount, agentCount, cpu, workerOptions = {}, config }) {
	await deployment.open();
	const cores = [1, 2, 3].map((number) => deployment.createMachine(`core-${number}`, 'keeper'));
	const seeds = cores.map((core) => core.fields.listen.control);
	const edges = Array.from({ length: entryCount }, (_each, position) =>
		deployment.createMachine(`edge-${position + 1}`, 'entry'),
	);
	const sides = Array.from({ length: agentCount }, (_each, position) => {
		const ip = deployment.createAddress();
		const extra = { ip, app: `${ip}:${deployment.appPort}`, service: 's' };
		return deployment.createMachine(`side-${position + 1}`, 'agent', extra);
	});
	for (const machine of [...cores, ...edges, ...sides]) {
		deployment.start(machine, { seeds });
	}
	const workers = sides.map(({ name, fields }) => ({
		...{ name, address: fields.app, control: fields.listen.control, cpu },
	}));
	const child = spawn(process.execPath, [workersFile, JSON.stringify({ workers, ...workerOptions })], {
		stdio: ['pipe', 'pipe', 'inherit'],
	});
	deployment.adopt(child);
	const seen = { starts: 0, overlaps: [], listeners: [] };
	createInterface({ input: child.stdout }).on('line', (line) => {
		const { event, ...fields } = JSON.parse(line);
		deployment.note(`worker.${event}`, fields);
		seen.starts += event === 'start' ? 1 : 0;
		if (event === 'overlap') {
			seen.overlaps.push(fields);
		}
		for (const listener of seen.listeners) {
			listener(event, fields);
		}
	});
	const operator = new Operator(deployment, [...seeds]);
	if ((await operator.put(config ?? createConfig(1), 12_000))?.status !== 200) {
		throw new Error('The first config was not acknowledged.');
	}
	// Traffic starts some seconds after the machines do.
	await sleep(3000);
	return { cores, edges, sides, seeds, operator, workers: child, seen };
}

/** The balancer: checks readiness once a second and leaves out a node after two misses. */
export class Balancer {
	constructor(edges) {
		this._edges = edges;
		this._misses = new Map(edges.map((edge) => [edge, 0]));
		setInterval(() => {
			for (const edge of edges) {
				call('GET', edge.fields.listen.ready, '/ready', { waitMs: 900 }).then((answer) => {
					this._misses.set(edge, answer?.status === 200 ? 0 : this._misses.get(edge) + 1);
				});
			}
		}, 1000);
	}

	isInRotation(edge) {
		return this._misses.get(edge) < 2;
	}

	/** Chooses a node for a new channel; a retry reaches another one. */
	choose(preferred, excluded) {
		if (preferred !== undefined && this.isInRotation(preferred)) {
			return preferred;
		}
		const ready = this._edges.filter((edge) => this.isInRotation(edge));
		const others = ready.filter((edge) => edge !== excluded);
		const [choices = this._edges] = [others, ready].filter((list) => list.length > 0);
		return choices[Math.floor(Math.random() * choices.length)];
	}
}

/** Hands in a job that needn't be kept, and again after no answer, a broken channel, 502 or 504. */
export async function sendJob(deployment, balancer, kind, counts) {
	const id = randomBytes(8).toString('hex');
	const { workMs, cpu, count, estimateMs, limitMs, attempts = 2 } = kind;
	const body = {
		bestEffort: true,
		spec: JSON.stringify({ workMs, cpu }),
		steps: [{ count, cpu, memMb: 64, estimateMs }],
	};
	let edge;
	for (let attempt = 1; attempt <= attempts; attempt += 1) {
		edge = balancer.choose(attempt === 1 ? kind.edge : undefined, edge);
		const answer = await call('POST', edge.fields.listen.front, `/x/${id}`, {
			body,
			headers: { host: 'a.example', 'x-deadline-ms': String(limitMs) },
			waitMs: limitMs,
		});
		deployment.note('client', { id, attempt, node: edge.name, status: answer?.status ?? 'no answer' });
		const outcome = `${kind.name} ${answer?.status ?? 'no answer'}`;
		counts[outcome] = (counts[outcome] ?? 0) + 1;
		if (answer !== undefined && answer.status !== 502 && answer.status !== 504) {
			return;
		}
		await sleep(resendMs);
	}
}
