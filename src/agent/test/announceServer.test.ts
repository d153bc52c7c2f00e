import test from 'ava';
import { AnnounceServer } from '../node/announceServer.js';

test('the answer to a withdrawal says that the upstream is leaving', async (t) => {
	let isLeaving = false;
	const status = () => ({
		agentId: 'agent-1',
		agentIncarnation: 'run-1',
		upstreamId: 'up-1',
		isLeaving,
		queuedTasks: 0,
		runningTasks: 0,
	});
	const server = await AnnounceServer.listen('127.0.0.1:0', { status, conflict: () => undefined });
	// As in the agent, the withdrawal takes effect in the tick of the same turn of the event loop.
	server.onDidWithdraw(() => {
		setImmediate(() => {
			isLeaving = true;
		});
	});
	const response = await fetch(`http://${server.address}/v1/upstream`, { method: 'DELETE' });
	t.is(response.status, 202);
	t.like(await response.json(), { isLeaving: true });
	server.dispose();
});
