import test from 'ava';
import fc from 'fast-check';
import type { EntryToAgentMessage } from '../../protocol/common/agentMessages.js';
import type { RunEnd } from '../common/agentInputs.js';
import type { AgentCoreOptions } from '../common/agentTables.js';
import { CoreModel, batchOf, tablesAt } from './coreModel.js';

/** Runs of the property; raise it by hand to look longer. */
const propertyRuns = Number(process.env.AGENT_PROPERTY_RUNS ?? 1500);
const propertySeed = 20_261_204;

const entryIds = ['entry-1', 'entry-2'] as const;
const entryOf = fc.constantFrom(...entryIds);
const identitiesOf = fc.record({
	submissionId: fc.constantFrom('job-1', 'job-2', 'job-3'),
	taskIndexes: fc.uniqueArray(fc.nat(2), { minLength: 1, maxLength: 3 }),
});
const epochOf = fc.integer({ min: 1, max: 3 });

type Action = (model: CoreModel) => void;

/** Gives an action a text for the report of a failure. */
function named(name: string, fields: object, action: Action): Action {
	return Object.assign(action, { [fc.toStringMethod]: () => `${name}${JSON.stringify(fields)}` });
}

function startOf(attempts: fc.Arbitrary<number | undefined>): fc.Arbitrary<Action> {
	const fields = fc.record({
		entryId: entryOf,
		identities: identitiesOf,
		epoch: epochOf,
		attempt: attempts,
		copies: fc.integer({ min: 1, max: 2 }),
	});
	return fields.map((start) =>
		named('start', start, (model) => {
			const { submissionId, taskIndexes } = start.identities;
			const batches = [batchOf(submissionId, taskIndexes, start.attempt)];
			for (let copy = 0; copy < start.copies; copy += 1) {
				model.send(start.entryId, { kind: 'startTasks', revision: 1, epoch: start.epoch, batches });
			}
		}),
	);
}

const tell = fc
	.record({
		entryId: entryOf,
		identities: identitiesOf,
		epoch: epochOf,
		kind: fc.constantFrom('cancelTasks', 'fenceTasks', 'acknowledgeOutcomes'),
	})
	.map((fields) =>
		named('tell', fields, (model) => {
			const { kind, epoch, identities } = fields;
			const { submissionId } = identities;
			const tasks = identities.taskIndexes.map((taskIndex) => ({ submissionId, taskIndex }));
			const message: EntryToAgentMessage =
				kind === 'fenceTasks' ? { kind, revision: 1, epoch, tasks } : { kind, revision: 1, tasks };
			model.send(fields.entryId, message);
		}),
	);

const deliver = fc.record({ entryId: entryOf, count: fc.integer({ min: 1, max: 4 }) }).map((fields) =>
	named('deliver', fields, (model) => {
		model.deliver(fields.entryId, fields.count);
	}),
);

const endRun = fc
	.record({
		position: fc.nat(3),
		state: fc.constantFrom<RunEnd['state']>('done', 'failed', 'stopped', 'notStarted', 'lost'),
	})
	.map((fields) =>
		named('endRun', fields, (model) => {
			model.endRun(fields.position, fields.state);
		}),
	);

const link = fc.record({ entryId: entryOf, isUp: fc.boolean() }).map((fields) =>
	named('link', fields, (model) => {
		if (fields.isUp) {
			model.connect(fields.entryId);
		} else {
			model.cut(fields.entryId);
		}
	}),
);

const advance = fc.constantFrom(1, 300, 1600, 4000).map((byMs) =>
	named('advance', { byMs }, (model) => {
		model.advance(byMs);
	}),
);

const announce = fc.constant(
	named('announce', {}, (model) => {
		model.announce();
	}),
);

const membership = fc.constantFrom(
	named('restartUpstream', {}, (model) => {
		model.announce({ upstreamId: 'up-2' });
	}),
	named('withdraw', {}, (model) => {
		model.tick([{ kind: 'withdrawn' }]);
	}),
	named('drain', {}, (model) => {
		model.tick([{ kind: 'tablesChanged', tables: tablesAt(2, { drains: [{ name: 'agent-1' }] }) }]);
	}),
	named('endDrain', {}, (model) => {
		model.tick([{ kind: 'tablesChanged', tables: tablesAt(3) }]);
	}),
);

function actionsOf(attempts: fc.Arbitrary<number | undefined>): fc.Arbitrary<Action> {
	return fc.oneof(
		{ weight: 5, arbitrary: startOf(attempts) },
		{ weight: 3, arbitrary: tell },
		{ weight: 8, arbitrary: deliver },
		{ weight: 4, arbitrary: endRun },
		{ weight: 2, arbitrary: link },
		{ weight: 2, arbitrary: advance },
		{ weight: 1, arbitrary: membership },
		{ weight: 2, arbitrary: announce },
	);
}

/** Ends all runs and brings everybody back; entries ask about what is unanswered, after which nothing may be. */
function settle(model: CoreModel): void {
	for (const entryId of entryIds) {
		model.connect(entryId);
		model.deliver(entryId, Infinity);
		model.askAboutUnanswered(entryId);
		model.deliver(entryId, Infinity);
	}
	while (model.running.size > 0) {
		model.endRun(0, 'done');
	}
	model.advance(10_000);
	for (const [entryId, open] of model.unanswered) {
		for (const key of open.keys()) {
			model.faults.push(`${entryId} was never told what became of ${key}.`);
		}
	}
}

function holdsPromises(
	attempts: fc.Arbitrary<number | undefined>,
	options: Partial<AgentCoreOptions> = {},
): void {
	const property = fc.property(fc.array(actionsOf(attempts), { minLength: 5, maxLength: 80 }), (actions) => {
		const model = new CoreModel(options);
		for (const entryId of entryIds) {
			model.connect(entryId);
		}
		for (const action of actions) {
			action(model);
		}
		settle(model);
		if (model.faults.length > 0) {
			throw new Error(model.faults.join('\n'));
		}
	});
	fc.assert(property, { numRuns: propertyRuns, seed: propertySeed, includeErrorInReport: true });
}

test('no task starts twice, or after it was answered notStarted, whatever is lost, late, doubled or crossed', (t) => {
	t.notThrows(() => {
		holdsPromises(fc.constant(undefined));
	});
});

test('an attempt that is greater than the fenced one may start, and no other', (t) => {
	t.notThrows(() => {
		holdsPromises(fc.nat(3));
	});
});

test('a full table of identities refuses and promises nothing that it could forget', (t) => {
	t.notThrows(() => {
		holdsPromises(fc.nat(3), { maxRememberedTasks: 2 });
	});
});
