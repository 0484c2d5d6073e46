/**
 * Bundles the node for the users' platform into target/, which holds all that
 * a host needs beside Node.js.
 */
import {mkdirSync} from 'node:fs';
import {resolve} from 'node:path';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle-options.js';

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
  ...BUNDLE_OPTIONS,
  entryPoints: ['platform/main.ts'],
  outfile: 'target/node.js',
  plugins: [slimUndici],
});
