/**
 * Soon after an upstream announces that it leaves, or stops announcing itself,
 * it gets no new requests from any entry, and no call fails.
 */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture, WARM_CONFIGURATION} from './deployment-fixture.js';
import {CallLoad} from './stand-ins/call-load.js';
import type {UpstreamStandIn} from './stand-ins/upstream.js';

const CALLER_COUNT = 16;
const SEED = 'leaving-upstream-1';
/** Time after the announcement within which new requests must stop. */
const MAX_LEAVE_DELAY_MS = 2000;
/** Time to live of the stand-in's announcements. */
const TTL_MS = 2000;
const CALLS_BEFORE = 200;
const CALLS_AFTER = 1500;

let fixture: Fixture;
let load: CallLoad | undefined;

beforeEach(async () => {
  fixture = await startFixture({
    workers: 4,
    configuration: WARM_CONFIGURATION,
    // Late acknowledgements on a busy machine must not count as losses.
    nodeSettings: {connections: {acknowledgeTimeout: '5s'}},
  });
});

afterEach(async () => {
  await load?.stop();
  load = undefined;
  await fixture?.stop();
});

interface LeaveCase {
  readonly name: string;
  readonly limitMs: number;
  readonly leave: (upstream: UpstreamStandIn) => Promise<void>;
}

const leaveCases: LeaveCase[] = [
  {
    name: 'announces that it drains',
    limitMs: MAX_LEAVE_DELAY_MS,
    leave: async upstream => {
      upstream.control.state = 'draining';
      await upstream.announce();
    },
  },
  {
    name: 'stops announcing itself',
    limitMs: TTL_MS + MAX_LEAVE_DELAY_MS,
    leave: async upstream => {
      upstream.control.isQuiet = true;
    },
  },
];

describe('an upstream gets no new work after it', () => {
  it.each(leaveCases)('$name', async ({limitMs, leave}) => {
    load = new CallLoad(fixture.deployment, CALLER_COUNT, SEED);
    await load.waitForCalls(CALLS_BEFORE);
    const upstream = fixture.upstreams.get('desk-1')!;
    expect(upstream.stats.requests).toBeGreaterThan(0);
    const leftAt = Date.now();
    await leave(upstream);
    await waitFor('the limit to pass', () => Date.now() > leftAt + limitMs);
    await load.waitForCalls(CALLS_AFTER);
    expect(upstream.stats.lastRequestAtMs - leftAt).toBeLessThan(limitMs);
    await load.stop();
    expect(load.listFailed()).toEqual([]);
  });

  it('gets new work when it announces itself ready', async () => {
    load = new CallLoad(fixture.deployment, CALLER_COUNT, SEED);
    const upstream = fixture.upstreams.get('desk-1')!;
    upstream.control.state = 'draining';
    await upstream.announce();
    await load.waitForCalls(CALLS_BEFORE);
    const before = upstream.stats.requests;
    upstream.control.state = 'ready';
    await upstream.announce();
    await waitFor(
      'new work',
      () => upstream.stats.requests > before + CALLS_BEFORE / 10,
    );
  });
});

describe('a change of a worker', () => {
  it('is known to all nodes, and entries send it nothing more', async () => {
    const upstream = fixture.upstreams.get('desk-1')!;
    upstream.control.state = 'draining';
    await upstream.announce();
    await waitFor('all nodes to know', async () => {
      for (const host of fixture.deployment.hosts) {
        const {nodes} = await host.readStatus();
        const node = nodes.find(({nodeId}) => nodeId === 'desk-1');
        if (node?.workers[0]?.state !== 'draining') return false;
      }
      return true;
    });
  });
});
