/**
 * A keeper in a process of its own that ends itself at a named place. Arguments: one JSON object of {@link ChildPlan}.
 * Prints each acknowledged value on a line, synchronously, so that nothing printed is lost with the process.
 */

import { writeSync } from 'node:fs';
import { FrameListener } from '../../services/transport/node/frameListener.js';
import type { FaultPoint } from '../node/faultPoints.js';
import type { InitialMember } from '../node/replicatedLogOptions.js';
import { ReplicatedLog } from '../node/replicatedLog.js';
import { ListMachine } from './listMachine.js';
import { createOptions } from './testKeepers.js';

export interface ChildPlan {
	readonly processId: string;
	readonly address: string;
	readonly dataFolder: string;
	readonly members: readonly InitialMember[];
	readonly point: FaultPoint;
	/** Visit of the place at which the process ends, from 1, after the first value was acknowledged. */
	readonly visit: number;
}

const plan = JSON.parse(process.argv[2] ?? '') as ChildPlan;
const machine = new ListMachine();
const options = createOptions(plan.processId, plan.address, plan.dataFolder, plan.members, machine);
const { identity, secret, limits } = options.connection;
const listener = await FrameListener.listen(plan.address, { identity, secret, limits });
// As in the daemon: nobody handles messages before the log is open, and peers connect again.
const refusing = listener.onDidConnect((connection) => {
	connection.dispose();
});
let hasAcknowledged = false;
let visits = 0;

const log = await ReplicatedLog.open({
	...options,
	electionTimeoutMs: 150,
	heartbeatIntervalMs: 40,
	faultPoints: (point) => {
		if (point !== plan.point || !hasAcknowledged) {
			return;
		}
		visits += 1;
		if (visits >= plan.visit) {
			process.kill(process.pid, 'SIGKILL');
			// The signal ends the process at once; nothing below may run.
			for (;;) {
				Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1000);
			}
		}
	},
});
refusing.dispose();
listener.onDidConnect((connection) => {
	log.acceptPeer(connection);
});

for (let round = 0; ; round += 1) {
	const values = [0, 1, 2].map((position) => `value-${round}-${position}`);
	await Promise.all(
		values.map(async (value) => {
			const result = await log.propose(Buffer.from(value), 20_000);
			if (result.isOk()) {
				writeSync(1, `${value}\n`);
				hasAcknowledged = true;
			}
		}),
	);
}
