/** Result of an operators' command, as text and as JSON. */

import type { OperatorExitCode } from './operatorExitCodes.js';

/** Exit code and output of a command. */
export interface CommandResult {
	readonly exitCode: OperatorExitCode;
	/** Output for people, without a line break at its end. */
	readonly text: string;
	/** Output for programs. */
	readonly json: object;
}
