/** esbuild options that all bundles share. */
import {resolve} from 'node:path';

/** Defines `require`, which bundled CommonJS packages call. */
export const BANNER =
  "import {createRequire as createRequireForBundle} from 'node:module';" +
  'const require = createRequireForBundle(import.meta.url);';

const plainAssertions = {
  name: 'plain-assertions',
  setup: ({onResolve}) => {
    const path = resolve('scripts/plain-assert.cjs');
    onResolve({filter: /^(node:)?assert$/}, () => ({path}));
  },
};

export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
  banner: {js: BANNER},
  plugins: [plainAssertions],
};
