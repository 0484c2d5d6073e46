/**
 * Bundles the node for the users' platform into target/. Besides Node.js, a
 * host needs only that folder. A small program loads the bundle with code that
 * was compiled by this build: a fleet starts hundreds of nodes at a time, each
 * with a fraction of a core, and compiling is a large part of a node's start.
 */
import {spawnSync} from 'node:child_process';
import {copyFileSync, mkdirSync, readFileSync, rmSync} from 'node:fs';
import {resolve} from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {parse} from 'smol-toml';
import {BUNDLE_OPTIONS} from './bundle-options.js';

const TARGET = 'target';
const BUNDLE = `${TARGET}/node-bundle.cjs`;
const LOADER = `${TARGET}/node.cjs`;
const CODE_CACHE = `${TARGET}/node-bundle.cache`;

/** Modules of libraries that are replaced by a smaller one. */
const REPLACEMENTS = [
  {filter: /^undici$/, path: resolve('scripts/slim-undici.js')},
  {filter: /^prom-client$/, path: resolve('scripts/slim-prom-client.js')},
];
/** Modules that a node never uses; requiring them fails, as undici expects. */
const UNUSED_MODULES = /^node:http2$|^@opentelemetry\/api$/;

const slimLibraries = {
  name: 'slim-libraries',
  setup: ({onResolve, onLoad}) => {
    for (const {filter, path} of REPLACEMENTS) {
      onResolve({filter}, () => ({path}));
    }
    onResolve({filter: UNUSED_MODULES}, ({path}) => ({
      path,
      namespace: 'unused',
    }));
    onLoad({filter: /.*/, namespace: 'unused'}, ({path}) => ({
      contents: `throw new Error('${path} is not part of this bundle');`,
    }));
  },
};

/** Returns the options of Node.js that the deployment runs nodes with. */
function readNodeOptions() {
  const {roles} = parse(readFileSync('deploy/system.toml', 'utf8'));
  const [program, ...words] = roles.node.run.split(' ');
  if (program !== 'node' || words.at(-1) !== LOADER) {
    throw new Error(`role 'node' does not run ${LOADER}`);
  }
  return words.slice(0, -1);
}

/** Compiles the bundle; the code is valid only with the same V8 options. */
function buildCodeCache() {
  const {status} = spawnSync(
    process.execPath,
    [...readNodeOptions(), LOADER, '--write-code-cache'],
    {stdio: 'inherit'},
  );
  if (status !== 0) throw new Error(`compiling ended with status ${status}`);
}

mkdirSync(TARGET, {recursive: true});
rmSync(CODE_CACHE, {force: true});
await build({
  ...BUNDLE_OPTIONS,
  banner: {},
  format: 'cjs',
  entryPoints: ['platform/main.ts'],
  outfile: BUNDLE,
  plugins: [...BUNDLE_OPTIONS.plugins, slimLibraries],
});
copyFileSync('scripts/load-bundle.cjs', LOADER);
buildCodeCache();
