/** Limits the time in which a request refused for capacity is retried. */
import {describe, expect, it} from 'vitest';
import {hasTimeToRetryRefusal} from '../coordination/refusals/retry-rules.js';

const STARTED_AT = 1000;
const TARGET_MS = 500;

const CASES = [
  {name: 'refused at once', afterMs: 5, isNested: false, goesOn: true},
  {name: 'refused by busy nodes', afterMs: 30, isNested: false, goesOn: false},
  {
    name: 'awaited by a running request',
    afterMs: 30,
    isNested: true,
    goesOn: true,
  },
];

describe('a request refused for lack of capacity', () => {
  // Guards against refusals that use up the processors of a full fleet.
  it.each(CASES)('$name is retried: $goesOn', ({afterMs, isNested, goesOn}) => {
    const request = {targetAt: STARTED_AT + TARGET_MS, isNested};
    const now = STARTED_AT + afterMs;
    expect(hasTimeToRetryRefusal(request, STARTED_AT, now)).toBe(goesOn);
  });

  it('is retried when it has no target latency', () => {
    expect(hasTimeToRetryRefusal({}, STARTED_AT, STARTED_AT + TARGET_MS)).toBe(
      true,
    );
  });
});
