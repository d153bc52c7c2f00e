/** Errors of files that a person wrote: settings and declarations. */

/** One fault in a file. */
export interface SettingsIssue {
	readonly file: string;
	/** Path of the key, such as `routes.lookup.pool`. */
	readonly key: string;
	/** What is wrong and how to mend it, as whole sentences. */
	readonly message: string;
}

/** A file that can't be used, with every fault found in it. */
export class SettingsError extends Error {
	constructor(readonly issues: readonly SettingsIssue[]) {
		super(
			issues
				.map((issue) => `${issue.file}: ${issue.key === '' ? '' : `${issue.key}: `}${issue.message}`)
				.join('\n'),
		);
		this.name = 'SettingsError';
	}
}
