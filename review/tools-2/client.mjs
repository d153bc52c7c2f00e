/** A client that hands in a job, and sends it again as PROTOCOL.md says. */

import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { sleep } from './deployment.mjs';

/** `resendMs` of the sites. */
export const resendMs = 1300;

/** Creates a job of `count` tasks that needs not be kept. The worker reads the real duration from its `spec`. */
export function createJob({ count = 1, cpu = 3100, estimateMs, workMs }) {
	return {
		id: randomBytes(8).toString('hex'),
		body: {
			spec: JSON.stringify({ workMs, cpu }),
			bestEffort: true,
			steps: [{ count, cpu, memMb: 64, estimateMs }],
		},
	};
}

/** Sends a job once. Resolves to the status, or to 0 without a response; `breakAfterMs` resets the channel. */
export function postJob(
	entry,
	job,
	{ deadlineMs, breakAfterMs = Infinity, prefix = '/one/', host = 'one.example' },
) {
	const [address, port] = entry.fields.listen.front.split(':');
	const content = JSON.stringify(job.body);
	return new Promise((resolve) => {
		const outgoing = request({
			...{ host: address, port, method: 'POST', path: `${prefix}${job.id}`, agent: false },
			headers: {
				host,
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(content),
				'x-deadline-ms': String(deadlineMs),
			},
		});
		let isSettled = false;
		const settle = (status, reason, retryAfter) => {
			if (!isSettled) {
				isSettled = true;
				timers.forEach(clearTimeout);
				resolve({ status, reason, retryAfter });
			}
		};
		const timers = [
			setTimeout(() => {
				outgoing.destroy();
				settle(0, 'time limit');
			}, deadlineMs),
		];
		if (breakAfterMs < deadlineMs) {
			timers.push(
				setTimeout(() => {
					outgoing.socket?.resetAndDestroy();
					settle(0, 'channel reset');
				}, breakAfterMs),
			);
		}
		outgoing.on('error', (error) => settle(0, error.code ?? error.message));
		outgoing.on('response', (response) => {
			response.resume();
			response.on('error', (error) => settle(0, error.message));
			response.on('aborted', () => settle(0, 'broken off'));
			response.on('end', () => settle(response.statusCode, 'answered', response.headers['retry-after']));
		});
		outgoing.end(content);
	});
}

/** Hands a job in at one entry and, after no response, 502 or 504, once more at another one `resendMs` later. */
export async function handIn(record, entries, job, options) {
	const [first, second] = entries;
	record.write(`client sends ${job.id} to ${first.name}`);
	const answer = await postJob(first, job, options);
	record.write(`client has ${job.id} from ${first.name}: ${answer.status} ${answer.reason}`);
	if (![0, 502, 504].includes(answer.status) || second === undefined) {
		return [answer];
	}
	await sleep(resendMs);
	record.write(`client sends ${job.id} again, to ${second.name}`);
	const again = await postJob(second, job, { ...options, breakAfterMs: Infinity });
	record.write(`client has ${job.id} from ${second.name}: ${again.status} ${again.reason}`);
	return [answer, again];
}
