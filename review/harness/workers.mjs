// Stand-ins for workers, all in one process so that one clock tells what ran at the same time. Arguments: a JSON list of
// { name, address, control, cpu } and options. Prints one JSON line for each start, end and overlap.

import { createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';

const { workers, heartbeatMs = 1500, stopMs = 40, enforcesCapacity = true } = JSON.parse(process.argv[2]);
/** Longest lease. */
const maxHoldMs = 1000;

/** Runs at work, by task, at all workers. */
const runsByTask = new Map();

function print(event, fields) {
	process.stdout.write(`${JSON.stringify({ event, ...fields })}\n`);
}

class Worker {
	constructor({ name, address, control, cpu, zone = 'a', labels = [] }) {
		Object.assign(this, { name, address, control, cpu, zone, labels });
		this.id = `i-${name}`;
		this.born = Date.now();
		this.bornMs = performance.now();
		this.seq = 0;
		this.fence = 0;
		this.leaseMs = -1;
		this.runs = new Map();
		this.lastClosed = new Map();
		this.ended = [];
		this.lastEnd = 0;
		this.waiters = new Set();
		this.state = 'ready';
		const [host, port] = address.split(':');
		createServer((incoming, response) => {
			this.receive(incoming, response);
		}).listen(Number(port), host);
		setInterval(() => {
			this.report();
		}, heartbeatMs);
		setTimeout(() => {
			this.report();
		}, 100);
	}

	clock() {
		return Math.floor(performance.now() - this.bornMs);
	}

	used() {
		return [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0);
	}

	report() {
		this.seq += 1;
		const [host, port] = this.control.split(':');
		const body = JSON.stringify({
			...{ service: 's', address: this.address, zone: this.zone, version: 'v1', slots: 8, state: this.state },
			...{ coldRemainingMs: 0, capacity: { cpu: this.cpu, memMb: 65536, gpu: 0 }, labels: this.labels },
			...{ clockMs: this.clock(), seq: this.seq, born: this.born },
		});
		const sent = request({
			...{ host, port, method: 'POST', path: `/Instances.Heartbeat/${this.id}`, agent: false },
			headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
		});
		const timer = setTimeout(() => {
			sent.destroy();
		}, 1000);
		sent.on('error', () => clearTimeout(timer));
		sent.on('response', (response) => {
			response.resume();
			clearTimeout(timer);
		});
		sent.end(body);
	}

	receive(incoming, response) {
		let text = '';
		incoming.setEncoding('utf8');
		incoming.on('data', (chunk) => {
			text += chunk;
		});
		incoming.on('end', () => {
			const body = JSON.parse(text);
			const expected = incoming.headers['x-expect-instance'];
			if (expected !== undefined && expected !== this.id) {
				this.answer(response, 421, {});
				return;
			}
			if ((body.fenceToken ?? 0) < this.fence) {
				this.answer(response, 409, { reason: 'fence' });
				return;
			}
			this.fence = Math.max(this.fence, body.fenceToken ?? 0);
			if (incoming.url === '/run-start') {
				this.start(body, response);
			} else if (incoming.url === '/run-stop') {
				this.stop(body);
				this.answer(response, 200, {});
			} else {
				this.hold(body, response);
			}
		});
	}

	answer(response, status, body) {
		response.statusCode = status;
		response.setHeader('content-type', 'application/json');
		response.end(JSON.stringify({ clockMs: this.clock(), born: this.born, ...body }));
	}

	extend(deadlineMs) {
		if (deadlineMs === undefined) {
			return;
		}
		this.leaseMs = Math.max(this.leaseMs, Math.min(deadlineMs, this.clock() + maxHoldMs));
		clearTimeout(this.leaseTimer);
		this.leaseTimer = setTimeout(
			() => {
				for (const run of [...this.runs.values()]) {
					this.end(run, 'lapsed');
				}
			},
			Math.max(0, this.leaseMs - this.clock()),
		);
	}

	start({ task, run, spec, deadlineMs }, response) {
		if (deadlineMs <= this.clock()) {
			this.answer(response, 409, { reason: 'late' });
			return;
		}
		this.extend(deadlineMs);
		const known = this.runs.get(task);
		if (known?.run === run) {
			this.answer(response, 200, {});
			return;
		}
		if (known !== undefined || run <= (this.lastClosed.get(task) ?? 0)) {
			this.answer(response, 409, { reason: 'old' });
			return;
		}
		const { workMs, cpu } = JSON.parse(spec);
		if (enforcesCapacity && this.used() + cpu > this.cpu) {
			this.answer(response, 409, { reason: 'room' });
			return;
		}
		const started = { task, run, cpu, atMs: performance.now(), isStopping: false };
		this.runs.set(task, started);
		started.timer = setTimeout(() => {
			this.end(started, 'done');
		}, workMs);
		const others = runsByTask.get(task) ?? new Map();
		runsByTask.set(task, others);
		for (const [other, run2] of others) {
			print('overlap', { task, first: other.name, run1: run2.run, second: this.name, run2: run });
			run2.overlapAtMs = started.atMs;
		}
		others.set(this, started);
		print('start', { worker: this.name, task, run });
		this.answer(response, 200, {});
	}

	stop({ task, run }) {
		this.lastClosed.set(task, Math.max(this.lastClosed.get(task) ?? 0, run));
		const known = this.runs.get(task);
		if (known !== undefined && known.run <= run && !known.isStopping) {
			known.isStopping = true;
			setTimeout(() => {
				this.end(known, 'stopped');
			}, stopMs);
		}
	}

	end(run, how) {
		if (this.runs.get(run.task) !== run) {
			return;
		}
		clearTimeout(run.timer);
		this.runs.delete(run.task);
		const others = runsByTask.get(run.task);
		others?.delete(this);
		if (others?.size === 0) {
			runsByTask.delete(run.task);
		}
		this.lastClosed.set(run.task, Math.max(this.lastClosed.get(run.task) ?? 0, run.run));
		this.lastEnd += 1;
		this.ended.push([this.lastEnd, run.task, run.run, how, '']);
		const overlapMs =
			run.overlapAtMs === undefined ? undefined : Math.round(performance.now() - run.overlapAtMs);
		print('end', { worker: this.name, task: run.task, run: run.run, how, overlapMs });
		for (const wake of [...this.waiters]) {
			wake();
		}
	}

	hold({ deadlineMs, lastSeen = 0, waitMs = 0 }, response) {
		this.extend(deadlineMs);
		this.ended = this.ended.filter(([number]) => number > lastSeen);
		let timer;
		const wake = () => {
			this.waiters.delete(wake);
			clearTimeout(timer);
			this.answer(response, 200, {
				running: [...this.runs.values()].map(({ task, run, cpu }) => [task, run, '', 1, cpu]),
				endedRuns: this.ended.slice(0, 500),
			});
		};
		if (this.ended.length > 0 || waitMs === 0) {
			wake();
			return;
		}
		this.waiters.add(wake);
		timer = setTimeout(wake, Math.min(2000, waitMs));
	}
}

for (const settings of workers) {
	new Worker(settings);
}
print('ready', { workers: workers.length });
