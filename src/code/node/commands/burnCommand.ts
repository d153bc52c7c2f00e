/** `yuccaarch burn`: Prints the error budgets and burn rates of the routes. */

import { writeFileSync } from 'node:fs';
import { defineCommand } from 'citty';
import { renderBurnPage } from '../../../burn/common/burnPage.js';
import { computeBurnReport } from '../../../burn/common/burnReport.js';
import { renderBurnText } from '../../../burn/common/burnText.js';
import type { CommandResult } from '../../../operator/common/commandResult.js';
import { operatorExitCodes } from '../../../operator/common/operatorExitCodes.js';
import { toErrorResult } from '../../../operator/node/applyOperation.js';
import { readLedgers, type LedgerSource } from '../../../operator/node/ledgerReader.js';
import type { OperatorClient } from '../../../operator/node/operatorClient.js';
import type { SystemStatus } from '../../../protocol/common/operatorApi.js';
import { connectionArguments, runOperatorCommand, getToken } from '../operator/operatorArguments.js';

/** The command's definition. */
export const burnCommand = defineCommand({
	meta: {
		name: 'burn',
		description:
			'Prints the error budgets and burn rates of the routes, computed from the counts of the entries. ' +
			'Example: yuccaarch burn --operator 127.0.0.1:7100 --token TOKEN --html burn.html',
	},
	args: {
		...connectionArguments,
		entryToken: { type: 'string', description: "Operator token of the entries; the keepers' by default." },
		html: { type: 'string', description: 'File to which the report is written as an HTML page.' },
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, (client) =>
			reportBurn(client, args.entryToken ?? getToken(args), args.html),
		);
	},
});

async function reportBurn(
	client: OperatorClient,
	token: string,
	pageFile: string | undefined,
): Promise<CommandResult> {
	const status = await client.readStatus();
	if (status.isErr()) {
		return toErrorResult(status.error);
	}
	const { ledgers, silentEntries } = await readLedgers(getEntrySources(status.value), token);
	const report = computeBurnReport(ledgers, silentEntries, Date.now());
	if (pageFile !== undefined) {
		writeFileSync(pageFile, String(await renderBurnPage(report)));
	}
	return { exitCode: operatorExitCodes.noChange, text: renderBurnText(report).trimEnd(), json: report };
}

/** Returns the entries that announce an HTTP address, from which their ledgers can be read. */
function getEntrySources(status: SystemStatus): LedgerSource[] {
	return status.processes.flatMap(({ role, processId, httpAddress }) =>
		role === 'entry' && httpAddress !== undefined ? [{ processId, httpAddress }] : [],
	);
}
