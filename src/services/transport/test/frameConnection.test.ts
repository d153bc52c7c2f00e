import test from 'ava';
import { connect, Socket } from 'node:net';
import { Deferred } from '../../../base/common/async.js';
import { DisposableStore } from '../../../base/common/disposable.js';
import { FrameDecoder, FrameEncoder, FrameError } from '../common/frameCodec.js';
import {
	defaultConnectionLimits,
	type IConnection,
	type Message,
	type PeerIdentity,
} from '../common/transport.js';
import { parseAddress } from '../node/address.js';
import type { ConnectionOptions } from '../node/frameConnection.js';
import { FrameConnector } from '../node/frameConnector.js';
import { FrameListener } from '../node/frameListener.js';

const secret = 'a-secret-for-this-test';

function createOptions(role: PeerIdentity['role'], processId: string, ownSecret = secret): ConnectionOptions {
	return {
		identity: { role, processId, incarnation: 'run-1' },
		secret: ownSecret,
		limits: { ...defaultConnectionLimits, heartbeatIntervalMs: 20, silenceTimeoutMs: 400 },
	};
}

test('a stream that arrives byte by byte is decoded into the messages sent', (t) => {
	const encoder = new FrameEncoder(1000);
	const messages = [{ kind: 'a', value: [1, 'two'] }, { kind: 'b' }, { kind: 'a', value: [3, 'four'] }];
	const stream = Buffer.concat(messages.map((message) => encoder.encode(message)));
	const decoder = new FrameDecoder(1000);
	const decoded = [...stream].flatMap((byte) => decoder.push(Buffer.from([byte])));
	t.deepEqual(decoded, messages);
});

test('a frame over the size limit is refused by the encoder and the decoder', (t) => {
	const message = { kind: 'long', text: 'x'.repeat(2000) };
	t.throws(() => new FrameEncoder(1000).encode(message), { instanceOf: FrameError });
	const frame = new FrameEncoder(10_000).encode(message);
	t.throws(() => new FrameDecoder(1000).push(frame), { instanceOf: FrameError });
});

test('a frame that is not CBOR is refused', (t) => {
	const decoder = new FrameDecoder(1000);
	t.throws(() => decoder.push(Buffer.from([0, 0, 0, 2, 0xff, 0xff])), { instanceOf: FrameError });
});

test('after the handshake, messages arrive in the order in which they were sent', async (t) => {
	const store = new DisposableStore();
	const listener = store.add(await FrameListener.listen('127.0.0.1:0', createOptions('entry', 'entry-1')));
	const received: Message[] = [];
	const isDone = new Deferred<undefined>();
	listener.onDidConnect((connection) => {
		t.is(connection.peer.processId, 'agent-1');
		connection.onDidReceive((message) => {
			received.push(message);
			if (received.length === 100) {
				isDone.resolve(undefined);
			}
		});
	});
	const connector = store.add(new FrameConnector(listener.address, createOptions('agent', 'agent-1')));
	connector.onDidConnect((connection) => {
		for (let index = 0; index < 100; index += 1) {
			t.true(connection.send({ kind: `message-${index}` }));
		}
	});
	await isDone.promise;
	t.deepEqual(
		received.map((message) => message.kind),
		Array.from({ length: 100 }, (_, index) => `message-${index}`),
	);
	store.dispose();
});

test('a connection between peers with different secrets opens on neither side', async (t) => {
	const store = new DisposableStore();
	const listener = store.add(await FrameListener.listen('127.0.0.1:0', createOptions('entry', 'entry-1')));
	listener.onDidConnect(() => {
		t.fail('The listener accepted a peer with another secret.');
	});
	const wrong = createOptions('agent', 'agent-1', 'quite-another-secret');
	const connector = store.add(new FrameConnector(listener.address, wrong));
	connector.onDidConnect(() => {
		t.fail('The connector opened a connection to a peer with another secret.');
	});
	const reason = new Deferred<string>();
	listener.onDidRefuse((refusal) => {
		reason.resolve(refusal);
	});
	t.regex(await reason.promise, /secret|closed/);
	store.dispose();
});

test('the connector reconnects after the connection was lost', async (t) => {
	const store = new DisposableStore();
	const listener = store.add(await FrameListener.listen('127.0.0.1:0', createOptions('entry', 'entry-1')));
	const accepted: IConnection[] = [];
	const isBack = new Deferred<undefined>();
	listener.onDidConnect((connection) => {
		accepted.push(connection);
		if (accepted.length === 1) {
			connection.dispose();
			return;
		}
		isBack.resolve(undefined);
	});
	store.add(new FrameConnector(listener.address, createOptions('agent', 'agent-1')));
	await isBack.promise;
	t.is(accepted.length, 2);
	store.dispose();
});

test('a peer that sends no handshake is refused, and a connection with only heartbeats stays open', async (t) => {
	const store = new DisposableStore();
	const listener = store.add(await FrameListener.listen('127.0.0.1:0', createOptions('entry', 'entry-1')));
	const refusal = new Deferred<string>();
	listener.onDidRefuse((reason) => {
		refusal.resolve(reason);
	});
	const opened = new Deferred<IConnection>();
	listener.onDidConnect((connection) => {
		opened.resolve(connection);
	});
	const limits = { ...defaultConnectionLimits, heartbeatIntervalMs: 20, silenceTimeoutMs: 400 };
	store.add(new FrameConnector(listener.address, { ...createOptions('agent', 'agent-1'), limits }));
	const connection = await opened.promise;
	const silent = connect(parseAddress(listener.address));
	silent.on('error', () => undefined);
	t.regex(await refusal.promise, /handshake/i);
	t.true(connection.isOpen);
	silent.destroy();
	store.dispose();
});

test('when the first attempt gets no answer, the connector retries before the kernel would', async (t) => {
	const store = new DisposableStore();
	const listener = store.add(await FrameListener.listen('127.0.0.1:0', createOptions('entry', 'entry-1')));
	let attempts = 0;
	const startMs = performance.now();
	const connector = store.add(
		new FrameConnector(listener.address, createOptions('agent', 'agent-1'), (address) => {
			attempts += 1;
			// A machine that is off sends no answer, so the socket stays in the connecting state.
			return attempts === 1 ? Object.assign(new Socket(), { connecting: true }) : connect(address);
		}),
	);
	const isConnected = new Deferred<undefined>();
	connector.onDidConnect(() => {
		isConnected.resolve(undefined);
	});

	await isConnected.promise;
	t.true(performance.now() - startMs < 900, 'connected before the kernel retransmits the SYN after 1 s');
	store.dispose();
});

test('a message whose handler fails closes just its connection, with the reason', async (t) => {
	const store = new DisposableStore();
	const listener = store.add(await FrameListener.listen('127.0.0.1:0', createOptions('entry', 'entry-1')));
	const received: string[] = [];
	const closeReason = new Deferred<string>();
	const isOtherDone = new Deferred<undefined>();
	listener.onDidConnect((connection) => {
		connection.onDidReceive((message) => {
			if (message.kind === 'malformed') {
				throw new Error('no tasks');
			}
			received.push(connection.peer.processId);
			isOtherDone.resolve(undefined);
		});
		connection.onDidClose((reason) => {
			closeReason.resolve(reason);
		});
	});
	const malformed = store.add(new FrameConnector(listener.address, createOptions('agent', 'agent-1')));
	const other = store.add(new FrameConnector(listener.address, createOptions('agent', 'agent-2')));
	const otherConnection = new Deferred<IConnection>();
	other.onDidConnect((connection) => {
		otherConnection.resolve(connection);
	});
	const malformedConnection = new Deferred<IConnection>();
	malformed.onDidConnect((connection) => {
		malformedConnection.resolve(connection);
	});
	(await malformedConnection.promise).send({ kind: 'malformed' });
	t.regex(await closeReason.promise, /"malformed" could not be handled: no tasks/);
	(await otherConnection.promise).send({ kind: 'readable' });
	await isOtherDone.promise;
	t.deepEqual(received, ['agent-2']);
	store.dispose();
});

// Guards against a timeout that is only noticed at the next heartbeat.
test('a silent peer counts as lost when the silence timeout ends, not at the next heartbeat', async (t) => {
	const store = new DisposableStore();
	const heartbeatIntervalMs = 3000;
	const silenceTimeoutMs = 3200;
	const silent = createOptions('entry', 'entry-1');
	const listener = store.add(
		await FrameListener.listen('127.0.0.1:0', {
			...silent,
			limits: { ...silent.limits, heartbeatIntervalMs: 3_600_000, silenceTimeoutMs: 3_600_000 },
		}),
	);
	const watching = createOptions('agent', 'agent-1');
	const connector = store.add(
		new FrameConnector(listener.address, {
			...watching,
			limits: { ...watching.limits, heartbeatIntervalMs, silenceTimeoutMs },
		}),
	);
	const silenceMs = new Deferred<number>();
	connector.onDidConnect((connection) => {
		connection.onDidClose(() => {
			silenceMs.resolve(connection.silenceMs);
		});
	});
	const measuredMs = await silenceMs.promise;
	t.true(measuredMs >= silenceTimeoutMs, `closed after a silence of ${measuredMs} ms`);
	t.true(measuredMs < silenceTimeoutMs + heartbeatIntervalMs / 2, `closed after ${measuredMs} ms`);
	store.dispose();
});
