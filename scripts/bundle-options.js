/** esbuild options that all bundles share. */

/** Defines `require`, which bundled CommonJS packages call. */
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
