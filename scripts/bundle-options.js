/** What all bundles have in common. */

/** CommonJS packages in an ES module call `require`. */
export const BANNER =
  "import {createRequire as createRequireForBundle} from 'node:module';" +
  'const require = createRequireForBundle(import.meta.url);';

export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
  banner: {js: BANNER},
};
