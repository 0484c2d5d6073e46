/**
 * A request that crashes workers is refused by all nodes after two crashes,
 * and what was in flight beside it is answered. Real nodes; a crash ends the
 * worker's connections, and the worker starts again a little later.
 */
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';
import {runLoad} from './load-loops.js';

const HOSTS = ['desk-0', 'desk-1', 'desk-2', 'desk-3'];
const CRASH_PATH = '/crash/1';
/** Time in which a crashed process comes up again. */
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

async function startCrashing(serviceTimeMs: number): Promise<Fixture> {
  fixture = await startFixture({
    workers: HOSTS.length,
    control: {crashPathPrefix: '/crash', serviceTimeMs},
    handleCrash: hostId => {
      restarts.push(startAgain(hostId));
    },
  });
  return fixture;
}

/** Sends the crashing request; its reason, or empty when it was answered. */
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
    {name: 'idempotent, beside others', method: 'GET', loops: 24},
    {name: 'not idempotent, beside others', method: 'POST', loops: 24},
    {name: 'alone', method: 'GET', loops: 0},
  ])('$name', async ({method, loops}) => {
    const started = await startCrashing(40);
    const warmUp = {fixture: started, caller: 'mender', concurrency: 24};
    await runLoad({...warmUp, requests: 1000});
    const bystanders = runLoad({
      fixture: started,
      caller: 'mender',
      concurrency: loops,
      requests: loops > 0 ? 1500 : 0,
      paths: 12,
    });
    for (const host of HOSTS) {
      await waitFor(`${host} to refuse it`, async () => {
        return (await sendCrash(host, method)) === 'quarantined';
      });
    }
    const counts = await bystanders;
    expect(crashes).toBe(2);
    expect(counts['quarantined'] ?? 0).toBe(0);
    const after = {...warmUp, paths: 12, requests: 200};
    expect(await runLoad(after)).toEqual({answered: 200});
  });
});
