/**
 * Probes, counted by the upstreams, stay within the profile's budget, and the
 * outcomes of requests take precedence over them.
 */
import fc from 'fast-check';
import {afterEach, describe, expect, it} from 'vitest';
import {TokenBucket} from '../coordination/token-bucket.js';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';
import {runLoad} from './load-loops.js';
import type {UpstreamControl} from './stand-ins/upstream.js';

const RATE_PER_SECOND = 0.5;
const BURST = 2;
const PROBES_TO_SEE = 4;
/** Time limit of a probe, after which the health path counts as silent. */
const PROBE_LIMIT = '100ms';

it('a token bucket gives at most rate times time', () => {
  const pauses = fc.array(fc.double({min: 0, max: 3000, noNaN: true}));
  const rates = fc.double({min: 0, max: 50, noNaN: true});
  const property = fc.property(
    pauses,
    rates,
    fc.nat(5),
    (list, rate, burst) => {
      const bucket = new TokenBucket(0);
      let now = 0;
      let taken = 0;
      for (const pause of list) {
        now += pause;
        if (bucket.take(rate, burst, now)) taken += 1;
      }
      expect(taken).toBeLessThanOrEqual((rate * now) / 1000 + 1e-6);
    },
  );
  fc.assert(property, {seed: 4, numRuns: 500});
});

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

interface ProbeCase {
  readonly name: string;
  readonly control: Partial<UpstreamControl>;
  /** Whether requests are sent during the test. */
  readonly isLoaded: boolean;
}

describe('probes stay within the budget with three nodes', () => {
  const cases: ProbeCase[] = [
    {name: 'idle', control: {}, isLoaded: false},
    {name: 'idle, cold', control: {state: 'cold'}, isLoaded: false},
    {
      name: 'idle, health says 503',
      control: {healthStatus: 503},
      isLoaded: false,
    },
    {name: 'health silent', control: {isHealthSilent: true}, isLoaded: false},
    {
      name: 'requests fail while health says 200',
      control: {isFailingFast: true},
      isLoaded: true,
    },
    {
      name: 'requests fail while health is silent',
      control: {isFailingFast: true, isHealthSilent: true},
      isLoaded: true,
    },
  ];
  it.each(cases)('$name', async ({control, isLoaded}) => {
    const startedAt = performance.now();
    const started = await startFixture({
      workers: 3,
      control,
      configuration: {
        profiles: {
          desk: {
            probes: {
              ratePerSecond: RATE_PER_SECOND,
              burst: BURST,
              timeLimit: PROBE_LIMIT,
            },
          },
        },
        services: {'kona-desk': {profile: 'desk'}},
      },
    });
    fixture = started;
    for (const upstream of started.upstreams.values()) {
      await waitFor('probes', async () => {
        const load = {fixture: started, caller: 'mender', concurrency: 6};
        if (isLoaded) await runLoad({...load, requests: 30});
        return upstream.stats.probes >= PROBES_TO_SEE;
      });
      const elapsedS = (performance.now() - startedAt) / 1000;
      // A bucket starts empty, so its burst adds nothing over its whole life.
      const budget = RATE_PER_SECOND * elapsedS;
      expect(upstream.stats.probes).toBeLessThanOrEqual(budget);
    }
  });
});

it('requests show the state of a busy worker without probes', async () => {
  fixture = await startFixture({workers: 2});
  const load = {fixture, caller: 'mender', concurrency: 20};
  await runLoad({...load, requests: 200});
  const upstreams = [...fixture.upstreams.values()];
  const before = upstreams.map(({stats}) => stats.probes);
  await runLoad({...load, requests: 4000});
  const after = upstreams.map(({stats}) => stats.probes);
  expect(after).toEqual(before);
});

it('requests go on while the health path says 503', async () => {
  fixture = await startFixture({workers: 2, control: {healthStatus: 503}});
  const upstreams = [...fixture.upstreams.values()];
  await waitFor('probes', () =>
    upstreams.every(({stats}) => stats.probes >= 2),
  );
  const load = {fixture, caller: 'mender', concurrency: 10, requests: 500};
  expect(await runLoad(load)).toEqual({answered: 500});
});
