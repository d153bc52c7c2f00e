import test from 'ava';
import { MemberTable } from '../memberTable.js';

const goneEntry = { processId: 'entry-3', address: '10.0.0.3:7000' };
const seconds = (s: number): number => s * 1000;

test('two processes that tell each other of a third, which is gone, both forget it', (t) => {
	const first = new MemberTable();
	const second = new MemberTable();
	first.take({ keepers: [], entries: [{ ...goneEntry, silentMs: 0 }] }, 0);

	for (let nowMs = 0; nowMs <= seconds(70); nowMs += seconds(5)) {
		second.take(first.view(nowMs), nowMs);
		first.take(second.view(nowMs), nowMs);
		first.forget(nowMs);
		second.forget(nowMs);
	}

	t.deepEqual(first.entries, []);
	t.deepEqual(second.entries, []);
});

test('a member that somebody is in touch with stays known to who hears of it', (t) => {
	const first = new MemberTable();
	const second = new MemberTable();
	const keeper = '10.0.0.1:7000';
	first.take({ keepers: [{ address: keeper, silentMs: 0 }], entries: [] }, 0);

	for (let nowMs = 0; nowMs <= seconds(200); nowMs += seconds(15)) {
		first.touch(keeper, nowMs);
		second.take(first.view(nowMs), nowMs);
		t.false(first.forget(nowMs));
		t.false(second.forget(nowMs));
	}

	t.deepEqual(second.keepers, [keeper]);
});

test('an older word of a member does not shorten what is known, and one that is too old adds nobody', (t) => {
	const table = new MemberTable();
	t.true(table.take({ keepers: [], entries: [{ ...goneEntry, silentMs: 0 }] }, seconds(50)));
	t.false(table.take({ keepers: [], entries: [{ ...goneEntry, silentMs: seconds(40) }] }, seconds(50)));
	t.false(table.forget(seconds(100)));
	t.true(table.forget(seconds(111)));
	t.false(table.take({ keepers: [], entries: [{ ...goneEntry, silentMs: seconds(61) }] }, seconds(111)));
	t.deepEqual(table.entries, []);
});
