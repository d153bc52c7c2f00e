/** A small fake of an agent on the wire protocol: it answers every start at once, without an upstream. */

import { Disposable } from '../../base/common/disposable.js';
import {
	defaultConnectionLimits,
	type IConnection,
	type Message,
} from '../../services/transport/common/transport.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import type {
	AgentStateMessage,
	EntryToAgentMessage,
	StartTasksMessage,
	TaskOutcome,
	TaskOutcomesMessage,
	UpstreamOffer,
} from '../../protocol/common/agentMessages.js';

/** How a fake agent presents itself. */
export interface FakeAgentOptions {
	readonly processId: string;
	readonly entryAddress: string;
	readonly sharedSecret: string;
	readonly dataCentre: string;
	readonly offer: UpstreamOffer;
	/** Revision of the tables that it claims to have in force. */
	readonly revision: number;
}

const instantResultJson = '{"ok":true}';

/**
 * Connects to one entry and answers starts as done in the same turn.
 *
 * @example
 * const agent = store.add(new FakeAgent(options));
 */
export class FakeAgent extends Disposable {
	private readonly _connector: FrameConnector;
	/** Tasks that were started. */
	startedTasks = 0;

	constructor(private readonly _options: FakeAgentOptions) {
		super();
		this._connector = this._register(
			new FrameConnector(_options.entryAddress, {
				identity: { role: 'agent', processId: _options.processId, incarnation: 'fake-1' },
				secret: _options.sharedSecret,
				limits: defaultConnectionLimits,
			}),
		);
		this._connector.onDidConnect((connection) => {
			this._greet(connection);
		});
	}

	/** Whether the entry can send starts. */
	get isConnected(): boolean {
		return this._connector.connection !== undefined;
	}

	private _greet(connection: IConnection): void {
		const state: AgentStateMessage = {
			kind: 'agentState',
			revision: this._options.revision,
			dataCentre: this._options.dataCentre,
			rack: 'rack-1',
			offer: this._options.offer,
			isLeaving: false,
			epoch: 0,
			knownTasks: [],
		};
		connection.send(state);
		connection.onDidReceive((message) => {
			this._receive(connection, message);
		});
	}

	private _receive(connection: IConnection, message: Message): void {
		const request = message as EntryToAgentMessage;
		if (request.kind !== 'startTasks') {
			return;
		}
		const outcomes = toOutcomes(request);
		this.startedTasks += outcomes.length;
		const answer: TaskOutcomesMessage = { kind: 'taskOutcomes', revision: request.revision, outcomes };
		connection.send(answer);
	}
}

function toOutcomes(request: StartTasksMessage): TaskOutcome[] {
	return request.batches.flatMap((batch) =>
		batch.tasks.map((task) => ({
			submissionId: batch.submissionId,
			taskIndex: task.taskIndex,
			end: { state: 'done', resultJson: instantResultJson, runMs: 0 },
		})),
	);
}
