/** Metrics of an agent, taken from the outputs of its ticks. */

import type { IMetricsService } from '../../services/metrics/common/metrics.js';
import type { AgentOutput } from './agentInputs.js';
import type { AgentTables } from './agentTables.js';

/** Counts what ticks put out, and tells levels when asked to. */
export class AgentMetrics {
	constructor(
		private readonly _metrics: IMetricsService,
		private readonly _tables: AgentTables,
	) {}

	/** Counts the starts and the ends in the outputs of one tick. */
	observe(outputs: readonly AgentOutput[]): void {
		for (const output of outputs) {
			if (output.kind === 'startRun') {
				this._metrics.count('agent.tasks.started', 1, { route: output.run.route });
			}
			if (output.kind === 'send' && output.message.kind === 'taskOutcomes') {
				this._observeOutcomes(output.message.outcomes.map(({ end }) => end.state));
			}
		}
	}

	/** Sends the levels of the queue, the slots and the memory of tasks. */
	sendLevels(): void {
		const { tasks, upstream, declarations } = this._tables;
		const tags = { pool: upstream?.offer.pool ?? 'none' };
		this._metrics.gauge('agent.tasks.queued', tasks.queue.length, tags);
		this._metrics.gauge('agent.tasks.running', tasks.runningCount, tags);
		this._metrics.gauge('agent.tasks.remembered', tasks.size, tags);
		this._metrics.gauge('agent.results.keptBytes', tasks.keptResultBytes, tags);
		this._metrics.gauge('agent.revision', declarations.revision, tags);
	}

	private _observeOutcomes(states: readonly string[]): void {
		const counts = new Map<string, number>();
		for (const state of states) {
			counts.set(state, (counts.get(state) ?? 0) + 1);
		}
		for (const [state, count] of counts) {
			this._metrics.count('agent.outcomes.sent', count, { state });
		}
	}
}
