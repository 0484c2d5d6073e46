/**
 * What a node takes during a planned stop, by what is left of the stop, without
 * a node: requests of callers by their deadline, calls by the time that those of
 * their route took.
 */
import {describe, expect, it} from 'vitest';
import {AttemptError} from '../protocol/attempt.js';
import type {RefusalError} from '../protocol/reasons.js';
import {Reason} from '../protocol/reasons.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from '../protocol/service-request.js';
import {EMPTY_BODY} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {StopEnd} from '../stop-admission.js';
import {StopAdmission} from '../stop-admission.js';
import {createLookup} from './stand-ins/lookup.js';

const WORK_TIME_MS = 5000;
const ANSWER: ServiceAnswer = {status: 200, headers: {}, body: EMPTY_BODY};
const ENOUGH_CALLS = 8;
/** Rounding of deadlines, and the time that a row takes. */
const TOLERANCE_MS = 50;

interface TakingRow {
  readonly name: string;
  /** What is left of the stop; it has not begun if absent. */
  readonly leftMs?: number;
  readonly deadlineMs: number;
  readonly isCall?: boolean;
  /** Times of earlier calls of the route. */
  readonly callTimesMs?: readonly number[];
  /** How earlier calls ended; answered if absent. */
  readonly verdict?: Verdict;
  /** What the request is taken by; refused if absent. */
  readonly takenBy?: string;
  /** Deadline with which it runs; its own if absent. */
  readonly runsUntilMs?: number;
  readonly retryAfterMs?: number;
}

const SHORT_CALLS = Array.from({length: ENOUGH_CALLS}, () => 10);
const ONE_LONG_CALL = [...SHORT_CALLS.slice(1), 60];

const ROWS: readonly TakingRow[] = [
  {
    name: 'before the stop',
    deadlineMs: 60_000,
    takenBy: 'before the stop',
  },
  {
    name: 'that ends before the stop does',
    leftMs: 1000,
    deadlineMs: 900,
    takenBy: 'deadline',
  },
  {
    name: 'that may end after the stop',
    leftMs: 1000,
    deadlineMs: 1100,
    retryAfterMs: 0,
  },
  {
    name: 'that may end after the stop, though its route is quick',
    leftMs: 1000,
    deadlineMs: 1100,
    callTimesMs: SHORT_CALLS,
    retryAfterMs: 0,
  },
  {
    name: 'of a run, with time for the longest of its route',
    leftMs: 1000,
    deadlineMs: 3000,
    isCall: true,
    callTimesMs: ONE_LONG_CALL,
    takenBy: 'call time',
    runsUntilMs: 1000,
  },
  {
    name: 'of a run, without time for the longest of its route',
    leftMs: 80,
    deadlineMs: 3000,
    isCall: true,
    callTimesMs: ONE_LONG_CALL,
    retryAfterMs: 80,
  },
  {
    name: 'of a run, after calls that may have run and were not answered',
    leftMs: 80,
    deadlineMs: 3000,
    isCall: true,
    callTimesMs: ONE_LONG_CALL,
    verdict: Verdict.MAY_HAVE_RUN,
    retryAfterMs: 80,
  },
  {
    name: 'of a run, after calls of which none has run',
    leftMs: 1000,
    deadlineMs: 3000,
    isCall: true,
    callTimesMs: SHORT_CALLS,
    verdict: Verdict.NOT_RUN,
    retryAfterMs: 1000,
  },
  {
    name: 'of a run, whose route is not known well',
    leftMs: 1000,
    deadlineMs: 3000,
    isCall: true,
    callTimesMs: SHORT_CALLS.slice(1),
    retryAfterMs: 1000,
  },
  {
    name: 'of a run, at the end of the stop',
    leftMs: 0,
    deadlineMs: 3000,
    isCall: true,
    callTimesMs: SHORT_CALLS,
    retryAfterMs: 0,
  },
];

function createStop(): {-readonly [K in keyof StopEnd]: StopEnd[K]} {
  return {
    isStopping: false,
    isRefusingAttempts: false,
    hasTimeFor(deadline: number): boolean {
      return deadline <= this.endsAt;
    },
    endsAt: Infinity,
    workTime: WORK_TIME_MS,
  };
}

function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Runs calls of the times of a row, all at once. */
async function runCalls(
  admission: StopAdmission,
  {callTimesMs = [], verdict}: TakingRow,
): Promise<void> {
  const end = async (timeMs: number): Promise<ServiceAnswer> => {
    await waitMs(timeMs);
    if (verdict) throw new AttemptError(Reason.CONNECTION_LOST, verdict, '');
    return ANSWER;
  };
  await Promise.allSettled(
    callTimesMs.map(timeMs =>
      admission.runRequest(createLookup(), () => end(timeMs)),
    ),
  );
}

// Guards against calls that a stopping node takes a moment before it cuts them
// off, since their request would fail without them.
describe('a request', () => {
  it.each(ROWS)('$name', async row => {
    const {leftMs, deadlineMs, isCall = false, takenBy, retryAfterMs} = row;
    const stop = createStop();
    const admission = new StopAdmission(stop, {isNested: () => isCall});
    await runCalls(admission, row);
    const now = performance.now();
    if (leftMs !== undefined) {
      stop.isStopping = true;
      stop.endsAt = now + leftMs;
    }
    const deadline = now + deadlineMs;
    const request = {...createLookup(deadline), awaitedUntil: deadline};
    let seen: {request: ServiceRequest; takenBy: string} | undefined;
    const outcome = await admission
      .runRequest(request, async taken => {
        const [running] = admission.listRunning();
        seen = {request: taken, takenBy: running!.takenBy};
        return ANSWER;
      })
      .then(
        () => undefined,
        (error: RefusalError) => error,
      );
    expect(admission.listRunning()).toEqual([]);
    expect(seen?.takenBy).toBe(takenBy);
    if (takenBy === undefined) {
      expect(outcome).toMatchObject({
        reason: Reason.NODE_STOPPING,
        verdict: Verdict.NOT_RUN,
      });
      const distanceMs = Math.abs(outcome!.retryAfterMs! - retryAfterMs!);
      expect(distanceMs).toBeLessThan(TOLERANCE_MS);
      return;
    }
    const runsUntil = now + (row.runsUntilMs ?? deadlineMs);
    expect(Math.abs(seen!.request.deadline - runsUntil)).toBeLessThan(
      TOLERANCE_MS,
    );
    expect(seen!.request.awaitedUntil).toBe(deadline);
  });
});

describe('an attempt of another node', () => {
  it.each([
    {isRefusing: false, isOnlyHere: false, deadlineMs: 900, isTaken: true},
    {isRefusing: true, isOnlyHere: false, deadlineMs: 900, isTaken: false},
    {isRefusing: true, isOnlyHere: true, deadlineMs: 900, isTaken: true},
    {isRefusing: false, isOnlyHere: true, deadlineMs: 1100, isTaken: false},
  ])('$isRefusing, $isOnlyHere, $deadlineMs ms: $isTaken', async row => {
    const {isRefusing, isOnlyHere, deadlineMs, isTaken} = row;
    const stop = createStop();
    const now = performance.now();
    Object.assign(stop, {
      isStopping: true,
      isRefusingAttempts: isRefusing,
      endsAt: now + 1000,
    });
    const admission = new StopAdmission(stop, {isNested: () => false});
    const request = createLookup(now + deadlineMs);
    const answer = admission.runAttempt(
      {id: 'a', entryNodeId: 'n', request},
      async () => ANSWER,
      isOnlyHere,
    );
    if (isTaken) expect(await answer).toBe(ANSWER);
    else
      await expect(answer).rejects.toMatchObject({
        reason: Reason.NODE_STOPPING,
        verdict: Verdict.NOT_RUN,
      });
    expect(admission.listRunning()).toEqual([]);
  });
});
