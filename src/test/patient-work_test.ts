/**
 * Tests latency-tolerant work beside urgent work at one worker: neither may
 * keep the other from its slots, and work with much time left waits for a slot
 * rather than be refused as early as urgent work.
 */
import {describe, expect, it} from 'vitest';
import type {SentRequest, Stream} from './slot-streams.js';
import {computeFraction, listSent, runStreams} from './slot-streams.js';

const SECONDS = 10;
const EXPORT_MS = 500;
/** Longest service time of an export, by the variation in `runStreams`. */
const LONGEST_EXPORT_MS = 1.5 * EXPORT_MS;

const EXPORTS: Stream = {
  route: 'export',
  everyMs: 1000,
  serviceMs: EXPORT_MS,
  targetMs: 1500,
  rank: 2,
};
const CALLS: Stream = {
  route: 'lookup',
  everyMs: 100,
  serviceMs: 40,
  targetMs: 200,
  isNested: true,
};
const OWN_LOOKUPS: Stream = {...CALLS, isNested: false, rank: 1};
/** Fills the four slots ten times over. */
const EXPORT_BURST: Stream = {
  ...EXPORTS,
  everyMs: 12,
  fromMs: 4000,
  untilMs: 7000,
};
/** Needs 16 slots. */
const CALL_BURST: Stream = {
  ...CALLS,
  everyMs: 2.5,
  fromMs: 4000,
  untilMs: 9000,
};

function isInTime(request: SentRequest): boolean {
  return request.isInTime === true;
}

function run(
  queuesPatientWork: boolean,
  streams: readonly Stream[],
): Promise<SentRequest[]> {
  return runStreams({rules: {queuesPatientWork}, streams, seconds: SECONDS});
}

describe('a worker with urgent and patient work', () => {
  // Guards against a burst of exports that takes all slots, so that each
  // lookup waits for one of them to end.
  it.each([
    {name: 'nested lookups', lookups: CALLS},
    {name: "callers' lookups", lookups: OWN_LOOKUPS},
  ])('serves $name beside a burst of exports', async ({lookups}) => {
    const streams = [EXPORTS, lookups, EXPORT_BURST];
    const inTime = await Promise.all(
      [true, false].map(async isOn => {
        const sent = await run(isOn, streams);
        const requests = listSent(sent, 'lookup', 4000, 8000);
        const longestMs = Math.max(...requests.map(({waitMs = 0}) => waitMs));
        if (isOn) expect(longestMs).toBeLessThanOrEqual(LONGEST_EXPORT_MS);
        return computeFraction(requests, isInTime);
      }),
    );
    expect(inTime[0]).toBeGreaterThan(0.95);
    expect(inTime[1]).toBeLessThan(0.95);
  });

  // Guards against exports that are never served while lookups come in.
  it.each([
    {name: 'with', isOn: true},
    {name: 'without', isOn: false},
  ])('serves exports beside a burst of calls: $name floor', async ({isOn}) => {
    const sent = await run(isOn, [EXPORTS, CALLS, CALL_BURST]);
    const exports = listSent(sent, 'export', 4500, 8000);
    const inTime = computeFraction(exports, isInTime);
    if (isOn) expect(inTime).toBe(1);
    else expect(inTime).toBeLessThan(0.5);
  });

  // Guards against exports that are refused with most of their time left when
  // several come at once.
  it('lets exports wait while they can be in time', async () => {
    const burst = {...EXPORTS, everyMs: 1, fromMs: 4000, untilMs: 4008};
    const counts: number[] = [];
    for (const isOn of [true, false]) {
      const sent = await run(isOn, [EXPORTS, CALLS, burst]);
      const exports = listSent(sent, 'export', 4000, 4008);
      counts.push(exports.filter(isInTime).length);
    }
    expect(counts[0]).toBeGreaterThan(counts[1]!);
  });

  // Guards against slots that are left to nobody, and other waits, at a worker
  // whose work is all alike.
  it('serves work of one kind as without the rule', async () => {
    const [withRule, without] = await Promise.all(
      [true, false].map(isOn => run(isOn, [{...EXPORTS, everyMs: 80}])),
    );
    expect(withRule!.map(({waitMs}) => waitMs)).toEqual(
      without!.map(({waitMs}) => waitMs),
    );
  });

  // Guards against requests that go on waiting at a host that has become too
  // slow for them, while another gate could still serve them.
  it('refuses waiting exports when the host becomes too slow', async () => {
    const slowAt = 6000;
    const sent = await runStreams({
      rules: {queuesPatientWork: true},
      streams: [{...EXPORTS, everyMs: 100}, CALLS],
      seconds: SECONDS,
      paces: [{fromMs: slowAt, pace: 4}],
    });
    const waiting = listSent(sent, 'export', 0, slowAt).filter(
      ({sentAt, waitMs, refusedAt = 0}) =>
        waitMs === undefined ? refusedAt >= slowAt : sentAt + waitMs > slowAt,
    );
    expect(waiting.length).toBeGreaterThan(0);
    for (const {refusedAt, refusal} of waiting) {
      expect(refusedAt).toBeLessThan(slowAt + 100);
      expect(refusal!.detail).toMatch(
        /place \d+, expected wait \d+ ms, waited/,
      );
    }
  });
});
