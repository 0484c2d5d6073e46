/** When callers that were refused for lack of capacity return. */
import {describe, expect, it} from 'vitest';
import {PromisedReturns} from '../coordination/refusals/promised-returns.js';
import {ReturnTimes} from '../coordination/refusals/return-time.js';

const NOW = 10_000;
const SLOT_MS = 50;
const INPUTS = {
  now: NOW,
  remainingMs: 3000,
  targetMs: Infinity,
  serviceMs: 100,
  earliestMs: 40,
  ratePerMs: 0.1,
  rank: 1,
};
/** Half of the rate is for returns: 2.5 a slot. */
const ROOM_PER_SLOT = 2.5;

/** Gives `count` return times at once, in milliseconds after `NOW`. */
function addTimes(times: ReturnTimes, count: number, rank = 1): number[] {
  return Array.from({length: count}, () => {
    const delayMs = times.choose({...INPUTS, rank}, () => 0.5)!;
    times.record(NOW + delayMs, rank);
    return delayMs;
  });
}

describe('times to return', () => {
  const cases = [
    {name: 'the backlog', change: {}, random: 0, expected: 40},
    {name: 'jitter', change: {}, random: 0.9, expected: 45},
    {
      name: 'at most a third of the remaining time',
      change: {earliestMs: 900, remainingMs: 1200},
      random: 0.5,
      expected: 384,
    },
    {
      name: 'the target where it can still be met',
      change: {targetMs: 160, ratePerMs: 0},
      random: 1,
      expected: 60,
    },
    {
      name: 'the earliest time if no return is in time',
      change: {remainingMs: 150, serviceMs: 140},
      random: 0.5,
      expected: 40,
    },
    {
      name: 'a few ms at least',
      change: {earliestMs: 0},
      random: 0,
      expected: 5,
    },
    {
      name: 'nothing without remaining time',
      change: {remainingMs: 0},
      random: 0,
      expected: undefined,
    },
  ];
  // Guards against times that callers don't wait for, or that are too late.
  it.each(cases)('follow $name', ({change, random, expected}) => {
    const times = new ReturnTimes();
    expect(times.choose({...INPUTS, ...change}, () => random)).toBe(expected);
  });

  // Guards against a burst of refused callers that returns as a burst.
  it('spread a burst over the rate of the workers', () => {
    const delays = addTimes(new ReturnTimes(), 40);
    const bySlot = new Map<number, number>();
    for (const delayMs of delays) {
      const slot = Math.floor((NOW + delayMs) / SLOT_MS);
      bySlot.set(slot, (bySlot.get(slot) ?? 0) + 1);
    }
    expect(Math.max(...bySlot.values())).toBeLessThanOrEqual(
      Math.ceil(ROOM_PER_SLOT),
    );
    expect(Math.max(...delays)).toBeGreaterThan(
      (40 / ROOM_PER_SLOT - 2) * SLOT_MS,
    );
  });

  // Guards against a burst beyond all room that returns at the latest time.
  it('spread what exceeds the room over the whole time', () => {
    const times = new ReturnTimes();
    addTimes(times, 100);
    const low = times.choose(INPUTS, () => 0)!;
    const high = times.choose(INPUTS, () => 1)!;
    expect([low, high, times.isWithinRoom]).toEqual([40, 960, false]);
  });

  // Guards against urgent requests that wait behind less urgent returns.
  it('are earlier for a more urgent rank', () => {
    const times = new ReturnTimes();
    addTimes(times, 30, 2);
    const [urgent] = addTimes(times, 1, 0);
    const [other] = addTimes(times, 1, 2);
    expect(urgent).toBeLessThan(50);
    expect(other).toBeGreaterThan(400);
  });

  // Guards against counts of seconds ago that stretch the times of today.
  it('are not stretched by those of the past', () => {
    const times = new ReturnTimes();
    addTimes(times, 100);
    const later = {...INPUTS, now: NOW + 128 * SLOT_MS};
    expect(times.choose(later, () => 0)).toBe(40);
  });
});

const AT = NOW + 100;
const ARRIVAL_CASES = [
  {name: 'one returns in time', at: [AT + 10], expected: ['promised']},
  {name: 'one returns early', at: [NOW + 10], expected: ['early']},
  {
    name: 'one returns early and often',
    at: [NOW + 10, NOW + 20, NOW + 30, NOW + 40],
    expected: ['early', 'early', 'repeated', 'repeated'],
  },
  {
    name: 'many return at the promised time',
    at: [AT, AT + 1, AT + 2],
    expected: ['promised', 'new', 'new'],
  },
  {name: 'one returns late', at: [AT + 300], expected: ['new']},
];

describe('promised returns', () => {
  // Guards against callers that gain from returning early or often, and against
  // a loss for those that keep to the time they were told.
  it.each(ARRIVAL_CASES)('$name', ({at, expected}) => {
    const returns = new PromisedReturns();
    returns.add('key', AT, true, NOW);
    expect(at.map(time => returns.recordArrival('key', time))).toEqual(
      expected,
    );
  });

  // Guards against a caller that is preferred time after time.
  it('are promised once in a while to equal requests', () => {
    const returns = new PromisedReturns();
    returns.add('key', AT, true, NOW);
    returns.recordArrival('key', AT);
    returns.add('key', AT + 50, true, AT);
    expect(returns.recordArrival('key', AT + 50)).toBe('new');
    returns.add('key', AT + 3000, true, AT + 2900);
    expect(returns.recordArrival('key', AT + 3000)).toBe('promised');
  });

  // Guards against an earlier time for a caller that asks again.
  it('keep the time that was promised first', () => {
    const returns = new PromisedReturns();
    returns.add('key', AT, true, NOW);
    returns.add('key', NOW + 20, true, NOW + 10);
    expect(returns.findPromisedAt('key', NOW + 15)).toBe(AT);
  });

  // Guards against a table that grows with the number of refused callers.
  it('have a fixed number', () => {
    const returns = new PromisedReturns();
    for (let index = 0; index < 2000; index++)
      returns.add(`key-${index}`, AT, true, NOW);
    expect(returns.size).toBe(1024);
  });
});
