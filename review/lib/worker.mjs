/** A stand-in of the users' workers, which keeps to their pages: leases, fences, run numbers, ends and status reports. */

import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { bounds, send } from './deployment.mjs';

/** Time after an order to stop until the run has ended; the pages allow `stopGraceMs`. */
const stopMs = 10;

/** A worker beside an agent. */
export class Worker {
	/** All runs that were ever started here: task, run, start and end by a clock that all workers share. */
	history = [];
	/** Number of `/hold` calls that have arrived. */
	holdCount = 0;
	#server;
	#sockets = new Set();
	#timer;

	constructor(recorder, agent, { id, cpu = 32_000, labels = ['a', 'r1-1'], enforcesCapacity = true }) {
		this.recorder = recorder;
		this.agent = agent;
		this.id = id;
		this.capacity = { cpu, memMb: 65_536, gpu: 0 };
		this.labels = labels;
		this.enforcesCapacity = enforcesCapacity;
	}

	/** Starts the worker; it knows nothing of an earlier life. */
	async boot() {
		this.bornMs = Date.now();
		this.bootMs = performance.now();
		this.running = new Map();
		this.ended = [];
		this.lastEnd = 0;
		this.sequence = 0;
		this.fence = 0;
		this.leaseUntilMs = 0;
		this.highestRun = new Map();
		this.waiting = new Set();
		this.state = 'ready';
		const [host, port] = this.agent.fields.app.split(':');
		this.#server = createServer((request, response) => this.#handle(request, response));
		this.#server.on('connection', (socket) => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(port), host, resolve);
		});
		const report = () => {
			this.sendReport(this.id, this.createReport());
		};
		report();
		// Until the first acknowledgement, the agent may not listen yet.
		this.#timer = setInterval(report, bounds.heartbeatMs);
	}

	/** Ends the worker and all that runs there. */
	close() {
		clearInterval(this.#timer);
		for (const run of this.running.values()) {
			this.#end(run, 'crashed');
		}
		this.#server?.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	clockMs() {
		return Math.floor(performance.now() - this.bootMs);
	}

	/** The worker's report about itself. */
	createReport() {
		this.sequence += 1;
		return {
			...{
				service: this.agent.fields.service,
				address: this.agent.fields.app,
				zone: 'zone-a',
				version: 'v1',
			},
			...{ slots: 8, state: this.state, coldRemainingMs: 0, capacity: this.capacity, labels: this.labels },
			...{ clockMs: this.clockMs(), born: this.bornMs, seq: this.sequence },
		};
	}

	/** Sends a status report to the agent. */
	async sendReport(id, report) {
		const target = `/Instances.Heartbeat/${id}`;
		const address = this.agent.fields['listen.control'];
		return send('POST', address, target, JSON.stringify(report), { timeoutMs: 1000 });
	}

	#handle(request, response) {
		let text = '';
		request.on('data', (chunk) => {
			text += chunk;
		});
		request.on('end', () => {
			const body = JSON.parse(text);
			const expected = request.headers['x-expect-instance'];
			if (expected !== undefined && expected !== this.id) {
				this.#answer(response, 421, {});
				return;
			}
			const fence = body.fenceToken ?? 0;
			if (fence < this.fence) {
				this.#answer(response, 409, { reason: 'fence' });
				return;
			}
			this.fence = fence;
			this.#carryOut(request.url, body, response);
		});
	}

	#carryOut(url, body, response) {
		switch (url) {
			case '/run-start':
				this.#start(body, response);
				return;
			case '/run-stop':
				this.#stop(body);
				this.#answer(response, 200, {});
				return;
			case '/hold':
				this.#hold(body, response);
				return;
			default:
				this.#answer(response, 400, {});
		}
	}

	#start({ task, run, spec, deadlineMs }, response) {
		if (this.running.get(task)?.run === run) {
			this.#answer(response, 200, {});
			return;
		}
		if (deadlineMs <= this.clockMs()) {
			this.#answer(response, 409, { reason: 'late' });
			return;
		}
		this.#extendLease(deadlineMs);
		if (run <= (this.highestRun.get(task) ?? 0) || this.running.has(task)) {
			this.#answer(response, 409, { reason: 'old' });
			return;
		}
		const { workMs, cpu } = JSON.parse(spec);
		if (this.enforcesCapacity && this.#usedCpu() + cpu > this.capacity.cpu) {
			this.#answer(response, 409, { reason: 'room' });
			return;
		}
		const entry = {
			workMs,
			task,
			run,
			cpu,
			worker: this.id,
			startMs: performance.now(),
			endMs: undefined,
			how: undefined,
		};
		entry.timer = setTimeout(() => this.#end(entry, 'done'), workMs);
		this.running.set(task, entry);
		this.history.push(entry);
		this.recorder.note(`${this.id} starts ${task} run ${run}`);
		this.#answer(response, 200, {});
	}

	#usedCpu() {
		return [...this.running.values()].reduce((sum, { cpu }) => sum + cpu, 0);
	}

	#stop({ task, run }) {
		this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0));
		const entry = this.running.get(task);
		if (entry?.run === run) {
			setTimeout(() => this.#end(entry, 'stopped'), stopMs);
		}
	}

	#end(entry, how) {
		if (entry.how !== undefined) {
			return;
		}
		clearTimeout(entry.timer);
		entry.how = how;
		entry.endMs = performance.now();
		this.running.delete(entry.task);
		this.highestRun.set(entry.task, Math.max(entry.run, this.highestRun.get(entry.task) ?? 0));
		this.lastEnd += 1;
		this.ended.push([this.lastEnd, entry.task, entry.run, how, '']);
		this.recorder.note(`${this.id} ends ${entry.task} run ${entry.run}: ${how}`);
		for (const answer of [...this.waiting]) {
			answer();
		}
	}

	#extendLease(deadlineMs) {
		this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, this.clockMs() + bounds.maxHoldMs));
		clearTimeout(this.leaseTimer);
		this.leaseTimer = setTimeout(
			() => {
				for (const entry of this.running.values()) {
					this.#end(entry, 'lapsed');
				}
			},
			Math.max(0, this.leaseUntilMs - this.clockMs()),
		);
		this.leaseTimer.unref();
	}

	#hold({ lastSeen = 0, deadlineMs, waitMs = 0 }, response) {
		this.holdCount += 1;
		if (deadlineMs !== undefined && deadlineMs > this.clockMs()) {
			this.#extendLease(deadlineMs);
		}
		this.ended = this.ended.filter(([number]) => number > lastSeen);
		const answer = () => {
			clearTimeout(timer);
			this.waiting.delete(answer);
			this.#answer(response, 200, {
				born: this.bornMs,
				running: [...this.running.values()].map(({ task, run, startMs, workMs }) => [
					...[task, run, '', Math.min(99, Math.floor((100 * (performance.now() - startMs)) / workMs))],
				]),
				endedRuns: this.ended.slice(0, 500),
			});
		};
		const timer = setTimeout(answer, Math.min(2000, waitMs));
		if (this.ended.length > 0) {
			answer();
		} else {
			this.waiting.add(answer);
		}
	}

	#answer(response, status, body) {
		response.writeHead(status, { 'content-type': 'application/json' });
		response.end(JSON.stringify({ clockMs: this.clockMs(), ...body }));
	}
}

/** Returns the pairs of runs of one task that were at work at the same time. */
export function findConcurrentRuns(workers) {
	const byTask = new Map();
	for (const entry of workers.flatMap(({ history }) => history)) {
		byTask.set(entry.task, [...(byTask.get(entry.task) ?? []), entry]);
	}
	const faults = [];
	for (const [task, runs] of byTask) {
		runs.sort((left, right) => left.startMs - right.startMs);
		for (const [position, run] of runs.entries()) {
			const other = runs.slice(0, position).find(({ endMs = Infinity }) => endMs > run.startMs);
			if (other !== undefined) {
				const overlapMs = Math.min(other.endMs ?? Infinity, run.endMs ?? Infinity) - run.startMs;
				faults.push(
					`${task}: run ${other.run} on ${other.worker} and run ${run.run} on ${run.worker} at the same time ` +
						`for ${overlapMs.toFixed(1)} ms`,
				);
			}
		}
	}
	return faults;
}
