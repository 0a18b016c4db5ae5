import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'src/protocol/peer/generated/**',
    ],
  },
  eslint.configs.recommended,
  ...tseslint.configs.strict,
  {
    rules: {
      '@typescript-eslint/no-extraneous-class': 'off',
      '@typescript-eslint/no-invalid-void-type': 'off',
      '@typescript-eslint/consistent-type-imports': 'off',
      eqeqeq: 'error',
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
      complexity: ['error', 12],
    },
  },
  {
    // One clock: a bare reading would not count suspensions, or would step with the time of day.
    files: [
      'src/{runtime,transport,protocol,state,coordination,telemetry}/**/*.ts',
      'platform/**/*.ts',
    ],
    ignores: ['src/runtime/clock.ts'],
    rules: {
      'no-restricted-properties': [
        'error',
        { object: 'performance', property: 'now', message: 'Use the injected Clock.' },
        { object: 'Date', property: 'now', message: 'Use the injected Clock.' },
        { object: 'process', property: 'hrtime', message: 'Use the injected Clock.' },
      ],
    },
  },
  {
    files: ['scripts/**', '*.cjs', '*.mjs'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly', module: 'writable' } },
  },
  {
    files: ['scripts/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: { require: 'readonly', __dirname: 'readonly' },
    },
    rules: { '@typescript-eslint/no-require-imports': 'off' },
  },
);
