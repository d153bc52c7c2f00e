/** Writes a journal to a file, with one line of JSON per event. */

import { closeSync, openSync, writeSync } from 'node:fs';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { IJournal, JournalEvent } from '../common/journal.js';

/** Appends each event with one synchronous write, so that no recorded event is lost on SIGKILL. */
export class FileJournal extends Disposable implements IJournal {
	private readonly _descriptor: number;

	constructor(file: string) {
		super();
		this._descriptor = openSync(file, 'a');
		this._register(
			toDisposable(() => {
				closeSync(this._descriptor);
			}),
		);
	}

	record(event: JournalEvent): void {
		writeSync(this._descriptor, `${JSON.stringify(event)}\n`);
	}
}
