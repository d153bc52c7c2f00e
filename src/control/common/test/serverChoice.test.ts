import test from 'ava';
import type { EntryDirectory } from '../../../protocol/common/keeperMessages.js';
import { ServerChoice, type ControlPath } from '../serverChoice.js';

function entry(processId: string, dataCentre: string, isDraining = false) {
	return {
		processId,
		dataCentre,
		isDraining,
		incarnation: '1',
		peerAddress: `127.0.0.1:${processId.length}`,
	};
}

const directory: EntryDirectory = {
	epoch: 1,
	entries: [
		entry('far', 'dc-2'),
		entry('near-1', 'dc-1'),
		entry('near-2', 'dc-1'),
		entry('gone', 'dc-1', true),
	],
};

function choiceOf(path: ControlPath, processId = 'agent-1'): ServerChoice {
	const keepers = ['keeper-1', 'keeper-2'].map((name) => ({ processId: name, address: '127.0.0.1:1' }));
	return new ServerChoice({ processId, dataCentre: 'dc-1', keepers, path });
}

test('by keepers, entries are never chosen', (t) => {
	const choice = choiceOf('keepers');
	let server = choice.first();
	const seen = new Set<string>();
	for (let movesInVain = 0; movesInVain < 6; movesInVain += 1) {
		t.is(choice.better(server, directory), undefined);
		server = choice.next(server, directory, { isStale: movesInVain % 2 === 0, movesInVain });
		seen.add(server.processId);
	}
	t.deepEqual([...seen].sort(), ['keeper-1', 'keeper-2']);
});

test('the own data centre comes first, nobody goes to a draining entry, and agents are spread', (t) => {
	const chosen = new Set<string | undefined>();
	for (let index = 0; index < 30; index += 1) {
		const choice = choiceOf('entries', `agent-${index}`);
		chosen.add(choice.better(choice.first(), directory)?.processId);
	}
	t.deepEqual([...chosen].sort(), ['near-1', 'near-2']);
	const choice = choiceOf('entries');
	const best = choice.better(choice.first(), directory)!;
	t.is(choice.better(best, directory), undefined);
	t.is(
		choice.better(choice.first(), { epoch: 1, entries: [] }),
		undefined,
		'without entries the keeper stays',
	);
});

test('an ended entry is followed by another, a stale one by a keeper, and all are tried in turn', (t) => {
	const choice = choiceOf('entries');
	const best = choice.better(choice.first(), directory)!;
	const after = choice.next(best, directory, { isStale: false, movesInVain: 0 });
	t.is(after.kind, 'entry');
	t.not(after.processId, best.processId);
	let server = choice.next(best, directory, { isStale: true, movesInVain: 0 });
	t.is(server.kind, 'keeper');
	const kinds: string[] = [];
	const keepers = new Set<string>();
	for (let movesInVain = 1; movesInVain <= 6; movesInVain += 1) {
		server = choice.next(server, directory, { isStale: true, movesInVain });
		kinds.push(server.kind);
		if (server.kind === 'keeper') {
			keepers.add(server.processId);
		}
	}
	t.deepEqual(kinds, ['keeper', 'keeper', 'entry', 'keeper', 'keeper', 'entry']);
	t.is(keepers.size, 2);
});
