/** Metrics of an agent, derived from the outputs of its ticks and from its tables. */

import type { IMetricsService } from '../../services/metrics/common/metrics.js';
import type { AgentOutput } from './agentInputs.js';
import type { AgentTables } from './agentTables.js';

/** Counts started tasks and sent outcomes, and reports gauges on request. */
export class AgentMetrics {
	constructor(
		private readonly _metrics: IMetricsService,
		private readonly _tables: AgentTables,
	) {}

	/** Counts the started tasks and the sent outcomes in the outputs of one tick. */
	countOutputs(outputs: readonly AgentOutput[]): void {
		for (const output of outputs) {
			if (output.kind === 'startRun') {
				this._metrics.count('agent.tasks.started', 1, { route: output.run.route });
			}
			if (output.kind === 'send' && output.message.kind === 'taskOutcomes') {
				this._countOutcomes(output.message.outcomes.map(({ end }) => end.state));
			}
		}
	}

	/** Reports gauges of the queued, running and remembered tasks, the kept results, and the revision of the tables. */
	sendGauges(): void {
		const { tasks, upstream, declarations } = this._tables;
		const tags = { pool: upstream?.offer.pool ?? 'none' };
		this._metrics.gauge('agent.tasks.queued', tasks.queue.length, tags);
		this._metrics.gauge('agent.tasks.running', tasks.runningCount, tags);
		this._metrics.gauge('agent.tasks.remembered', tasks.size, tags);
		this._metrics.gauge('agent.results.keptBytes', tasks.keptResultBytes, tags);
		this._metrics.gauge('agent.revision', declarations.revision, tags);
	}

	private _countOutcomes(states: readonly string[]): void {
		const counts = new Map<string, number>();
		for (const state of states) {
			counts.set(state, (counts.get(state) ?? 0) + 1);
		}
		for (const [state, count] of counts) {
			this._metrics.count('agent.outcomes.sent', count, { state });
		}
	}
}
