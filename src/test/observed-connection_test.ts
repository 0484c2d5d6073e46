/**
 * The duration of a request as evidence about its worker's version. Guards
 * against a move on shared hosts that is rolled back because a good version
 * looks slow while its hosts are busy or its workers have just started.
 */
import {describe, expect, it} from 'vitest';
import type {WorkerCondition} from '../coordination/observed-connection.js';
import {
  createObservedConnection,
  NORMAL_CONDITION,
} from '../coordination/observed-connection.js';
import type {AttemptAnswer} from '../protocol/attempt.js';
import {EMPTY_BODY} from '../protocol/service-request.js';
import type {ObservedRequest} from '../state/version-evidence.js';
import {createLookup} from './stand-ins/lookup.js';

const ELAPSED_MS = 60;
/** A timer may fire slightly early by the clock of `performance.now()`. */
const TIMER_SLACK_MS = 2;
const BUSY: WorkerCondition = {pace: 4, isCold: false};
const COLD: WorkerCondition = {pace: 1, isCold: true};
const FAST: WorkerCondition = {pace: 0.5, isCold: false};

/** Sends one request during which the worker's condition changes. */
async function observe(
  before: WorkerCondition,
  after: WorkerCondition,
): Promise<ObservedRequest> {
  let condition = before;
  const seen: ObservedRequest[] = [];
  const answer: AttemptAnswer = {status: 200, headers: {}, body: EMPTY_BODY};
  const connection = createObservedConnection(
    {
      sendRequest: async () => {
        await new Promise(resolve => setTimeout(resolve, ELAPSED_MS));
        condition = after;
        return answer;
      },
      sendProbe: async () => ({status: 200}),
      close: async () => {},
    },
    {
      service: 'kona-desk',
      version: 'v2',
      slots: 6,
      address: '127.0.0.1:1',
      state: 'ready',
      ttlMs: 1000,
    },
    {
      record: one => seen.push(one),
      countProbe: () => {},
      readCondition: () => condition,
    },
  );
  await connection.sendRequest(createLookup(), new AbortController().signal);
  return seen[0]!;
}

describe('the duration of a request as evidence about a version', () => {
  it.each([
    {
      name: 'as usual',
      before: NORMAL_CONDITION,
      after: NORMAL_CONDITION,
      divisor: 1,
    },
    {
      name: 'host turns slow',
      before: NORMAL_CONDITION,
      after: BUSY,
      divisor: 4,
    },
    {name: 'host was slow', before: BUSY, after: NORMAL_CONDITION, divisor: 4},
    {name: 'fast host', before: FAST, after: FAST, divisor: 1},
  ])('$name', async ({before, after, divisor}) => {
    const {durationMs} = await observe(before, after);
    expect(durationMs! * divisor).toBeGreaterThanOrEqual(
      ELAPSED_MS - TIMER_SLACK_MS,
    );
    if (divisor > 1) {
      const usual = await observe(NORMAL_CONDITION, NORMAL_CONDITION);
      expect(durationMs!).toBeLessThan(usual.durationMs!);
    }
  });

  it.each([
    {name: 'cold at its start', before: COLD, after: NORMAL_CONDITION},
    {name: 'cold at its end', before: NORMAL_CONDITION, after: COLD},
  ])('$name counts as an answer without a time', async ({before, after}) => {
    const seen = await observe(before, after);
    expect(seen).toMatchObject({end: 'answered', durationMs: undefined});
  });
});
