/**
 * Bundles each binary with its dependencies into one file under dist/, so that
 * a host needs only Node.js and that file. Stand-ins and the local deployment
 * go to dist/dev/ and are not shipped.
 */
import {chmodSync, readdirSync, rmSync} from 'node:fs';
import {build} from 'esbuild';
import {BANNER, BUNDLE_OPTIONS} from './bundle-options.js';

const binaries = readdirSync('src/bin').filter(name => name.endsWith('.ts'));
const devPrograms = readdirSync('src/dev').filter(name => name.endsWith('.ts'));

/** File mode of executables: rwxr-xr-x. */
const RUNNABLE = 0o755;

const shared = {
  ...BUNDLE_OPTIONS,
  sourcemap: false,
  // The metrics client needs unix-dgram only for Unix sockets; nodes use UDP.
  // The measurement tool loads the plotting libraries only for --plot.
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
