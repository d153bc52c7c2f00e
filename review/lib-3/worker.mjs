/** Stand-in of a worker: guards its capacity, holds a lease, and lists running and ended runs, as the pages say. */

import { Buffer } from 'node:buffer';
import { createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

const maxHoldMs = 1000;
/** A stop may take 50 ms at most. */
const defaultStopMs = 40;
const heartbeatMs = 1500;

export class Worker {
	/**
	 * @param options id, machine, service, zone, address (of the worker), control (of its agent), capacity, labels,
	 *   getWorkMs(task, run): duration of a run; onEvent(fields): called for all that is recorded
	 */
	constructor(options) {
		this.options = options;
		this.stopMs = options.stopMs ?? defaultStopMs;
		this.boot();
	}

	boot() {
		this.bornMs = Date.now();
		this.startedAtMs = performance.now();
		this.fence = 0;
		this.deadlineMs = 0;
		this.runs = new Map();
		this.lastEnded = new Map();
		this.ended = [];
		this.lastEnd = 0;
		this.sequence = 0;
		this.state = 'ready';
		this.holders = new Set();
		this.sockets = new Set();
		this.server = createServer((req, res) => this.receive(req, res));
		this.server.on('connection', (socket) => {
			this.sockets.add(socket);
			socket.on('close', () => this.sockets.delete(socket));
		});
		const [host, port] = this.options.address.split(':');
		this.server.listen(Number(port), host);
		this.beat();
		this.beatTimer = setInterval(() => this.beat(), heartbeatMs);
		this.leaseTimer = setInterval(() => this.checkLease(), 10);
	}

	/** Ends the worker at once, as a crash does. */
	close() {
		clearInterval(this.beatTimer);
		clearInterval(this.leaseTimer);
		for (const task of [...this.runs.keys()]) {
			this.end(task, 'crashed');
		}
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	clockMs() {
		return Math.floor(performance.now() - this.startedAtMs);
	}

	record(fields) {
		this.options.onEvent({ worker: this.options.id, ...fields });
	}

	checkLease() {
		if (this.runs.size > 0 && this.clockMs() > this.deadlineMs) {
			for (const task of [...this.runs.keys()]) {
				this.end(task, 'lapsed');
			}
		}
	}

	beat() {
		this.sequence += 1;
		const { id, service, address, zone, capacity, labels, control } = this.options;
		const body = {
			service,
			address,
			zone,
			version: 'v1',
			slots: 8,
			state: this.state,
			coldRemainingMs: 0,
			capacity,
			labels,
			clockMs: this.clockMs(),
			seq: this.sequence,
			born: this.bornMs,
		};
		post(control, `/Instances.Heartbeat/${id}`, body);
	}

	receive(req, res) {
		let text = '';
		req.on('data', (chunk) => {
			text += chunk;
		});
		req.on('end', () => {
			let body;
			try {
				body = JSON.parse(text);
			} catch {
				this.answer(res, 400, {});
				return;
			}
			const expected = req.headers['x-expect-instance'];
			if (expected !== undefined && expected !== this.options.id) {
				this.answer(res, 421, {});
				return;
			}
			const token = body.fenceToken ?? 0;
			if (token < this.fence) {
				this.answer(res, 409, { reason: 'fence' });
				return;
			}
			this.fence = token;
			if (req.url === '/run-start') {
				this.start(body, res);
			} else if (req.url === '/run-stop') {
				this.stop(body, res);
			} else if (req.url === '/hold') {
				this.hold(body, res);
			} else {
				this.answer(res, 404, {});
			}
		});
	}

	answer(res, status, body) {
		const text = JSON.stringify({ clockMs: this.clockMs(), born: this.bornMs, ...body });
		res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
		res.end(text);
	}

	extendLease(deadlineMs) {
		if (deadlineMs !== undefined) {
			this.deadlineMs = Math.max(this.deadlineMs, Math.min(deadlineMs, this.clockMs() + maxHoldMs));
		}
	}

	start({ task, run, spec, deadlineMs }, res) {
		const known = this.runs.get(task);
		if (known?.run === run) {
			this.answer(res, 200, {});
			return;
		}
		if (deadlineMs <= this.clockMs()) {
			this.answer(res, 409, { reason: 'late' });
			return;
		}
		this.extendLease(deadlineMs);
		if ((this.lastEnded.get(task) ?? 0) >= run || (known !== undefined && known.run > run)) {
			this.answer(res, 409, { reason: 'old' });
			return;
		}
		const needs = this.options.getNeeds(spec);
		const used = [...this.runs.values()].reduce((sum, each) => sum + each.cpu, 0);
		if (known !== undefined || used + needs.cpu > this.options.capacity.cpu) {
			this.answer(res, 409, { reason: 'room' });
			return;
		}
		const workMs = this.options.getWorkMs(spec, task);
		const timer = setTimeout(() => this.end(task, 'done'), workMs);
		this.runs.set(task, {
			run,
			cpu: needs.cpu,
			timer,
			workMs,
			startedAtMs: performance.now(),
			isStopping: false,
		});
		this.record({ event: 'start', task, run, spec });
		this.answer(res, 200, {});
	}

	stop({ task, run }, res) {
		this.lastEnded.set(task, Math.max(this.lastEnded.get(task) ?? 0, run));
		const known = this.runs.get(task);
		if (known !== undefined && known.run === run && !known.isStopping) {
			known.isStopping = true;
			clearTimeout(known.timer);
			known.timer = setTimeout(() => this.end(task, 'stopped'), this.stopMs);
		}
		this.answer(res, 200, {});
	}

	end(task, how) {
		const known = this.runs.get(task);
		if (known === undefined) {
			return;
		}
		clearTimeout(known.timer);
		this.runs.delete(task);
		this.lastEnded.set(task, Math.max(this.lastEnded.get(task) ?? 0, known.run));
		this.lastEnd += 1;
		this.ended.push([this.lastEnd, task, known.run, how, '']);
		this.record({ event: 'end', task, run: known.run, how });
		for (const wake of [...this.holders]) {
			wake();
		}
	}

	hold({ lastSeen, deadlineMs, waitMs }, res) {
		this.ended = this.ended.filter(([number]) => number > (lastSeen ?? 0));
		this.extendLease(deadlineMs);
		const reply = () => {
			const nowMs = performance.now();
			const running = [...this.runs].map(([task, { run, workMs, startedAtMs }]) => [
				task,
				run,
				'',
				Math.min(99, Math.floor((100 * (nowMs - startedAtMs)) / workMs)),
			]);
			this.answer(res, 200, { running, endedRuns: this.ended.slice(0, 500) });
		};
		if (this.ended.length > 0 || !(waitMs > 0)) {
			reply();
			return;
		}
		const wake = () => {
			clearTimeout(timer);
			this.holders.delete(wake);
			reply();
		};
		const timer = setTimeout(wake, Math.min(2000, waitMs));
		this.holders.add(wake);
	}
}

function post(address, path, body) {
	const [host, port] = address.split(':');
	const text = JSON.stringify(body);
	const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
	const req = request({
		host,
		port: Number(port),
		path,
		method: 'POST',
		headers,
		agent: false,
		timeout: 1000,
	});
	req.on('error', () => undefined);
	req.on('timeout', () => req.destroy());
	req.on('response', (res) => res.resume());
	req.end(text);
}
