/** Errors in files that operators write: settings and declarations. */

/** One fault in a file. */
export interface SettingsIssue {
	readonly file: string;
	/** Path of the key, such as `routes.lookup.pool`. */
	readonly key: string;
	/** The fault and its remedy, in whole sentences. */
	readonly message: string;
}

/** Thrown for files that can't be used; holds every fault found in them. */
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
