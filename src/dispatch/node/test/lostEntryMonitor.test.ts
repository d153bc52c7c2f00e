import test from 'ava';
import { getLatestStopMs, LostEntryMonitor, reconnectGraceMs } from '../lostEntryMonitor.js';

/** Least time after which callers come back, and the time that a stop takes. */
const callerReturnMs = 1300;
const stopMs = 50;

test('an entry has less time to reconnect the longer it was silent, and none after the limit', async (t) => {
	const monitor = new LostEntryMonitor();
	const expired: string[] = [];
	const isDone = new Promise<void>((resolve) => {
		monitor.onDidExpire((entryKey) => {
			expired.push(entryKey);
			if (expired.length === 4) {
				resolve();
			}
		});
	});
	const lostMs = performance.now();
	monitor.handleLost('reset', 0);
	monitor.handleLost('silent', 800);
	monitor.handleLost('paused', 3000);
	monitor.handleLost('reset late', 740);
	await isDone;
	t.deepEqual(expired, ['paused', 'silent', 'reset late', 'reset']);
	t.true(performance.now() - lostMs >= reconnectGraceMs - 5);
	monitor.dispose();
});

test('runs have ended before callers come back, and a connection is not kept longer than its timeout needs', (t) => {
	t.true(getLatestStopMs(800) + stopMs <= callerReturnMs - 200);
	t.true(
		getLatestStopMs(800) >= 800 + 100,
		'an entry that comes back after the silence timeout can reconnect',
	);
	t.is(getLatestStopMs(200), 200 + reconnectGraceMs);
	t.is(getLatestStopMs(2000), 2000);
});
