/** Follows one request through collected logs: what was decided, where, when, and on what. */

/** A line of a structured log. */
interface LogLine {
	readonly time: string;
	readonly instance: string;
	readonly role: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
}

/** Time around a request in which lines that were left out may have been about it. */
const marginMs = 5000;

/**
 * Makes a timeline of one request. Lines may have anything before their JSON, such as the name of a machine.
 *
 * @param id id of the request
 * @param texts whole log files, in any order
 * @returns one line a decision, the oldest first, and what may be missing
 * @example
 * process.stdout.write(explainRequest('35bb3f19167681d8', [readFileSync('entry.log', 'utf8')]));
 */
export function explainRequest(id: string, texts: readonly string[]): string {
	const lines = texts.flatMap((text) => text.split('\n').flatMap(parseLine));
	const found = lines
		.filter(({ fields }) => fields.jobId === id)
		.sort((left, right) => (left.time < right.time ? -1 : 1));
	if (found.length === 0) {
		return (
			`No line names the request ${id}. It was answered without a decision against it, never came to these ` +
			`processes, or its lines were left out.\n${describeGaps(lines)}`
		);
	}
	const firstMs = Date.parse(found[0]?.time ?? '');
	const lastMs = Date.parse(found.at(-1)?.time ?? '');
	const near = lines.filter(({ time }) => {
		const atMs = Date.parse(time);
		return atMs >= firstMs - marginMs && atMs <= lastMs + marginMs;
	});
	const timeline = found.map((line) => describeLine(line, firstMs)).join('\n');
	const agents = new Set(found.flatMap(({ fields }) => agentsOf(fields)));
	const around = near
		.filter(({ instance, event, fields }) => isAboutAgent(instance, event, fields, agents))
		.sort((left, right) => (left.time < right.time ? -1 : 1))
		.slice(0, 40)
		.map((line) => describeLine(line, firstMs));
	const context = around.length === 0 ? '' : `\nAround it, at the workers that it met:\n${around.join('\n')}`;
	return `${timeline}${context}\n${describeGaps(near)}`;
}

function parseLine(text: string): LogLine[] {
	const start = text.indexOf('{');
	if (start < 0) {
		return [];
	}
	try {
		const parsed = JSON.parse(text.slice(start)) as Record<string, unknown>;
		const { time, instance, role, event, ...fields } = parsed;
		if (typeof time !== 'string' || typeof event !== 'string') {
			return [];
		}
		return [{ time, event, instance: textOf(instance), role: textOf(role), fields }];
	} catch {
		// Lines of other programs may stand between those of ours.
		return [];
	}
}

function textOf(value: unknown): string {
	return typeof value === 'string' ? value : '?';
}

function describeLine({ time, instance, role, event, fields }: LogLine, firstMs: number): string {
	const afterMs = Date.parse(time) - firstMs;
	const details = Object.entries(fields)
		.filter(([name]) => name !== 'level' && name !== 'jobId')
		.map(([name, value]) => `${name}=${JSON.stringify(value)}`)
		.join(' ');
	return `${afterMs.toString().padStart(6)} ms  ${role} ${instance}  ${event}  ${details}`;
}

function agentsOf({ agentId, trace }: Readonly<Record<string, unknown>>): string[] {
	const traced = Array.isArray(trace) ? trace.flatMap((step) => /@(\S+)/.exec(String(step))?.[1] ?? []) : [];
	return typeof agentId === 'string' ? [agentId, ...traced] : traced;
}

const agentEvents = new Set([
	'agent.lost',
	'worker.resting',
	'worker.silent',
	'worker.lost',
	'worker.leaving',
]);

function isAboutAgent(
	instance: string,
	event: string,
	fields: Readonly<Record<string, unknown>>,
	agents: ReadonlySet<string>,
): boolean {
	return agentEvents.has(event) && (agents.has(instance) || agents.has(textOf(fields.agentId)));
}

function describeGaps(lines: readonly LogLine[]): string {
	const leftOut = lines.reduce((sum, { event, fields }) => {
		const count = event === 'log.linesLeftOut' ? Number(fields.lines ?? 0) : Number(fields.suppressed ?? 0);
		return sum + count;
	}, 0);
	return leftOut === 0
		? 'No lines were left out near it.\n'
		: `${leftOut} lines were left out or joined near it, so decisions may be missing here.\n`;
}
