/**
 * Requests with the same fingerprint that lose their connections together all
 * become suspects. The first answer clears all of them; without that they
 * would run one at a time until the rest are refused.
 */
import {expect, it} from 'vitest';
import type {WatchedRun} from '../coordination/crash-quarantine.js';
import {CrashQuarantine, CrashWatch} from '../coordination/crash-quarantine.js';
import {CrashTable} from '../state/crash-table.js';

const FINGERPRINT = 'GET /tickets/7';
const OTHER = 'GET /tickets/8';
const WAIT_LIMIT_MS = 60_000;

function startRun(watch: CrashWatch, fingerprint: string): Promise<WatchedRun> {
  const deadline = performance.now() + WAIT_LIMIT_MS;
  const request = {service: 'kona-desk', fingerprint, deadline};
  return watch.startRun(request, WAIT_LIMIT_MS);
}

const CASES = [
  {name: 'equal requests start at once', waiting: FINGERPRINT, started: 5},
  {name: 'other suspects still wait', waiting: OTHER, started: 0},
];

it.each(CASES)('after an answer $name', async ({waiting, started}) => {
  const quarantine = new CrashQuarantine(new CrashTable(), async () => {});
  await quarantine.recordCrash('kona-desk', [FINGERPRINT, OTHER], []);
  const watch = new CrashWatch('kona-desk', quarantine, async () => {});
  const first = await startRun(watch, FINGERPRINT);
  let count = 0;
  const runs = Array.from({length: 5}, () =>
    startRun(watch, waiting).then(run => {
      count += 1;
      return run;
    }),
  );
  watch.recordAnswer(first);
  await new Promise(resolve => setImmediate(resolve));
  expect(count).toBe(started);
  first.end();
  for (const run of runs) (await run).end();
});
