/**
 * Bundles each binary into one file under dist/. Dependencies are bundled too,
 * so that a host needs node and the file only. Stand-ins and the local
 * deployment go to dist/dev/ and are not shipped.
 */
import {chmodSync, readdirSync, rmSync} from 'node:fs';
import {build} from 'esbuild';
import {BANNER, BUNDLE_OPTIONS} from './bundle-options.js';

const binaries = readdirSync('src/bin').filter(name => name.endsWith('.ts'));
const devPrograms = readdirSync('src/dev').filter(name => name.endsWith('.ts'));

/** Mode of a program that anybody may run. */
const RUNNABLE = 0o755;

const shared = {
  ...BUNDLE_OPTIONS,
  sourcemap: false,
  // An optional native socket of the metrics client; UDP is used instead.
  // The plotting libraries are loaded by the experiment tool when asked for.
  external: ['unix-dgram', 'vega', 'vega-lite'],
};

rmSync('dist', {recursive: true, force: true});
await Promise.all([
  ...binaries.map(name =>
    build({
      ...shared,
      entryPoints: [`src/bin/${name}`],
      outfile: `dist/bin/${name.replace('.ts', '.js')}`,
      banner: {js: `#!/usr/bin/env node\n${BANNER}`},
    }),
  ),
  ...devPrograms.map(name =>
    build({
      ...shared,
      entryPoints: [`src/dev/${name}`],
      outfile: `dist/dev/${name.replace('.ts', '.js')}`,
    }),
  ),
  build({
    ...shared,
    entryPoints: ['src/index.ts'],
    outfile: 'dist/index.js',
  }),
]);
for (const name of binaries) {
  chmodSync(`dist/bin/${name.replace('.ts', '.js')}`, RUNNABLE);
}
