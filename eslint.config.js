import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist', 'target', 'src/wire/generated', 'scripts'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    rules: {
      eqeqeq: 'error',
      'no-console': 'error',
      'max-lines': ['error', { max: 420, skipBlankLines: false }],
      'max-depth': ['error', 4],
      '@typescript-eslint/no-extraneous-class': 'off',
    },
  },
);
