/** Keepers of one group in one process, over loopback, with real files. */

import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { waitFor } from '../../base/common/async.js';
import { monotonicClock } from '../../base/common/clock.js';
import { nullLogService } from '../../services/log/common/log.js';
import {
	defaultConnectionLimits,
	type IConnection,
	type PeerIdentity,
} from '../../services/transport/common/transport.js';
import { FrameListener } from '../../services/transport/node/frameListener.js';
import type { InitialMember, ReplicatedLogOptions } from '../node/replicatedLogOptions.js';
import { ReplicatedLog } from '../node/replicatedLog.js';
import { ListMachine } from './listMachine.js';

const secret = 'a-secret-for-these-tests';

/** Time within which a group under test must do what is waited for; long, because the machine is shared. */
export const patienceMs = 20_000;

export type OptionChanges = Partial<ReplicatedLogOptions>;

/** Makes the options of a keeper that listens on an address. */
export function createOptions(
	processId: string,
	address: string,
	dataFolder: string,
	initialMembers: readonly InitialMember[],
	stateMachine: ListMachine,
): ReplicatedLogOptions {
	const identity: PeerIdentity = { role: 'keeper', processId, incarnation: String(Math.random()) };
	return {
		dataFolder,
		processId,
		address,
		initialMembers,
		stateMachine,
		connection: { identity, secret, limits: defaultConnectionLimits },
		electionTimeoutMs: 300,
		heartbeatIntervalMs: 75,
		clock: monotonicClock,
		log: nullLogService,
		random: Math.random,
	};
}

export class TestKeeper {
	machine = new ListMachine();
	log: ReplicatedLog | undefined;
	private _early: IConnection[] = [];

	private constructor(
		readonly processId: string,
		readonly dataFolder: string,
		private _listener: FrameListener,
	) {
		this._accept();
	}

	static async create(processId: string, root: string): Promise<TestKeeper> {
		const listener = await listen(processId, '127.0.0.1:0');
		return new TestKeeper(processId, path.join(root, processId), listener);
	}

	get address(): string {
		return this._listener.address;
	}

	get running(): ReplicatedLog {
		if (this.log === undefined) {
			throw new Error(`${this.processId} does not run.`);
		}
		return this.log;
	}

	async open(members: readonly InitialMember[], changes: OptionChanges = {}): Promise<void> {
		this.machine = new ListMachine();
		const options = createOptions(this.processId, this.address, this.dataFolder, members, this.machine);
		const log = await ReplicatedLog.open({ ...options, ...changes });
		this.log = log;
		for (const connection of this._early.splice(0)) {
			log.acceptPeer(connection);
		}
	}

	async stop(): Promise<void> {
		const { address } = this._listener;
		this._listener.dispose();
		await this.log?.close();
		this.log = undefined;
		this._early = [];
		this._stoppedAddress = address;
	}

	async restart(members: readonly InitialMember[], changes: OptionChanges = {}): Promise<void> {
		this._listener = await listen(this.processId, this._stoppedAddress);
		this._accept();
		await this.open(members, changes);
	}

	private _stoppedAddress = '';

	private _accept(): void {
		this._listener.onDidConnect((connection) => {
			if (this.log === undefined) {
				this._early.push(connection);
				return;
			}
			this.log.acceptPeer(connection);
		});
	}
}

export class TestGroup {
	private constructor(
		readonly root: string,
		readonly keepers: TestKeeper[],
	) {}

	static async start(size: number, changes: OptionChanges = {}): Promise<TestGroup> {
		const root = await mkdtemp(path.join(tmpdir(), 'replica-'));
		const names = Array.from({ length: size }, (_, position) => `keeper-${position}`);
		const keepers = await Promise.all(names.map((name) => TestKeeper.create(name, root)));
		const group = new TestGroup(root, keepers);
		await Promise.all(keepers.map((keeper) => keeper.open(group.members, changes)));
		return group;
	}

	get members(): InitialMember[] {
		return this.keepers.map(({ processId, address }) => ({ processId, address }));
	}

	async leader(): Promise<TestKeeper> {
		let found: TestKeeper | undefined;
		await waitFor('a keeper leads', patienceMs, () => {
			found = this.keepers.find((keeper) => keeper.log?.status.role === 'leader');
			return found !== undefined;
		});
		return found!;
	}

	async followers(): Promise<TestKeeper[]> {
		const leader = await this.leader();
		return this.keepers.filter((keeper) => keeper !== leader && keeper.log !== undefined);
	}

	async propose(keeper: TestKeeper, value: string): Promise<string> {
		const result = await keeper.running.propose(Buffer.from(value), patienceMs);
		return Buffer.from(result.unwrap()).toString();
	}

	async waitForValues(keeper: TestKeeper, count: number): Promise<void> {
		await waitFor(`${keeper.processId} has ${count} values`, patienceMs, () => {
			return keeper.machine.values.length >= count;
		});
	}

	async stop(): Promise<void> {
		await Promise.all(this.keepers.map((keeper) => keeper.stop()));
		await rm(this.root, { recursive: true, force: true });
	}
}

function listen(processId: string, address: string): Promise<FrameListener> {
	return FrameListener.listen(address, {
		identity: { role: 'keeper', processId, incarnation: String(Math.random()) },
		secret,
		limits: defaultConnectionLimits,
	});
}
