/**
 * Tests the slots reserved for nested calls: a call must find a free slot
 * beside a flood of callers' own requests, and the reservation must not cost
 * callers more than the calls need.
 */
import {describe, expect, it} from 'vitest';
import {CallReservation} from '../coordination/admission/call-reservation.js';
import type {Stream} from './slot-streams.js';
import {computeFraction, listSent, runStreams} from './slot-streams.js';

const SECONDS = 10;
/** Time until the estimates have settled. */
const SETTLED_MS = 4000;

/** Needs 10 slots of the 4 that run concurrently. */
const OWN_FLOOD: Stream = {
  route: 'own',
  everyMs: 40,
  serviceMs: 400,
  targetMs: 1200,
};
/** Uses 1 slot. */
const CALLS: Stream = {
  route: 'call',
  everyMs: 40,
  serviceMs: 40,
  targetMs: 120,
  isNested: true,
};
/** Needs 10 slots. */
const CALL_FLOOD: Stream = {...CALLS, everyMs: 4};

describe('a worker that is called by running requests', () => {
  // Guards against calls that wait for a whole service time of a flood.
  it.each([
    {name: 'with', reservesForCalls: true},
    {name: 'without', reservesForCalls: false},
  ])(
    'serves calls in time beside a flood of own requests: $name reservation',
    async ({reservesForCalls}) => {
      const streams = [OWN_FLOOD, CALLS];
      const rules = {reservesForCalls};
      const sent = await runStreams({rules, streams, seconds: SECONDS});
      const calls = listSent(sent, 'call', SETTLED_MS);
      const inTime = computeFraction(calls, ({isInTime}) => isInTime === true);
      if (reservesForCalls) expect(inTime).toBeGreaterThan(0.95);
      else expect(inTime).toBeLessThan(0.95);
      // Three of four slots remain for own requests.
      const own = listSent(sent, 'own', SETTLED_MS);
      const served = own.filter(({waitMs}) => waitMs !== undefined).length;
      const mostServed = ((SECONDS * 1000 - SETTLED_MS) / 400) * 4;
      expect(served).toBeGreaterThan(0.7 * mostServed);
    },
  );

  // Guards against callers that are starved by a flood of calls.
  it('serves own requests beside a flood of calls', async () => {
    const streams = [{...OWN_FLOOD, everyMs: 1000}, CALL_FLOOD];
    const rules = {reservesForCalls: true};
    const sent = await runStreams({rules, streams, seconds: SECONDS});
    const own = listSent(sent, 'own', SETTLED_MS);
    expect(computeFraction(own, ({isInTime}) => isInTime === true)).toBe(1);
  });

  // Guards against slots that stay empty after the calls have ended.
  it('gives the room back when calls stop coming', async () => {
    const streams = [OWN_FLOOD, {...CALL_FLOOD, untilMs: 3000}];
    const counts: number[] = [];
    for (const reservesForCalls of [true, false]) {
      const rules = {reservesForCalls};
      const sent = await runStreams({rules, streams, seconds: 30});
      const own = listSent(sent, 'own', 11_000);
      counts.push(own.filter(({waitMs}) => waitMs !== undefined).length);
    }
    // One slot of four that stayed empty would leave 0.75.
    expect(counts[0]).toBeGreaterThan(0.9 * counts[1]!);
  });
});

describe('the reservation', () => {
  // Guards against reservations that leave callers without a slot, and against
  // one that alternates while the demand is between two numbers.
  it.each([
    {name: 'no calls', callsPerSecond: 0, limit: 4, reserved: [0]},
    {name: 'few calls', callsPerSecond: 2, limit: 4, reserved: [0]},
    {name: 'calls that use 1.5 slots', callsPerSecond: 15, limit: 6},
    {
      name: 'more calls than slots',
      callsPerSecond: 90,
      limit: 5,
      reserved: [2],
    },
    {name: 'a limit of 1', callsPerSecond: 90, limit: 1, reserved: [0]},
  ])('with $name at a limit of $limit', row => {
    const {callsPerSecond, limit, reserved} = row;
    const reservation = new CallReservation();
    const seen = new Set<number>();
    const gapMs = 1000 / callsPerSecond;
    for (let now = 0; now < 20_000; now += gapMs) {
      reservation.recordCall(100, now);
      if (now > 10_000) seen.add(reservation.compute(limit, now));
    }
    if (callsPerSecond === 0) seen.add(reservation.compute(limit, 0));
    expect(seen.size).toBe(1);
    if (reserved) expect([...seen]).toEqual(reserved);
  });
});
