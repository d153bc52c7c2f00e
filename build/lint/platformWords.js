/**
 * ESLint rule that restricts the platform's names to `platform/`: files under `src` neither import from there nor use
 * the names of the platform's operations, headers and fields.
 */
import path from 'node:path';

const platformNames =
	/X-Expect-Instance|X-Deadline-Ms|X-Fence-Token|X-Duty-Holder|Instances\.(Heartbeat|Leave)|Config\.(Put|Get)|fenceToken|endedRuns|lastSeen|run-start|run-stop|enforcesCapacity"|YUCCAARCH_BOOT/i;

/** @type {import('eslint').Rule.RuleModule} */
export const platformWordsRule = {
	meta: { type: 'problem', schema: [], messages: { bad: '{{text}}' } },
	create(context) {
		const isProduct = path.relative(context.cwd, context.filename).startsWith(`src${path.sep}`);
		if (!isProduct) {
			return {};
		}
		return {
			Program(node) {
				const found = platformNames.exec(context.sourceCode.text);
				if (found !== null) {
					const text = `"${found[0]}" is a name of the platform; translate it in platform/.`;
					context.report({ node, messageId: 'bad', data: { text } });
				}
			},
			ImportDeclaration(node) {
				if (String(node.source.value).includes('/platform/')) {
					context.report({ node, messageId: 'bad', data: { text: 'src must not import platform/.' } });
				}
			},
		};
	},
};
