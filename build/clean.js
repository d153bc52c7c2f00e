/** Deletes the build output, so that a deleted source file leaves no compiled file behind. */
import { rmSync } from 'node:fs';

rmSync(new URL('../out', import.meta.url), { recursive: true, force: true });
