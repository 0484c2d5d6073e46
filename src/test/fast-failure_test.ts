/**
 * A worker that fails fast or refuses connections attracts no traffic, is
 * reported as failing in its load figures, and is used again once it works.
 */
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';
import {runLoad} from './load-loops.js';
import type {UpstreamControl} from './stand-ins/upstream.js';

const REQUESTS = 3000;

const HEALTHY: Partial<UpstreamControl> = {
  isFailingFast: false,
  isShedding: false,
  isCutting: false,
  serviceTimeMs: 4,
};

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

describe('a worker of three that fails fast', () => {
  const cases: Array<{name: string; control: Partial<UpstreamControl>}> = [
    {name: 'answers 500', control: {isFailingFast: true}},
    {name: 'sheds all', control: {isShedding: true}},
    {name: 'cuts its answers', control: {isCutting: true, serviceTimeMs: 0}},
  ];
  it.each(cases)('$name', async ({control}) => {
    const started = await startFixture({workers: 3});
    fixture = started;
    const load = {fixture: started, caller: 'mender', concurrency: 24};
    await runLoad({...load, requests: 600});
    const upstream = started.upstreams.get('desk-0')!;
    Object.assign(upstream.control, control);
    const before = upstream.stats.requests;
    const counts = await runLoad({...load, requests: REQUESTS});
    const share = (upstream.stats.requests - before) / REQUESTS;
    expect(share).toBeLessThan(0.05);
    expect((counts['answered'] ?? 0) / REQUESTS).toBeGreaterThan(0.95);

    Object.assign(upstream.control, HEALTHY);
    await waitFor('the worker to get its share again', async () => {
      const earlier = upstream.stats.requests;
      await runLoad({...load, requests: 300});
      return upstream.stats.requests - earlier > 50;
    });
  });
});

it('a worker that refuses connections says not-run and recovers', async () => {
  const started = await startFixture({
    workers: 1,
    configuration: {
      profiles: {desk: {retries: {maxAttempts: 1}}},
      services: {'kona-desk': {profile: 'desk'}},
    },
  });
  fixture = started;
  const [host] = started.deployment.hosts;
  const url = `http://${host!.callerAddress}/kona-desk/bookings`;
  const book = async (): Promise<string> => {
    const response = await fetch(url, {method: 'POST', body: 'ribs'});
    await response.arrayBuffer();
    const find = (name: string) => response.headers.get(`sequoiaspool-${name}`);
    return `${find('reason') ?? ''} ${find('verdict')}`;
  };
  await started.upstreams.get('desk-0')!.stop();
  expect(await book()).toBe('unreachable not-run');
  expect(await book()).toBe('worker-gone not-run');
  await started.deployment.startUpstream(host!);
  await waitFor('the worker to be used again', async () => {
    return (await book()) === ' ran';
  });
});
