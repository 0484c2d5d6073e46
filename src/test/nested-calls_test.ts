/**
 * Nested calls of running requests arrive at the same address as requests of
 * external callers. A route counts as nested only when running requests of the
 * local worker could have made nearly all of its requests.
 */
import {describe, expect, it} from 'vitest';
import {NestedCalls} from '../coordination/nested-calls.js';

const PARENT_DEADLINE = 1000;
/** Later than the deadline of any running request, so it is external. */
const CALLER_DEADLINE = 2000;
const ENOUGH_REQUESTS = 12;

interface OriginCase {
  readonly name: string;
  readonly before: readonly number[];
  readonly runs: readonly number[];
  readonly deadline: number;
  readonly isCall: boolean;
}

function buildDeadlines(deadline: number, times: number): number[] {
  return Array.from({length: times}, () => deadline);
}

const CASES: readonly OriginCase[] = [
  {
    name: 'all end before a running request',
    before: buildDeadlines(500, ENOUGH_REQUESTS),
    runs: [PARENT_DEADLINE],
    deadline: 500,
    isCall: true,
  },
  {
    name: 'all end with a running request',
    before: buildDeadlines(PARENT_DEADLINE, ENOUGH_REQUESTS),
    runs: [400, PARENT_DEADLINE],
    deadline: PARENT_DEADLINE,
    isCall: true,
  },
  {
    name: 'too few requests to classify',
    before: buildDeadlines(500, ENOUGH_REQUESTS / 2),
    runs: [PARENT_DEADLINE],
    deadline: 500,
    isCall: false,
  },
  {
    name: 'no request is running',
    before: buildDeadlines(500, ENOUGH_REQUESTS),
    runs: [],
    deadline: 500,
    isCall: false,
  },
  {
    name: 'one in four ends after all running requests',
    before: [
      500,
      500,
      500,
      CALLER_DEADLINE,
      500,
      500,
      500,
      CALLER_DEADLINE,
    ].concat(buildDeadlines(500, 3), [CALLER_DEADLINE]),
    runs: [PARENT_DEADLINE],
    deadline: 500,
    isCall: false,
  },
  {
    name: 'an external caller uses a route that was nested before',
    before: buildDeadlines(500, ENOUGH_REQUESTS),
    runs: [PARENT_DEADLINE],
    deadline: CALLER_DEADLINE,
    isCall: false,
  },
];

describe('a request', () => {
  it.each(CASES)('$name: call $isCall', ({before, runs, deadline, isCall}) => {
    const calls = new NestedCalls();
    for (const run of runs) calls.startRun(run);
    for (const earlier of before) calls.observe('route', earlier);
    expect(calls.observe('route', deadline)).toBe(isCall);
  });

  it('is not nested in a request that has ended', () => {
    const calls = new NestedCalls();
    const end = calls.startRun(PARENT_DEADLINE);
    for (const earlier of buildDeadlines(500, ENOUGH_REQUESTS))
      calls.observe('route', earlier);
    end();
    expect(calls.observe('route', 500)).toBe(false);
  });
});
