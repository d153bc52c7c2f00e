/** Metrics of a keeper: event counters, disk sync times, and gauges that are sent at intervals. */

import type { IMetricsService } from '../../services/metrics/common/metrics.js';
import type { ReplicaStatus } from '../../replication/common/replicatedLog.js';
import type { ClaimOutcome } from '../../protocol/common/keeperMessages.js';

/** Values of a keeper's gauges at one moment. */
export interface KeeperGauges {
	readonly replica: ReplicaStatus;
	readonly revision: number;
	readonly epoch: number;
	/** Maximum possible age of the keeper's state; absent if no quorum has confirmed the state. */
	readonly ageMs: number | undefined;
	readonly subscriberCount: number;
	readonly storedClaimCount: number;
	/** Claims and releases that wait to be proposed to the log. */
	readonly queuedClaimCount: number;
}

/** Sends the metrics of one keeper to a metrics service. */
export class KeeperMetrics {
	private _lastLeaderId: string | undefined;

	constructor(private readonly _metrics: IMetricsService) {}

	/** Counts a change of the known leader. Losing the leader and finding it again count as two changes. */
	countLeaderChange({ leaderId }: Pick<ReplicaStatus, 'leaderId'>): void {
		if (leaderId !== this._lastLeaderId) {
			this._lastLeaderId = leaderId;
			this._metrics.count('keeper.leaderChanges', 1);
		}
	}

	/** Counts a batch of decided claims by outcome. */
	countClaims(outcomes: readonly ClaimOutcome[]): void {
		const counts = new Map<ClaimOutcome, number>();
		for (const outcome of outcomes) {
			counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
		}
		for (const [outcome, count] of counts) {
			this._metrics.count('keeper.claims', count, { outcome });
		}
	}

	/** Records how long one sync to disk took. */
	recordSyncTime(syncMs: number): void {
		this._metrics.timing('keeper.syncMs', syncMs);
	}

	/** Sends all gauges. If the age is unknown, `keeper.isFresh` is 0 and `keeper.ageMs` is not sent. */
	sendGauges(gauges: KeeperGauges): void {
		const { replica, ageMs } = gauges;
		this._metrics.gauge('keeper.term', replica.term);
		this._metrics.gauge('keeper.isLeader', replica.role === 'leader' ? 1 : 0);
		this._metrics.gauge('keeper.commitIndex', replica.commitIndex);
		this._metrics.gauge('keeper.revision', gauges.revision);
		this._metrics.gauge('keeper.epoch', gauges.epoch);
		this._metrics.gauge('keeper.isFresh', ageMs === undefined ? 0 : 1);
		if (ageMs !== undefined) {
			this._metrics.gauge('keeper.ageMs', Math.ceil(ageMs));
		}
		this._metrics.gauge('keeper.subscribers', gauges.subscriberCount);
		this._metrics.gauge('keeper.claims.kept', gauges.storedClaimCount);
		this._metrics.gauge('keeper.claims.waiting', gauges.queuedClaimCount);
	}
}
