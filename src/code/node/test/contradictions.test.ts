/** Settings that contradict each other are refused before anything starts. */

import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import test from 'ava';

const mainFile = new URL('../main.js', import.meta.url).pathname;

/** Runs `yuccaarch check` on example files in which one line was replaced or added. */
function check(changes: Readonly<Record<string, (text: string) => string>>): { code: number; text: string } {
	const folder = mkdtempSync(path.join(tmpdir(), 'yuccaarch-check-'));
	try {
		const files = Object.entries(changes).map(([file, change]) => {
			const target = path.join(folder, path.basename(file));
			writeFileSync(target, change(readFileSync(path.join('examples', file), 'utf8')));
			return target;
		});
		const { status, stdout, stderr } = spawnSync(process.execPath, [mainFile, 'check', ...files], {
			encoding: 'utf8',
		});
		return { code: status ?? -1, text: `${stdout}${stderr}` };
	} finally {
		rmSync(folder, { recursive: true });
	}
}

const unchanged = (text: string): string => text;

test('the examples of a deployment agree with each other', (t) => {
	const { code, text } = check({
		'registro-rioplatense/entry.toml': unchanged,
		'registro-rioplatense/agent.toml': unchanged,
		'registro-rioplatense.toml': unchanged,
	});
	t.is(code, 0, text);
	t.regex(text, /good \(entry and agent and declaration\)/);
});

for (const role of ['entry', 'agent']) {
	test(`a drain of the ${role} that a job may outlast is refused with both keys and the remedy`, (t) => {
		const { code, text } = check({
			[`registro-rioplatense/${role}.toml`]: (settings) =>
				settings.replace('drainTimeoutMs = 70_000', 'drainTimeoutMs = 30_000'),
			'registro-rioplatense.toml': unchanged,
		});
		t.is(code, 2, text);
		t.regex(text, /maxDeadlineMs = 60000, which may outlast a drain of .*drainTimeoutMs = 30000\. Set /);
	});
}

test('a result that could never be kept is refused with both keys', (t) => {
	const { code, text } = check({
		'registro-rioplatense/agent.toml': (settings) =>
			`maxResultBytes = 2_000_000\nmaxKeptResultBytes = 1_000_000\n${settings}`,
	});
	t.is(code, 2, text);
	t.regex(text, /maxResultBytes: .*maxKeptResultBytes/);
});

test('heartbeats that are too rare for the election timeout are refused with both keys', (t) => {
	const { code, text } = check({
		'registro-rioplatense/keeper.toml': (settings) =>
			`heartbeatIntervalMs = 200\nelectionTimeoutMs = 300\n${settings}`,
	});
	t.is(code, 2, text);
	t.regex(text, /heartbeatIntervalMs: .*electionTimeoutMs/);
});
