/**
 * A worker as PROTOCOL.md describes it: guards its capacity, checks fence numbers and leases, lists runs and their ends, and
 * reports to the agent on its machine. The `spec` of a task is JSON with `workMs`, how long it really takes.
 */

import { performance } from 'node:perf_hooks';
import { createServer } from 'node:http';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { call } from './http.mjs';

const heartbeatMs = 1500;
const maxHoldMs = 1000;
/** Time that a stop takes; `stopGraceMs` of the pages at most. */
const stopMs = 45;
const leaseCheckMs = 10;

export class Worker {
	/**
	 * @param machine the machine of the agent
	 * @param runs list to which each run is added: task, run, worker, startMs, endMs and how it ended
	 */
	constructor(machine, runs, { id, cpu, record }) {
		this._machine = machine;
		this._runs = runs;
		this._record = record;
		this.id = id;
		this._capacity = { cpu, memMb: 65_536, gpu: 0 };
		this._bornMs = Date.now();
		this._startedMs = performance.now();
		this._running = new Map();
		this._highestRuns = new Map();
		this._ended = [];
		this._lastEnd = 0;
		this._fence = 0;
		this._leaseUntilMs = 0;
		this._sequence = 0;
		this._waiting = new Set();
		this.state = 'ready';
		this._server = createServer((request, response) => this._receive(request, response));
	}

	async start() {
		const [host, port] = this._machine.fields.app.split(':');
		await new Promise((resolve) => {
			this._server.listen(Number(port), host, resolve);
		});
		this._timers = [
			setInterval(() => this._sendHeartbeat(), heartbeatMs),
			setInterval(() => this._endLapsed(), leaseCheckMs),
		];
		this._sendHeartbeat();
	}

	dispose() {
		for (const timer of this._timers ?? []) {
			clearInterval(timer);
		}
		this._server.close();
		this._server.closeAllConnections();
	}

	get _clockMs() {
		return Math.floor(performance.now() - this._startedMs);
	}

	_sendHeartbeat() {
		this._sequence += 1;
		const { app, listen, service, zone } = this._machine.fields;
		const body = {
			...{ service, address: app, zone, version: 'v1', slots: 8, state: this.state, coldRemainingMs: 0 },
			...{ capacity: this._capacity, labels: ['a', 'r1-1'], clockMs: this._clockMs, seq: this._sequence },
			born: this._bornMs,
		};
		void call('POST', listen.control, `/Instances.Heartbeat/${this.id}`, { body });
	}

	_receive(request, response) {
		let text = '';
		request.on('data', (chunk) => {
			text += chunk;
		});
		request.on('end', () => {
			const expected = request.headers['x-expect-instance'];
			if (expected !== undefined && expected !== this.id) {
				this._answer(response, 421, {});
				return;
			}
			const order = JSON.parse(text);
			if ((order.fenceToken ?? 0) < this._fence) {
				this._answer(response, 409, { reason: 'fence' });
				return;
			}
			this._fence = order.fenceToken ?? 0;
			switch (request.url) {
				case '/run-start':
					this._start(order, response);
					return;
				case '/run-stop':
					this._stop(order, response);
					return;
				case '/hold':
					this._hold(order, response);
					return;
				default:
					this._answer(response, 400, {});
			}
		});
	}

	_answer(response, status, body) {
		response.writeHead(status, { 'content-type': 'application/json' });
		response.end(JSON.stringify({ clockMs: this._clockMs, ...body }));
	}

	_extendLease(deadlineMs) {
		if (deadlineMs !== undefined) {
			const limitMs = this._clockMs + maxHoldMs;
			this._leaseUntilMs = Math.max(this._leaseUntilMs, Math.min(deadlineMs, limitMs));
		}
	}

	_start({ task, run, spec, deadlineMs }, response) {
		const known = this._running.get(task);
		if (known?.row.run === run) {
			this._extendLease(deadlineMs);
			this._answer(response, 200, {});
			return;
		}
		if (run <= (this._highestRuns.get(task) ?? 0) || known !== undefined) {
			this._extendLease(deadlineMs);
			this._answer(response, 409, { reason: 'old' });
			return;
		}
		if (deadlineMs <= this._clockMs) {
			this._answer(response, 409, { reason: 'late' });
			return;
		}
		const { workMs, cpu } = JSON.parse(spec);
		const usedCpu = [...this._running.values()].reduce((sum, each) => sum + each.cpu, 0);
		this._extendLease(deadlineMs);
		if (usedCpu + cpu > this._capacity.cpu) {
			this._answer(response, 409, { reason: 'room' });
			return;
		}
		const row = { task, run, worker: this.id, startMs: this._record.nowMs, endMs: undefined, how: undefined };
		this._runs.push(row);
		const timer = setTimeout(() => this._end(task, 'done'), workMs);
		this._running.set(task, { row, cpu, workMs, timer, startedMs: performance.now(), isStopping: false });
		this._answer(response, 200, {});
	}

	_stop({ task, run }, response) {
		this._highestRuns.set(task, Math.max(run, this._highestRuns.get(task) ?? 0));
		const known = this._running.get(task);
		if (known?.row.run === run && !known.isStopping) {
			known.isStopping = true;
			clearTimeout(known.timer);
			known.timer = setTimeout(() => this._end(task, 'stopped'), stopMs);
		}
		this._answer(response, 200, {});
	}

	_hold({ deadlineMs, lastSeen, waitMs = 0 }, response) {
		this._extendLease(deadlineMs);
		this._ended = this._ended.filter(([number]) => number > lastSeen);
		const answer = () => {
			clearTimeout(timer);
			this._waiting.delete(answer);
			const running = [...this._running.values()].map(({ row, workMs, startedMs }) => {
				const percent = Math.min(99, Math.floor((100 * (performance.now() - startedMs)) / workMs));
				return [row.task, row.run, '', percent, 0];
			});
			this._answer(response, 200, { born: this._bornMs, running, endedRuns: this._ended.slice(0, 500) });
		};
		const timer = setTimeout(answer, this._ended.length > 0 ? 0 : Math.min(waitMs, 2000));
		this._waiting.add(answer);
	}

	_end(task, how) {
		const known = this._running.get(task);
		if (known === undefined) {
			return;
		}
		clearTimeout(known.timer);
		this._running.delete(task);
		const { row } = known;
		row.endMs = this._record.nowMs;
		row.how = how;
		this._highestRuns.set(task, Math.max(row.run, this._highestRuns.get(task) ?? 0));
		this._lastEnd += 1;
		this._ended.push([this._lastEnd, task, row.run, how, '']);
		for (const answer of [...this._waiting]) {
			answer();
		}
	}

	_endLapsed() {
		if (this._running.size > 0 && this._clockMs > this._leaseUntilMs) {
			for (const task of [...this._running.keys()]) {
				this._end(task, 'lapsed');
			}
		}
	}
}

/** Returns the pairs of runs of one task that were at work at the same time. */
export function findConcurrentRuns(runs) {
	const byTask = new Map();
	for (const run of runs) {
		byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
	}
	const pairs = [];
	for (const rows of byTask.values()) {
		for (const [position, left] of rows.entries()) {
			for (const right of rows.slice(position + 1)) {
				const fromMs = Math.max(left.startMs, right.startMs);
				const toMs = Math.min(left.endMs ?? Infinity, right.endMs ?? Infinity);
				if (toMs > fromMs) {
					pairs.push({ left, right, ms: toMs - fromMs });
				}
			}
		}
	}
	return pairs;
}

/** Writes all runs to the record. */
export function writeRuns(runs, record) {
	for (const { task, run, worker, startMs, endMs, how } of runs) {
		const end = endMs === undefined ? 'still at work' : `${(endMs / 1000).toFixed(3)} ${how}`;
		record.write(`run ${task} #${run} at ${worker}: ${(startMs / 1000).toFixed(3)} to ${end}`);
	}
}
