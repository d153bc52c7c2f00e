/** An agent on the wire that answers each start at once. */

import { Disposable } from '../../base/common/disposable.js';
import { defaultConnectionLimits } from '../../services/transport/common/transport.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import type {
	AgentToEntryMessage,
	EntryToAgentMessage,
	TaskEnd,
	TaskOutcome,
} from '../../protocol/common/agentMessages.js';
import type { TaskIdentity } from '../../protocol/common/jobs.js';

/** Decides how a started task ends; undefined leaves it running. */
export type EndTask = (identity: TaskIdentity, payloadJson: string) => TaskEnd | undefined;

/** An agent with one upstream. */
export class FakeAgent extends Disposable {
	readonly received: EntryToAgentMessage[] = [];

	constructor(processId: string, secret: string, address: string, slots: number, endTask: EndTask) {
		super();
		const connector = this._register(
			new FrameConnector(address, {
				identity: { role: 'agent', processId, incarnation: 'run-1' },
				secret,
				limits: defaultConnectionLimits,
			}),
		);
		const { received } = this;
		connector.onDidConnect((connection) => {
			const first: AgentToEntryMessage = {
				kind: 'agentState',
				revision: 1,
				dataCentre: 'dc-1',
				rack: 'rack-1',
				offer: {
					pool: 'ledger',
					slots,
					connections: 64,
					cores: 32,
					memoryBytes: 64 * 2 ** 30,
					accelerators: 0,
				},
				isLeaving: false,
				epoch: 0,
				knownTasks: [],
			};
			connection.send(first);
			connection.onDidReceive((message) => {
				const known = message as EntryToAgentMessage;
				received.push(known);
				if (known.kind !== 'startTasks') {
					return;
				}
				const outcomes: TaskOutcome[] = [];
				for (const { submissionId, tasks } of known.batches) {
					for (const { taskIndex, payloadJson } of tasks) {
						const end = endTask({ submissionId, taskIndex }, payloadJson);
						if (end !== undefined) {
							outcomes.push({ submissionId, taskIndex, end });
						}
					}
				}
				const answer: AgentToEntryMessage = { kind: 'taskOutcomes', revision: 1, outcomes };
				connection.send(answer);
			});
		});
	}
}
