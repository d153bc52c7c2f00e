/** Arguments shared by the operator commands, and printing of their results. */

import { hostname, userInfo } from 'node:os';
import { reportSettingsError } from '../../../services/daemon/node/daemon.js';
import { addressSchema } from '../../../services/settings/common/settingsSchema.js';
import { SettingsError } from '../../../services/settings/common/settingsError.js';
import type { CommandResult } from '../../../operator/common/commandResult.js';
import { OperatorClient } from '../../../operator/node/operatorClient.js';

/** Arguments that give the addresses, the token and the timeout of requests to the keepers. */
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
		description: 'Timeout of the command in ms.',
	},
	json: { type: 'boolean', default: false, description: 'Prints one JSON object.' },
} as const;

/** Arguments of commands that change tables. */
export const changeArguments = {
	author: { type: 'string', description: 'Author of the change in the history; user@host by default.' },
	wait: {
		type: 'boolean',
		default: false,
		description: 'Waits until the change is in force in every live process; on a timeout, names the others.',
	},
	waitMs: { type: 'string', default: '10000', description: 'Timeout of --wait in ms.' },
} as const;

/** Values of {@link connectionArguments}. */
export interface ConnectionArgumentValues {
	readonly operator?: string | undefined;
	readonly token?: string | undefined;
	readonly timeoutMs: string;
	readonly json: boolean;
}

/** Values of {@link changeArguments}. */
export interface ChangeArgumentValues {
	readonly author?: string | undefined;
	readonly wait: boolean;
	readonly waitMs: string;
}

/**
 * Runs an operator command with a client, prints its result and sets the exit code. Reports invalid arguments and
 * settings instead of throwing.
 *
 * @example
 * await runOperatorCommand(args, (client) => drainProcess(client, 'agent-7', false, options));
 */
export async function runOperatorCommand(
	values: ConnectionArgumentValues,
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

/** Prints a result to standard output, as text or as one JSON object, and sets the exit code. */
export function printResult(result: CommandResult, asJson: boolean): void {
	process.stdout.write(`${asJson ? JSON.stringify(result.json) : result.text}\n`);
	process.exitCode = result.exitCode;
}

/** Returns the given author, or `user@host` of the current user if none is given. */
export function getAuthor(values: ChangeArgumentValues): string {
	return values.author ?? `${userInfo().username}@${hostname()}`;
}

/** Returns the timeout in ms of waiting until a change is in force; undefined without `--wait`. */
export function getWaitMs(values: ChangeArgumentValues): number | undefined {
	return values.wait ? parseNonNegativeInteger('waitMs', values.waitMs) : undefined;
}

/**
 * Parses a whole number from 0 to 999999999.
 *
 * @throws SettingsError that names the argument and its value, and says what to give instead
 * @example
 * parseCount('limit', '20'); // 20
 */
export function parseNonNegativeInteger(name: string, value: string): number {
	if (!/^\d{1,9}$/.test(value)) {
		throw createArgumentError(name, `"${value}" is not a whole number; give one such as 5000.`);
	}
	return Number(value);
}

/**
 * Returns the operator token from the arguments, or else from the environment variable `YUCCAARCH_TOKEN`.
 *
 * @throws SettingsError when neither is given
 */
export function getToken(values: ConnectionArgumentValues): string {
	const token = values.token ?? process.env.YUCCAARCH_TOKEN;
	if (token === undefined || token === '') {
		throw createArgumentError('token', "Give the operatorToken of the keepers' settings.");
	}
	return token;
}

function createClient(values: ConnectionArgumentValues): OperatorClient {
	const addressList = values.operator ?? process.env.YUCCAARCH_OPERATOR ?? '';
	const addresses = addressList
		.split(',')
		.map((address) => address.trim())
		.filter((address) => address !== '');
	if (addresses.length === 0) {
		throw createArgumentError('operator', "Give the keepers' operator addresses, such as 127.0.0.1:7100.");
	}
	for (const address of addresses) {
		if (!addressSchema.safeParse(address).success) {
			const message = `"${address}" is not an IP number and a port, such as 127.0.0.1:7100.`;
			throw createArgumentError('operator', message);
		}
	}
	return new OperatorClient({
		addresses,
		token: getToken(values),
		timeoutMs: parseNonNegativeInteger('timeoutMs', values.timeoutMs),
	});
}

/** Creates the error for a missing or invalid argument. */
export function createArgumentError(key: string, message: string): SettingsError {
	return new SettingsError([{ file: 'arguments', key: `--${key}`, message }]);
}
