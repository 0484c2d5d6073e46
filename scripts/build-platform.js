/**
 * Bundles the node for the users' platform into target/, which holds all that
 * a host needs beside Node.js.
 */
import {mkdirSync} from 'node:fs';
import {resolve} from 'node:path';
import {build} from 'esbuild';

const banner =
  "import {createRequire as createRequireForBundle} from 'node:module';" +
  'const require = createRequireForBundle(import.meta.url);';

/** Takes the slim part of undici wherever the package is imported. */
const slimUndici = {
  name: 'slim-undici',
  setup: ({onResolve}) =>
    onResolve({filter: /^undici$/}, () => ({
      path: resolve('scripts/slim-undici.js'),
    })),
};

mkdirSync('target', {recursive: true});
await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/node.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
  plugins: [slimUndici],
  banner: {js: banner},
});
