/** Builds a timeline of the decisions about one request from collected logs. */

/** Parsed line of a structured log. */
interface LogLine {
	readonly time: string;
	readonly instance: string;
	readonly role: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
}

/** Time before and after a request in which omitted lines may concern it. */
const contextMarginMs = 5000;

/**
 * Returns a timeline of one request. Lines may have any text before their JSON, such as the name of a machine.
 *
 * @param id id of the request
 * @param texts whole log files, in any order
 * @returns one line for each decision, the oldest first, then the agents' events nearby and the number of omitted lines
 * @example
 * process.stdout.write(explainRequest('35bb3f19167681d8', [readFileSync('entry.log', 'utf8')]));
 */
export function explainRequest(id: string, texts: readonly string[]): string {
	const lines = texts.flatMap((text) => text.split('\n').flatMap(parseLogLine));
	const requestLines = lines
		.filter(({ fields }) => fields.jobId === id)
		.sort((left, right) => (left.time < right.time ? -1 : 1));
	if (requestLines.length === 0) {
		return (
			`No line names the request ${id}. It was answered without a logged decision, never reached these ` +
			`processes, or its lines were omitted.\n${describeOmittedLines(lines)}`
		);
	}
	const firstMs = Date.parse(requestLines[0]?.time ?? '');
	const lastMs = Date.parse(requestLines.at(-1)?.time ?? '');
	const nearbyLines = lines.filter(({ time }) => {
		const atMs = Date.parse(time);
		return atMs >= firstMs - contextMarginMs && atMs <= lastMs + contextMarginMs;
	});
	const timeline = requestLines.map((line) => describeLine(line, firstMs)).join('\n');
	const agents = new Set(requestLines.flatMap(({ fields }) => findAgentIds(fields)));
	const agentLines = nearbyLines
		.filter(({ instance, event, fields }) => isAboutAgent(instance, event, fields, agents))
		.sort((left, right) => (left.time < right.time ? -1 : 1))
		.slice(0, 40)
		.map((line) => describeLine(line, firstMs));
	const context =
		agentLines.length === 0
			? ''
			: `\nEvents of its agents and their workers around that time:\n${agentLines.join('\n')}`;
	return `${timeline}${context}\n${describeOmittedLines(nearbyLines)}`;
}

function parseLogLine(text: string): LogLine[] {
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
		return [{ time, event, instance: toText(instance), role: toText(role), fields }];
	} catch {
		// The log may contain lines of other programs.
		return [];
	}
}

function toText(value: unknown): string {
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

function findAgentIds({ agentId, trace }: Readonly<Record<string, unknown>>): string[] {
	const tracedAgentIds = Array.isArray(trace)
		? trace.flatMap((step) => /@(\S+)/.exec(String(step))?.[1] ?? [])
		: [];
	return typeof agentId === 'string' ? [agentId, ...tracedAgentIds] : tracedAgentIds;
}

const agentHealthEvents = new Set([
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
	return agentHealthEvents.has(event) && (agents.has(instance) || agents.has(toText(fields.agentId)));
}

function describeOmittedLines(lines: readonly LogLine[]): string {
	const omittedCount = lines.reduce((sum, { event, fields }) => {
		const count = event === 'log.linesLeftOut' ? Number(fields.lines ?? 0) : Number(fields.suppressed ?? 0);
		return sum + count;
	}, 0);
	return omittedCount === 0
		? 'No lines were omitted around that time.\n'
		: `${omittedCount} lines were omitted or combined around that time, so decisions may be missing here.\n`;
}
