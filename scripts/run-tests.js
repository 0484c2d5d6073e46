/**
 * Runs all tests: first those that share the machine, then, one at a time,
 * those that measure a process. Both runs go to their end; each leaves a report
 * in dist/. Exits with 1 when one of them failed.
 */
import {spawnSync} from 'node:child_process';
import {rmSync} from 'node:fs';
import process from 'node:process';
import {REPORTS} from './test-reports.js';

const VITEST = 'node_modules/vitest/vitest.mjs';

const results = REPORTS.map(({config, report}) => {
  rmSync(report, {force: true});
  const words = ['run', '--config', config, '--reporter=default'];
  const output = ['--reporter=json', `--outputFile.json=${report}`];
  const run = [VITEST, ...words, ...output, ...process.argv.slice(2)];
  return spawnSync(process.execPath, run, {stdio: 'inherit'}).status;
});
process.exitCode = results.every(status => status === 0) ? 0 : 1;
