import test from 'ava';
import { rendezvousOrder } from '../rendezvous.js';

const members = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const keys = Array.from({ length: 400 }, (_, index) => `pool-${index}`);

test('the order does not depend on the order of the members', (t) => {
	for (const key of keys) {
		t.deepEqual(rendezvousOrder(key, members), rendezvousOrder(key, [...members].reverse()));
	}
});

test('only the keys of a member that left move', (t) => {
	const rest = members.filter((member) => member !== 'entry-2');
	for (const key of keys) {
		const [before] = rendezvousOrder(key, members);
		const [after] = rendezvousOrder(key, rest);
		t.true(before === 'entry-2' || before === after);
	}
});

test('every member is chosen for a fair share of the keys', (t) => {
	const chosen = keys.map((key) => rendezvousOrder(key, members)[0]);
	for (const member of members) {
		t.true(chosen.filter((name) => name === member).length > keys.length / 8);
	}
});
