/** What a command has to say, in both of its forms. */

import type { OperatorExitCode } from './operatorExitCodes.js';

/** Result of a command. */
export interface CommandResult {
	readonly exitCode: OperatorExitCode;
	/** For people; ends without a line break. */
	readonly text: string;
	/** For programs. */
	readonly json: object;
}
