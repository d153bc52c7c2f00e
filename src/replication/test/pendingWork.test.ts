import test from 'ava';
import { PendingWork, type WorkItem, type WorkResult } from '../node/pendingWork.js';

function createItem(results: WorkResult[], isForwarded = false): WorkItem {
	return {
		work: { kind: 'command', command: Buffer.from('x') },
		untilMs: 1000,
		isForwarded,
		settle: (result) => results.push(result),
	};
}

test('work is settled by its own entry and tried again after another one', (t) => {
	const pending = new PendingWork();
	const results: WorkResult[] = [];
	pending.noteAppended(createItem(results), 7, 2);
	pending.noteAppended(createItem(results), 8, 2);
	pending.settleApplied(7, 2, Buffer.from('seven'));
	pending.settleApplied(8, 3, Buffer.from('another'));
	t.is(results.length, 1);
	t.is(pending.takeWaiting().length, 1);
});

test('work behind the first entry of a later term is tried again at once', (t) => {
	const pending = new PendingWork();
	const results: WorkResult[] = [];
	pending.noteAppended(createItem(results), 12, 2);
	pending.noteAppended(createItem(results, true), 13, 2);
	pending.noteAppended(createItem(results), 14, 3);
	pending.retryOvertaken(10, 3);
	t.is(pending.takeWaiting().length, 1);
	t.is(results.length, 1, 'work of another keeper goes back to it');
	t.is(results[0]!.unwrapErr().errorKind, 'noLeader');
});

test('expired work is unknown once it was appended or handed over, else it surely was not', (t) => {
	const pending = new PendingWork();
	const results: WorkResult[] = [];
	pending.noteAppended(createItem(results), 1, 1);
	pending.noteForwarded(createItem(results), 'keeper-1');
	pending.add(createItem(results));
	pending.expire(1001, () => 'No leader.');
	t.deepEqual(results.map((result) => result.unwrapErr().errorKind).sort(), [
		'noLeader',
		'unknown',
		'unknown',
	]);
});
