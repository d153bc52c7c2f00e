import test from 'ava';
import { monotonicClock } from '../../../base/common/clock.js';
import { nullLogService } from '../../../services/log/common/log.js';
import { defaultConnectionLimits } from '../../../services/transport/common/transport.js';
import { ClusterClient } from '../clusterClient.js';

test('a process that reads a member with a port out of range goes on following the members', async (t) => {
	const identity = { role: 'entry', processId: 'entry-1', incarnation: '1' } as const;
	const client = new ClusterClient({
		connection: { identity, secret: 'a-secret-for-this-test', limits: defaultConnectionLimits },
		ownAddress: '127.0.0.1:1',
		followsRouting: true,
		clock: monotonicClock,
		log: nullLogService,
	});
	t.teardown(() => {
		client.dispose();
	});
	const good = { processId: 'entry-2', address: '127.0.0.1:2' };
	const odd = { processId: 'entry-3', address: '127.0.0.1:99999' };
	client.mergeView({ keepers: [], entries: [{ ...odd, silentMs: 0 }] });
	client.mergeView({ keepers: [], entries: [{ ...good, silentMs: 0 }] });
	// The maintenance, at intervals of 250 ms, must not throw either.
	await new Promise((resolve) => setTimeout(resolve, 300));
	t.deepEqual(client.entries, [good]);
});
