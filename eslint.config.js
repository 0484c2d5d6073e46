/**
 * Lint rules: the Google TypeScript rules of gts, the import order of the
 * layers, the verbs that function names begin with, and no skipped tests.
 */
import {readFileSync} from 'node:fs';
import gts from 'gts';

const glossary = readFileSync(
  new URL('./docs/GLOSSARY.md', import.meta.url),
  'utf8',
);
const verbLine = /^Verbs: (.+)$/m.exec(glossary)[1];
const verbs = verbLine.split(/[ ,]+/).filter(Boolean);
const verbPattern = `^(${verbs.join('|')})([A-Z0-9].*)?$`;

/** Forbids the layer in `files` to import from any of `layers`. */
const forbidImports = (files, layers) => ({
  files,
  ignores: ['src/test/**'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: layers.map(layer => ({
          group: [`**/${layer}/*`],
          message: `This layer may not import from ${layer}.`,
        })),
      },
    ],
  },
});

const sharedSyntax = [
  {
    selector: 'ExportDefaultDeclaration',
    message: 'Use named exports.',
  },
  {
    selector:
      'MemberExpression[object.name=/^(it|test|describe)$/][property.name=/^(skip|only|todo|fails)$/]',
    message: 'No skipped, focused or expected-to-fail tests.',
  },
];

/** Names of calls, headers and fields on the users' platform. */
const PLATFORM_NAMES =
  '/sequoiaspool-(deadline-remaining-ms|response-signature|caller-service|target-instance|not-executed|server-load|cold-ms)|log-(append|read|newest)|non_idempotent|weighted_services|evacuate/i';

export default [
  {
    ignores: [
      'node_modules/**',
      'dist/**',
      'target/**',
      'journal/**',
      'src/protocol/*_pb.ts',
    ],
  },
  ...gts,
  {
    files: ['**/*.js'],
    languageOptions: {sourceType: 'module'},
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {prefer: 'type-imports', fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: ['function', 'classMethod'],
          format: ['camelCase'],
          custom: {regex: verbPattern, match: true},
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: ['variable', 'parameter', 'classProperty'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
          leadingUnderscore: 'forbid',
        },
      ],
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-restricted-syntax': ['error', ...sharedSyntax],
    },
  },
  {
    files: ['vitest*.config.ts'],
    rules: {'n/no-unpublished-import': 'off'},
  },
  {
    // The platform's names are decoded in platform/ and known only there.
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        ...sharedSyntax,
        ...['Literal[value=', 'TemplateElement[value.raw='].map(kind => ({
          selector: `${kind}${PLATFORM_NAMES}]`,
          message: 'Name on the platform; translate it in platform/.',
        })),
      ],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['**/platform/*'],
              message: 'src/ may not import from platform/; use NodeAdapter.',
            },
          ],
        },
      ],
    },
  },
  forbidImports(
    ['src/protocol/**'],
    ['bin', 'transport', 'coordination', 'state', 'measure', 'test'],
  ),
  forbidImports(
    ['src/state/**'],
    ['bin', 'transport', 'coordination', 'measure', 'test'],
  ),
  forbidImports(
    ['src/coordination/**'],
    ['bin', 'transport', 'measure', 'test'],
  ),
  forbidImports(
    ['src/transport/**'],
    ['bin', 'coordination', 'state', 'measure', 'test'],
  ),
];
