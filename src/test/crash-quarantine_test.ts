/**
 * A request that crashes workers is refused by all nodes after two crashes,
 * and the other requests in flight are answered. Uses real nodes: a crash
 * closes the worker's connections, and the worker restarts a little later.
 */
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';
import {runLoad} from './load-loops.js';

const HOSTS = ['desk-0', 'desk-1', 'desk-2', 'desk-3'];
const SERVICE_TIME_MS = 40;
const CRASH_PATH = '/crash/1';
/** Time until a crashed process restarts. */
const RESTART_MS = 500;

let fixture: Fixture | undefined;
let crashes = 0;
let restarts: Array<Promise<void>> = [];

afterEach(async () => {
  await Promise.all(restarts);
  await fixture?.stop();
  fixture = undefined;
  crashes = 0;
  restarts = [];
});

async function startAgain(hostId: string): Promise<void> {
  crashes += 1;
  await fixture!.upstreams.get(hostId)!.stop();
  const {deployment} = fixture!;
  await new Promise(resolve => setTimeout(resolve, RESTART_MS));
  await deployment.startUpstream(deployment.findHost(hostId));
}

async function startCrashing(
  workers: number,
  limits: Record<string, unknown> = {},
  retries: Record<string, unknown> = {},
): Promise<Fixture> {
  fixture = await startFixture({
    workers,
    control: {crashPathPrefix: '/crash', serviceTimeMs: SERVICE_TIME_MS},
    configuration: {
      profiles: {desk: {limits, retries}},
      services: {'kona-desk': {profile: 'desk'}},
    },
    handleCrash: hostId => {
      restarts.push(startAgain(hostId));
    },
  });
  return fixture;
}

/** Sends the crashing request; returns the reason, or '' if answered. */
async function sendCrash(hostId: string, method: string): Promise<string> {
  const {callerAddress} = fixture!.deployment.findHost(hostId);
  const url = `http://${callerAddress}/kona-desk${CRASH_PATH}`;
  const response = await fetch(url, {method});
  await response.arrayBuffer();
  const reason = response.headers.get('sequoiaspool-reason');
  if (reason === 'quarantined') {
    expect(response.headers.get('sequoiaspool-verdict')).toBe('not-run');
  }
  return reason ?? '';
}

describe('a request that crashes workers', () => {
  it.each([
    {name: 'idempotent', method: 'GET', loops: 24, requests: 1500},
    {name: 'not idempotent', method: 'POST', loops: 24, requests: 1500},
    {name: 'alone', method: 'GET', loops: 0, requests: 0},
  ])('$name', async ({method, loops, requests}) => {
    const started = await startCrashing(HOSTS.length);
    const load = {fixture: started, caller: 'mender', paths: 12};
    await runLoad({...load, concurrency: 24, requests: 300});
    const bystanders = runLoad({...load, concurrency: loops, requests});
    for (const host of HOSTS) {
      await waitFor(`${host} to refuse it`, async () => {
        return (await sendCrash(host, method)) === 'quarantined';
      });
    }
    const counts = await bystanders;
    expect(crashes).toBe(2);
    expect(counts['quarantined'] ?? 0).toBe(0);
    await waitFor('all others to be answered', async () => {
      const after = await runLoad({...load, concurrency: 4, requests: 40});
      expect(after['quarantined'] ?? 0).toBe(0);
      return after['answered'] === 40;
    });
  });
});

it('requests in flight at each of the crashes are answered', async () => {
  const limits = {coldConcurrency: 6, queueWait: '2s'};
  const started = await startCrashing(1, limits, {maxAttempts: 1});
  const [upstream] = started.upstreams.values();
  const load = {fixture: started, caller: 'mender', concurrency: 1};
  const slow = {...load, requests: 1, paths: 2};
  upstream!.control.serviceTimeMs = 1000;
  const bystanders = ['/rib', '/frame', '/canopy'].map(async path => {
    await waitFor(`${path} to be answered`, async () => {
      const counts = await runLoad({...slow, path});
      expect(counts['quarantined'] ?? 0).toBe(0);
      return counts['answered'] === 1;
    });
  });
  await waitFor('all to run', () => upstream!.stats.requests >= 3);
  await waitFor('the node to refuse it', async () => {
    return (await sendCrash('desk-0', 'GET')) === 'quarantined';
  });
  await Promise.all(bystanders);
  expect(crashes).toBe(2);
});
