/**
 * Bundles the node for the users' platform into target/. Besides Node.js, a
 * host needs only that folder.
 */
import {mkdirSync} from 'node:fs';
import {resolve} from 'node:path';
import {build} from 'esbuild';
import {BUNDLE_OPTIONS} from './bundle-options.js';

/** Resolves each import of undici to slim-undici.js. */
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
