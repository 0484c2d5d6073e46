/**
 * Tests with real nodes that a caller or service that sends far more than its
 * share causes no refusals of another's requests.
 */
import {afterEach, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';
import {runLoad} from './load-loops.js';
import {UpstreamStandIn} from './stand-ins/upstream.js';

const LIMITS = {queueLength: 12, queueWait: '2s'};
const RETRIES = {maxAttempts: 1};

let fixture: Fixture | undefined;
let other: UpstreamStandIn | undefined;

afterEach(async () => {
  await other?.stop();
  await fixture?.stop();
  fixture = other = undefined;
});

/** Starts a worker whose slots and queue are smaller than each flood. */
async function startSmallWorker(): Promise<Fixture> {
  fixture = await startFixture({
    workers: 1,
    slots: 4,
    configuration: {
      profiles: {desk: {limits: LIMITS, retries: RETRIES}},
      services: {
        'kona-desk': {profile: 'desk'},
        'kona-archive': {profile: 'desk'},
      },
    },
  });
  return fixture;
}

it('refuses requests of a flooding caller and none of another caller', async () => {
  const started = await startSmallWorker();
  await runLoad({
    fixture: started,
    caller: 'first',
    concurrency: 8,
    requests: 200,
  });
  const [rare, flood] = await Promise.all([
    runLoad({fixture: started, caller: 'rare', concurrency: 4, requests: 300}),
    runLoad({
      fixture: started,
      caller: 'flood',
      concurrency: 40,
      requests: 6000,
    }),
  ]);
  expect(rare).toEqual({answered: 300});
  expect(flood['caller-limit'] ?? 0).toBeGreaterThan(0);
});

it('refuses no request of one service because another is flooded', async () => {
  const started = await startSmallWorker();
  const {callerAddress} = started.deployment.hosts[0]!;
  other = new UpstreamStandIn({
    service: 'kona-archive',
    nodeAddress: callerAddress,
  });
  await other.start();
  const archive = {fixture: started, service: 'kona-archive', caller: 'rare'};
  await waitFor('the archive to answer', async () => {
    const counts = await runLoad({...archive, concurrency: 1, requests: 1});
    return counts['answered'] === 1;
  });
  const flood = {fixture: started, caller: 'flood', concurrency: 60};
  const [archiveCounts, floodCounts] = await Promise.all([
    runLoad({...archive, concurrency: 2, requests: 200}),
    runLoad({...flood, requests: 4000}),
  ]);
  expect(archiveCounts).toEqual({answered: 200});
  expect(floodCounts['answered'] ?? 0).toBeLessThan(4000);
});
