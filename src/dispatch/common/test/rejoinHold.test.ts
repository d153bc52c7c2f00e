import test from 'ava';
import { RejoinHold } from '../rejoinHold.js';

function createHold(): RejoinHold {
	const hold = new RejoinHold(0);
	hold.handlePeerCaughtUp('entry-2', 1);
	hold.check(15);
	return hold;
}

test('nothing is held while this process runs, although other entries are lost', (t) => {
	const hold = createHold();
	hold.handlePeerLost('entry-2', 1, 20);
	hold.check(515);
	t.false(hold.isActive(515));
});

test('after a pause the placing is held until the others have told what they remember', (t) => {
	const hold = createHold();
	hold.check(3000);
	t.true(hold.isActive(3000));
	hold.handlePeerLost('entry-2', 1, 3005);
	hold.check(3060);
	t.true(hold.isActive(3060));
	hold.handlePeerCaughtUp('entry-2', 2);
	t.false(hold.isActive(3070));
	hold.handlePeerLost('entry-2', 2, 3080);
	t.false(hold.isActive(3080));
});

test('after a pause that the connections have outlasted, the placing goes on once their messages are read', (t) => {
	const hold = createHold();
	hold.check(600);
	t.true(hold.isActive(649));
	t.false(hold.isActive(650));
});

test('the placing goes on after 0.8 s, although another entry does not come back', (t) => {
	const hold = createHold();
	hold.handlePeerLost('entry-2', 1, 20);
	hold.begin(1000);
	t.true(hold.isActive(1799));
	t.false(hold.isActive(1800));
});

test('an entry that was lost a minute before is not awaited', (t) => {
	const hold = createHold();
	hold.handlePeerLost('entry-2', 1, 20);
	hold.begin(60_020);
	t.false(hold.isActive(60_020));
});

test('the late end of a connection that was replaced does not count', (t) => {
	const hold = createHold();
	hold.handlePeerCaughtUp('entry-2', 2);
	hold.handlePeerLost('entry-2', 1, 20);
	hold.begin(30);
	t.false(hold.isActive(30));
});
