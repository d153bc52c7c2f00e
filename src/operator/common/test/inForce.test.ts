import test from 'ava';
import type { ProcessStatus, SystemStatus } from '../../../protocol/common/operatorApi.js';
import { describeInForce, judgeInForce } from '../inForce.js';

function process(processId: string, revisionInForce: number, heardAgoMs: number): ProcessStatus {
	return {
		processId,
		role: 'agent',
		incarnation: '1',
		dataCentre: 'dc-1',
		rack: 'rack-1',
		isDraining: false,
		keeperId: 'keeper-1',
		revisionInForce,
		heardAgoMs,
		isLive: heardAgoMs < 1500,
	};
}

function status(keeperId: string, overrides: Partial<SystemStatus>): SystemStatus {
	return {
		keeperId,
		role: 'follower',
		term: 1,
		commitIndex: 1,
		appliedIndex: 1,
		historyId: 'h1',
		revision: 5,
		claims: 0,
		directory: { epoch: 1, entries: [] },
		members: [],
		processes: [],
		silentKeepers: [],
		isSettled: true,
		...overrides,
	};
}

test('a process counts as the keeper that heard it last says', (t) => {
	const moved = [
		status('keeper-1', { processes: [process('agent-1', 4, 3000)] }),
		status('keeper-2', { processes: [process('agent-1', 5, 10)] }),
	];
	t.true(judgeInForce(moved, 5).isEverywhere);
	const report = judgeInForce(moved.slice(0, 1), 5);
	t.false(report.isEverywhere);
	t.regex(describeInForce(report), /agent agent-1: revision 4, its lease has ended/);
});

test('a subscriber that only one keeper can hear still counts', (t) => {
	const split = [
		status('keeper-1', { silentKeepers: ['keeper-3'] }),
		status('keeper-3', { processes: [process('agent-9', 4, 10)] }),
	];
	t.deepEqual(
		judgeInForce(split, 5).missing.map((missing) => missing.processId),
		['agent-9'],
	);
});

test('without a keeper that knows every process nothing is said to be in force everywhere', (t) => {
	t.false(judgeInForce([], 5).isEverywhere);
	const young = judgeInForce([status('keeper-1', { isSettled: false })], 5);
	t.regex(describeInForce(young), /have not run long enough/);
	const unsure = status('keeper-1', { isSettled: false, silentKeepers: ['keeper-2'] });
	t.regex(describeInForce(judgeInForce([unsure], 5)), /"keeper-2" do not report/);
	t.true(judgeInForce([unsure, status('keeper-2', {})], 5).isEverywhere);
});
