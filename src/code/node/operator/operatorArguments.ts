/** Arguments that the operators' commands share, and how their results are printed. */

import { hostname, userInfo } from 'node:os';
import { reportSettingsError } from '../../../services/daemon/node/daemon.js';
import { addressSchema } from '../../../services/settings/common/settingsSchema.js';
import { SettingsError } from '../../../services/settings/common/settingsError.js';
import type { CommandResult } from '../../../operator/common/commandResult.js';
import { OperatorClient } from '../../../operator/node/operatorClient.js';

/** How the keepers are reached. */
export const connectionArguments = {
	operator: {
		type: 'string',
		description: 'Operator addresses of the keepers, separated by commas; also YUCCAARCH_OPERATOR.',
		valueHint: '10.0.0.1:7100,10.0.0.2:7100',
	},
	token: { type: 'string', description: 'Operator token; also YUCCAARCH_TOKEN.' },
	timeoutMs: {
		type: 'string',
		default: '15000',
		description: 'Time in ms after which the command gives up.',
	},
	json: { type: 'boolean', default: false, description: 'Prints one JSON object.' },
} as const;

/** Arguments of commands that change tables. */
export const changeArguments = {
	author: { type: 'string', description: 'Who asks, for the history; user@host by default.' },
	wait: {
		type: 'boolean',
		default: false,
		description: 'Returns once every live process has the change in force, or names those that do not.',
	},
	waitMs: { type: 'string', default: '10000', description: 'Longest time in ms for --wait.' },
} as const;

/** Values of {@link connectionArguments}. */
export interface ConnectionValues {
	readonly operator?: string | undefined;
	readonly token?: string | undefined;
	readonly timeoutMs: string;
	readonly json: boolean;
}

/** Values of {@link changeArguments}. */
export interface ChangeValues {
	readonly author?: string | undefined;
	readonly wait: boolean;
	readonly waitMs: string;
}

/**
 * Runs an operator's command with a client, prints its result and sets the exit code.
 *
 * @example
 * await runOperatorCommand(args, async (client) => describe(await client.tables()));
 */
export async function runOperatorCommand(
	values: ConnectionValues,
	run: (client: OperatorClient) => Promise<CommandResult>,
): Promise<void> {
	try {
		const client = createClient(values);
		try {
			printResult(await run(client), values.json);
		} finally {
			client.dispose();
		}
	} catch (error) {
		reportSettingsError(error);
	}
}

/** Prints a result to standard output and sets the exit code. */
export function printResult(result: CommandResult, asJson: boolean): void {
	process.stdout.write(`${asJson ? JSON.stringify(result.json) : result.text}\n`);
	process.exitCode = result.exitCode;
}

/** The author that is given, or else the user of this machine. */
export function authorOf(values: ChangeValues): string {
	return values.author ?? `${userInfo().username}@${hostname()}`;
}

/** Longest wait until a change is in force; undefined when none is wanted. */
export function waitMsOf(values: ChangeValues): number | undefined {
	return values.wait ? parseCount('waitMs', values.waitMs) : undefined;
}

/**
 * Parses a whole number that isn't negative.
 *
 * @throws SettingsError naming the argument, its value and the remedy
 * @example
 * parseCount('limit', '20'); // 20
 */
export function parseCount(name: string, value: string): number {
	if (!/^\d{1,9}$/.test(value)) {
		throw argumentError(name, `"${value}" is not a whole number; give one such as 5000.`);
	}
	return Number(value);
}

/**
 * The operator token that is given.
 *
 * @throws SettingsError when there is none
 */
export function tokenOf(values: ConnectionValues): string {
	const token = values.token ?? process.env.YUCCAARCH_TOKEN;
	if (token === undefined || token === '') {
		throw argumentError('token', "Give the operatorToken of the keepers' settings.");
	}
	return token;
}

function createClient(values: ConnectionValues): OperatorClient {
	const given = values.operator ?? process.env.YUCCAARCH_OPERATOR ?? '';
	const addresses = given
		.split(',')
		.map((address) => address.trim())
		.filter((address) => address !== '');
	if (addresses.length === 0) {
		throw argumentError('operator', "Give the keepers' operator addresses, such as 127.0.0.1:7100.");
	}
	for (const address of addresses) {
		if (!addressSchema.safeParse(address).success) {
			const message = `"${address}" is not an IP number and a port, such as 127.0.0.1:7100.`;
			throw argumentError('operator', message);
		}
	}
	return new OperatorClient({
		addresses,
		token: tokenOf(values),
		timeoutMs: parseCount('timeoutMs', values.timeoutMs),
	});
}

/** An argument that can't be used. */
export function argumentError(key: string, message: string): SettingsError {
	return new SettingsError([{ file: 'arguments', key: `--${key}`, message }]);
}
