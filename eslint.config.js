import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

/**
 * Product code reaches time, chance, disks and networks only through the four
 * seams (`src/seams`), so that the simulator can stand in for each of them.
 */
const seamGlobals = [
  'setTimeout',
  'setInterval',
  'setImmediate',
  'clearTimeout',
  'clearInterval',
  'performance',
  'fetch',
].map((name) => ({ name, message: 'Use the Clock or Network seam (src/seams).' }));

const seamProperties = [
  { object: 'Date', property: 'now', message: 'Use Clock.now() or Clock.wallTime().' },
  { object: 'Math', property: 'random', message: 'Use RandomSource.' },
  { object: 'AbortSignal', property: 'timeout', message: 'Use Clock.setTimer().' },
  { object: 'process', property: 'hrtime', message: 'Use Clock.now().' },
];

const seamModules = [
  'fs',
  'fs/promises',
  'net',
  'http',
  'http2',
  'https',
  'dgram',
  'tls',
  'timers',
  'timers/promises',
  'child_process',
  'cluster',
  'worker_threads',
  'perf_hooks',
].flatMap((name) => [name, `node:${name}`]);

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'coverage/'] },
  eslint.configs.recommended,
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/require-await': 'off',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'no-restricted-globals': 'off',
      eqeqeq: 'error',
    },
  },
  {
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', ...seamGlobals],
      'no-restricted-properties': ['error', ...seamProperties],
      'no-restricted-imports': [
        'error',
        {
          paths: [
            ...seamModules.map((name) => ({
              name,
              message: 'Only src/node implements the seams.',
            })),
            { name: 'undici', message: 'Only src/node implements the seams.' },
          ],
        },
      ],
    },
  },
  {
    files: ['src/node/**/*.ts'],
    rules: {
      'no-restricted-globals': 'off',
      'no-restricted-properties': 'off',
      'no-restricted-imports': 'off',
    },
  },
  {
    files: ['**/*.js', '**/*.cjs'],
    ...tseslint.configs.disableTypeChecked,
    languageOptions: {
      globals: { process: 'readonly', console: 'readonly' },
      parserOptions: { projectService: false },
    },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: { require: 'readonly', module: 'writable', __dirname: 'readonly' },
      parserOptions: { projectService: false },
    },
    rules: { '@typescript-eslint/no-require-imports': 'off' },
  },
);
