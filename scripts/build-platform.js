/**
 * Bundles the node for the users' platform into target/, which holds all that
 * a host needs beside Node.js.
 */
import {mkdirSync} from 'node:fs';
import {build} from 'esbuild';

const banner =
  "import {createRequire as createRequireForBundle} from 'node:module';" +
  'const require = createRequireForBundle(import.meta.url);';

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
  banner: {js: banner},
});
