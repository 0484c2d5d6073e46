/**
 * Injects each fault at each step of a request, on each link of its path, with
 * real node processes behind fault proxies. Lookups must get complete answers.
 * Bookings without a key must run at most once, and a booking refused with
 * `not-run` must not have run.
 */
import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';
import type {FaultProxy} from './stand-ins/fault-proxy.js';
import {createLinkFaults} from './stand-ins/fault-proxy.js';

/** Requests sent in each case; about half of them meet the fault. */
const REQUESTS_PER_CASE = 12;
/** Consecutive bursts that must be answered before the first case. */
const WARM_UP_BURSTS = 3;
/**
 * Limits under which no worker refuses requests as cold or full; other tests
 * cover these refusals. A fault at one of the two workers sends all requests of
 * a case to the other, and a worker whose connections are lost counts as cold.
 * So a cold worker may use all its slots, and the other requests may be queued
 * for ten times the service time, which leaves most of the deadline to requests
 * queued behind a stalled one.
 */
const WARM_LIMITS = {coldConcurrency: 6, queueWait: '600ms'};
const TIME_LIMIT_MS = 3000;
/** Long enough to inject a fault while a request runs. */
const SERVICE_TIME_MS = 60;
const FAULT_DELAY_MS = 25;
const HALF_REQUEST_BYTES = 120;
const HALF_ANSWER_BYTES = 60;

const ENTRY = 'desk-0';
const FAULTY = 'desk-1';

let fixture: Fixture;

/** A fault that is set before the requests or injected while they run. */
interface FaultCase {
  readonly step: string;
  readonly fault: string;
  readonly before?: (proxy: FaultProxy) => void | Promise<void>;
  readonly during?: (proxy: FaultProxy) => void;
}

const FAULTS: readonly FaultCase[] = [
  {step: 'before sending', fault: 'refused', before: proxy => proxy.refuse()},
  {
    step: 'before sending',
    fault: 'reset',
    before: proxy => {
      proxy.faults.isResetting = true;
    },
  },
  {
    step: 'before sending',
    fault: 'stalled',
    before: proxy => {
      proxy.faults.toTarget.isStalled = true;
    },
  },
  {
    step: 'half sent',
    fault: 'cut',
    before: proxy => {
      proxy.faults.toTarget.cutAfterBytes = HALF_REQUEST_BYTES;
    },
  },
  {step: 'running', fault: 'reset', during: proxy => proxy.resetConnections()},
  {
    step: 'running',
    fault: 'silent for good',
    during: proxy => proxy.holdConnections(),
  },
  {
    step: 'half answered',
    fault: 'cut',
    before: proxy => {
      proxy.faults.toClient.cutAfterBytes = HALF_ANSWER_BYTES;
    },
  },
  {
    step: 'answered but lost',
    fault: 'stalled',
    before: proxy => {
      proxy.faults.toClient.isStalled = true;
    },
  },
  {
    step: 'all steps',
    fault: 'delayed',
    before: proxy => {
      proxy.faults.toTarget.delayMs = FAULT_DELAY_MS;
      proxy.faults.toClient.delayMs = FAULT_DELAY_MS;
    },
  },
];

const LINKS = [
  {link: 'entry to gate', find: () => fixture.peerProxies.get(FAULTY)!},
  {link: 'gate to upstream', find: () => fixture.upstreamProxies.get(FAULTY)!},
];

const CASES = LINKS.flatMap(link => FAULTS.map(fault => ({...link, ...fault})));

beforeAll(async () => {
  fixture = await startFixture({
    workers: 3,
    hasPeerProxies: true,
    hasUpstreamProxies: true,
    control: {serviceTimeMs: SERVICE_TIME_MS},
    // About half of all requests meet a fault here, more than the default
    // retry budget covers; other tests cover the budget.
    configuration: {
      profiles: {
        // The default policy would soon avoid the faulty worker.
        desk: {
          balancing: 'random',
          limits: WARM_LIMITS,
          retries: {budgetPercent: 100},
          hedging: {budgetPercent: 50},
        },
      },
      services: {'kona-desk': {profile: 'desk'}},
    },
  });
  // The entry has no local worker, so that every request crosses a link.
  await fixture.upstreams.get(ENTRY)!.stop();
  await sendUntilAnswered(WARM_UP_BURSTS);
});

afterAll(async () => {
  await fixture?.stop();
});

beforeEach(async () => {
  const proxies = [
    ...fixture.peerProxies.values(),
    ...fixture.upstreamProxies.values(),
  ];
  for (const proxy of proxies) {
    const healthy = createLinkFaults();
    Object.assign(proxy.faults.toTarget, healthy.toTarget);
    Object.assign(proxy.faults.toClient, healthy.toClient);
    proxy.faults.isResetting = false;
    proxy.resetConnections();
    await proxy.accept();
  }
  // The entry may not have detected yet that the other link was reset too.
  await sendUntilAnswered(1);
});

interface Outcome {
  readonly id: string;
  readonly status: number;
  readonly verdict: string | null;
  readonly reason: string | null;
  readonly answeredId: unknown;
}

/**
 * Sends bursts of lookups until all are answered. The first may fail, because
 * the nodes have not discovered each other yet.
 */
async function sendUntilAnswered(bursts: number): Promise<void> {
  await waitFor('bursts of lookups to be answered', async () => {
    const outcomes: Outcome[] = [];
    while (outcomes.length < bursts * REQUESTS_PER_CASE) {
      const burst = Array.from({length: REQUESTS_PER_CASE}, () =>
        sendRequest('GET', '/tickets/1'),
      );
      outcomes.push(...(await Promise.all(burst)));
    }
    return outcomes.every(({status}) => status === 200);
  });
}

let requestCount = 0;

async function sendRequest(method: string, path: string): Promise<Outcome> {
  requestCount += 1;
  const id = `fault-${requestCount}`;
  const {callerAddress} = fixture.deployment.findHost(ENTRY);
  const response = await fetch(`http://${callerAddress}/kona-desk${path}`, {
    method,
    headers: {'x-request-id': id, 'connect-timeout-ms': String(TIME_LIMIT_MS)},
  });
  const body = (await response.json()) as Record<string, unknown>;
  return {
    id,
    status: response.status,
    verdict: response.headers.get('sequoiaspool-verdict'),
    reason: response.headers.get('sequoiaspool-reason'),
    answeredId: body['requestId'],
  };
}

async function runCase(
  {find, before, during}: (typeof CASES)[number],
  method: string,
  path: string,
): Promise<Outcome[]> {
  const proxy = find();
  await before?.(proxy);
  const sending = Array.from({length: REQUESTS_PER_CASE}, () =>
    sendRequest(method, path),
  );
  if (during) {
    await new Promise(resolve => setTimeout(resolve, SERVICE_TIME_MS / 2));
    during(proxy);
  }
  return Promise.all(sending);
}

function countRuns(id: string): number {
  let runs = 0;
  for (const {stats} of fixture.upstreams.values()) {
    runs += stats.runs[id] ?? 0;
  }
  return runs;
}

describe('a lookup is answered whole whatever strikes one link', () => {
  it.each(CASES)('$link: $step, $fault', async testCase => {
    const outcomes = await runCase(testCase, 'GET', '/tickets/7');
    for (const outcome of outcomes) {
      expect(outcome).toMatchObject({status: 200, answeredId: outcome.id});
    }
  });
});

describe('a booking without a key runs at most once, and not-run is true', () => {
  it.each(CASES)('$link: $step, $fault', async testCase => {
    const outcomes = await runCase(testCase, 'POST', '/bookings');
    for (const outcome of outcomes) {
      const runs = countRuns(outcome.id);
      expect(runs).toBeLessThanOrEqual(1);
      if (outcome.status === 200) {
        expect(outcome).toMatchObject({answeredId: outcome.id});
        expect(runs).toBe(1);
      } else {
        expect(outcome.reason).not.toBeNull();
        if (outcome.verdict === 'not-run') expect(runs).toBe(0);
      }
    }
  });
});

describe('a booking whose connection to the gate is lost is answered', () => {
  const cases = CASES.filter(
    ({link, during}) => link === 'entry to gate' && during,
  );
  it.each(cases)('$step, $fault', async testCase => {
    const outcomes = await runCase(testCase, 'POST', '/bookings');
    for (const outcome of outcomes) {
      expect(outcome).toMatchObject({status: 200, answeredId: outcome.id});
      expect(countRuns(outcome.id)).toBe(1);
    }
  });
});
