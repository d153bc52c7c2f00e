import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';
import { layersRule } from './build/lint/layers.js';
import { platformWordsRule } from './build/lint/platformWords.js';

export default tseslint.config(
	{ ignores: ['out/**', 'target/**', 'journal/**', 'node_modules/**'] },
	eslint.configs.recommended,
	{
		files: ['src/**/*.ts', 'platform/**/*.ts'],
		extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
		plugins: { yuccaarch: { rules: { layers: layersRule, 'platform-words': platformWordsRule } } },
		languageOptions: {
			parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
		},
		rules: {
			'yuccaarch/layers': 'error',
			'yuccaarch/platform-words': 'error',
			curly: ['error', 'all'],
			eqeqeq: 'error',
			'prefer-arrow-callback': 'error',
			'no-console': 'error',
			'max-lines': ['error', { max: 450, skipBlankLines: true, skipComments: true }],
			'@typescript-eslint/explicit-module-boundary-types': 'error',
			'@typescript-eslint/no-floating-promises': 'error',
			'@typescript-eslint/restrict-template-expressions': [
				'error',
				{ allowNumber: true, allowBoolean: true },
			],
			'@typescript-eslint/naming-convention': [
				'error',
				{ selector: 'interface', format: ['PascalCase'] },
				{ selector: 'typeLike', format: ['PascalCase'] },
				{ selector: 'function', format: ['camelCase'] },
				{
					selector: ['classProperty', 'classMethod', 'accessor'],
					modifiers: ['private'],
					format: ['camelCase'],
					leadingUnderscore: 'require',
				},
			],
		},
	},
	{
		files: ['src/**/test/**/*.ts', 'platform/test/**/*.ts'],
		rules: {
			'@typescript-eslint/no-non-null-assertion': 'off',
			'max-lines': 'off',
		},
	},
	{
		files: ['build/**/*.js', 'eslint.config.js'],
		languageOptions: { globals: { URL: 'readonly' } },
	},
);
