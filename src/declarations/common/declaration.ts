/** Declarations: the routes, pools and teams that operators keep in version control. */

import { z } from 'zod';
import { nameSchema } from '../../services/settings/common/settingsSchema.js';
import { SettingsError, type SettingsIssue } from '../../services/settings/common/settingsError.js';
import { findTableViolations, type DeclaredTables } from './tableEdits.js';
import { poolSchema, routeSchema, teamSchema } from './tableSchemas.js';
import { emptyTables } from './tables.js';

/** Schema of a declaration file: `[pools.NAME]`, `[routes.NAME]` and `[teams.NAME]`. */
export const declarationSchema = z.strictObject({
	pools: z.record(nameSchema, poolSchema).prefault({}),
	routes: z.record(nameSchema, routeSchema).prefault({}),
	teams: z.record(nameSchema, teamSchema).prefault({}),
});

/** The validated content of a declaration file. */
export type Declaration = z.output<typeof declarationSchema>;

/** A declaration and the path of its file. */
export interface DeclarationFile {
	readonly file: string;
	readonly declaration: Declaration;
}

/**
 * Merges declaration files into one set of tables.
 *
 * @throws SettingsError when a name is declared twice or a constraint of {@link findTableViolations} is violated
 * @example
 * const declared = mergeDeclarations([loadDeclaration('registro.toml'), loadDeclaration('citacion.toml')]);
 */
export function mergeDeclarations(files: readonly DeclarationFile[]): DeclaredTables {
	const issues: SettingsIssue[] = [];
	const declared: DeclaredTables = {
		pools: mergeRows(files, 'pools', issues),
		routes: mergeRows(files, 'routes', issues),
		teams: mergeRows(files, 'teams', issues),
	};
	const allFiles = files.map(({ file }) => file).join(', ');
	for (const violation of findTableViolations({ ...emptyTables, ...declared })) {
		const faultyFile = files.find(({ declaration }) => violation.row in declaration.routes)?.file ?? allFiles;
		issues.push({
			file: faultyFile,
			key: `${violation.table}.${violation.row}.${violation.field}`,
			message: violation.message,
		});
	}
	if (issues.length > 0) {
		throw new SettingsError(issues);
	}
	return declared;
}

function mergeRows<Name extends keyof Declaration>(
	files: readonly DeclarationFile[],
	table: Name,
	issues: SettingsIssue[],
): (Declaration[Name][string] & { name: string })[] {
	const filesByName = new Map<string, string>();
	const rows: (Declaration[Name][string] & { name: string })[] = [];
	for (const { file, declaration } of files) {
		for (const [name, fields] of Object.entries(declaration[table]) as [
			string,
			Declaration[Name][string],
		][]) {
			const earlierFile = filesByName.get(name);
			if (earlierFile !== undefined) {
				const message = `"${name}" is declared in ${earlierFile} already. Keep it in one file only.`;
				issues.push({ file, key: `${table}.${name}`, message });
				continue;
			}
			filesByName.set(name, file);
			rows.push({ name, ...fields });
		}
	}
	return rows.sort((a, b) => (a.name < b.name ? -1 : 1));
}
