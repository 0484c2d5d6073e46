/** Bundles the project's stand-ins that the scripts use into target/review-3/. */
import process from 'node:process';
import {build} from 'esbuild';
import {BANNER} from '../../scripts/bundle-options.js';

const EXPORTS = [
  "export {PlatformStoreStandIn, StoreMode} from './platform/test/stand-ins/store.js';",
  "export {renderTemplate} from './platform/test/stand-ins/settings-template.js';",
  "export {FaultProxy} from './src/test/stand-ins/fault-proxy.js';",
  "export {findFreePorts} from './src/measure/free-ports.js';",
];

await build({
  stdin: {
    contents: EXPORTS.join('\n'),
    resolveDir: process.cwd(),
    loader: 'ts',
  },
  outfile: 'target/review-3/stand-ins.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {js: BANNER},
  logLevel: 'warning',
});
