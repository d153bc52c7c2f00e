/** Exit codes of the operators' commands. They are part of the interface and documented in OPERATORS-INTERFACE.md. */

/** Exit codes by meaning. 1 and 2 mean the same for every command: failed, and unusable files or arguments. */
export const operatorExitCodes = {
	/** Nothing had to change, or a read succeeded. */
	noChange: 0,
	/** The command failed; the message gives the reason and the remedy. */
	failed: 1,
	/** A file or argument can't be used. */
	badInput: 2,
	/** The change was accepted, or `diff` or `--dry-run` found differences. */
	changed: 10,
	/** Another change was accepted first, so this one was not made. */
	conflict: 11,
	/** The change was accepted, but was not in force in every process within the time limit. */
	notInForce: 12,
	/** The response was lost, so the change may or may not have been accepted. */
	unknown: 13,
	/** The change violates a rule between tables; nothing was changed. */
	refused: 14,
} as const;

/** One of {@link operatorExitCodes}. */
export type OperatorExitCode = (typeof operatorExitCodes)[keyof typeof operatorExitCodes];
