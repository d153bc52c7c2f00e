/** Exit codes of the operators' commands. They are part of the interface and documented in OPERATORS-INTERFACE.md. */

/** What a command's exit code says. 1 and 2 are those of every command: failed, and unusable files or arguments. */
export const operatorExitCodes = {
	/** Nothing had to change, or a read succeeded. */
	noChange: 0,
	/** The command failed; the message says why and what to do. */
	failed: 1,
	/** A file or argument can't be used. */
	badInput: 2,
	/** The change was accepted, or `diff` or `--dry-run` found that there is one to make. */
	changed: 10,
	/** Another change came first; nothing was changed. */
	conflict: 11,
	/** The change was accepted, but some process did not have it in force within the time. */
	notInForce: 12,
	/** The answer was lost; the change may or may not have been accepted. */
	unknown: 13,
	/** A rule between tables is broken; nothing was changed. */
	refused: 14,
} as const;

/** One of {@link operatorExitCodes}. */
export type OperatorExitCode = (typeof operatorExitCodes)[keyof typeof operatorExitCodes];
