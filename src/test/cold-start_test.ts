/**
 * Tests with several real nodes that send at the same time that a cold worker
 * gets no more concurrent requests than it can handle, as counted by the
 * workers.
 */
import {afterEach, describe, expect, it} from 'vitest';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';
import {computeTotal, runLoad} from './load-loops.js';

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

function listUpstreams(started: Fixture) {
  return [...started.upstreams.values()];
}

describe('a worker that announces itself as cold is never overloaded', () => {
  it.each([
    {coldConcurrency: 1, concurrency: 40},
    {coldConcurrency: 2, concurrency: 40},
  ])(
    'with a cold concurrency of $coldConcurrency',
    async ({coldConcurrency, concurrency}) => {
      fixture = await startFixture({
        workers: 3,
        control: {coldConcurrency, state: 'cold'},
        configuration: {
          profiles: {desk: {limits: {coldConcurrency}}},
          services: {'kona-desk': {profile: 'desk'}},
        },
      });
      const counts = await runLoad({
        fixture,
        caller: 'mender',
        concurrency,
        requests: 600,
      });
      expect(computeTotal(fixture, 'coldOverloads')).toBe(0);
      expect(counts['failed'] ?? 0).toBe(0);
      for (const {stats} of listUpstreams(fixture)) {
        expect(stats.maxInFlightCold).toBe(coldConcurrency);
      }
    },
  );
});

describe('a worker that is cold without notice is overloaded a few times', () => {
  it.each([
    {name: 'from its first request', isWarmFirst: false},
    {name: 'when it turns cold again', isWarmFirst: true},
  ])('$name', async ({isWarmFirst}) => {
    const coldConcurrency = isWarmFirst ? 0 : 1;
    fixture = await startFixture({workers: 3, control: {coldConcurrency}});
    const load = {fixture, caller: 'mender', concurrency: 40};
    if (isWarmFirst) {
      await runLoad({...load, requests: 2000});
      for (const {stats} of listUpstreams(fixture)) {
        expect(stats.maxInFlight).toBeGreaterThan(1);
      }
    }
    for (const {control} of listUpstreams(fixture)) control.coldConcurrency = 1;
    const counts = await runLoad({...load, requests: 2000});
    const overloads = computeTotal(fixture, 'coldOverloads');
    expect(overloads).toBeLessThan(200);
    expect(counts['answered'] ?? 0).toBeGreaterThan(0);
  });
});

it('a worker that has warmed up gets its full concurrency again', async () => {
  fixture = await startFixture({
    workers: 2,
    control: {coldConcurrency: 1, state: 'cold'},
  });
  const load = {fixture, caller: 'mender', concurrency: 30};
  await runLoad({...load, requests: 100});
  for (const upstream of listUpstreams(fixture)) {
    Object.assign(upstream.control, {coldConcurrency: 0, state: 'ready'});
    await upstream.announce();
  }
  await runLoad({...load, requests: 2000});
  for (const {stats} of listUpstreams(fixture)) {
    expect(stats.maxInFlight).toBe(6);
  }
});
