import test from 'ava';
import { findLostChanges, type OperatorRecord } from '../operatorRecords.js';

const accepted = { outcome: 'accepted', revision: 3 };
const conflict = { outcome: 'conflict' };
const history = [{ revision: 3, requestId: 'a' }];

function record(results: OperatorRecord['results'], requestId = 'a'): OperatorRecord {
	return { requestId, expectedRevision: 2, results };
}

test('what was accepted once and stands once in the history is kept', (t) => {
	const records = [record([accepted, accepted]), record([conflict], 'b'), record([], 'c')];
	t.deepEqual(findLostChanges(records, history), []);
});

test('a change that was accepted and is gone, or stands at another revision, is lost', (t) => {
	t.is(findLostChanges([record([accepted])], []).length, 1);
	t.is(findLostChanges([record([accepted])], [{ revision: 4, requestId: 'a' }]).length, 1);
});

test('a change that was made twice, or made although it was refused, is found', (t) => {
	const twice = [...history, { revision: 4, requestId: 'a' }];
	t.is(findLostChanges([record([accepted])], twice).length, 1);
	t.is(findLostChanges([record([])], twice).length, 1);
	t.is(findLostChanges([record([conflict])], history).length, 1);
});

test('two winners of one revision are found, because the history has only one of them', (t) => {
	t.is(findLostChanges([record([accepted]), record([accepted], 'b')], history).length, 1);
});

test('a resend with another result than the first is found', (t) => {
	t.is(findLostChanges([record([accepted, conflict])], history).length, 1);
	t.is(findLostChanges([record([accepted, { ...accepted, revision: 4 }])], history).length, 1);
});
