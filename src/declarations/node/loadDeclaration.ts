/** Reads declaration files. */

import { loadSettings } from '../../services/settings/node/loadSettings.js';
import { declarationSchema, mergeDeclarations, type DeclarationFile } from '../common/declaration.js';
import type { DeclaredTables } from '../common/tableEdits.js';

/**
 * Reads one declaration file.
 *
 * @throws SettingsError that names the file, every faulty key and the remedy
 * @example
 * loadDeclaration('examples/citacion-clara.toml').declaration.routes;
 */
export function loadDeclaration(file: string): DeclarationFile {
	return { file, declaration: loadSettings(file, declarationSchema) };
}

/** Reads declaration files and merges them. See {@link loadDeclaration} and {@link mergeDeclarations}. */
export function loadDeclaredTables(files: readonly string[]): DeclaredTables {
	return mergeDeclarations(files.map(loadDeclaration));
}
