/**
 * Attempts of idempotent requests whose gates stop acknowledging them, at an
 * entry without a network: which answer a caller gets, and what is cancelled.
 */
import {describe, expect, it} from 'vitest';
import type {SendWithAckTimeout} from '../coordination/attempt-sender.js';
import {AttemptSender} from '../coordination/attempt-sender.js';
import type {EntryOptions} from '../coordination/entry.js';
import {Entry} from '../coordination/entry.js';
import {NestedCalls} from '../coordination/nested-calls.js';
import type {Attempt, SendAttempt} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import {waitMs} from '../protocol/backoff.js';
import {profileSchema} from '../protocol/configuration.js';
import {Reason} from '../protocol/reasons.js';
import {Verdict} from '../protocol/verdict.js';
import {Explanations} from '../state/explanations.js';
import type {WorkerRow} from '../state/worker-table.js';
import {createLookup} from './stand-ins/lookup.js';

const DEADLINE_MS = 600;
const SILENT_AFTER_MS = 50;
const NEVER_MS = 60_000;

/** What one gate does with its attempt. */
interface GatePlan {
  /** Time until it answers, in milliseconds; never when absent. */
  readonly answersAfterMs?: number;
  readonly isSilent?: boolean;
  readonly refuses?: boolean;
}

interface SilenceCase {
  readonly name: string;
  /** Gates in the order in which they are tried. */
  readonly gates: readonly GatePlan[];
  readonly budgetPercent: number;
  /** Index of the gate whose answer the caller gets, or the refusal's reason. */
  readonly expected: number | string;
  /** Indices of the gates whose attempts are cancelled. */
  readonly cancelled: readonly number[];
}

const FULL_BUDGET = 100;

const CASES: readonly SilenceCase[] = [
  {
    name: 'without retry budget: its late answer is delivered',
    gates: [{isSilent: true, answersAfterMs: 200}, {answersAfterMs: 10}],
    budgetPercent: 0,
    expected: 0,
    cancelled: [],
  },
  {
    name: 'without another worker: its late answer is delivered',
    gates: [{isSilent: true, answersAfterMs: 200}],
    budgetPercent: FULL_BUDGET,
    expected: 0,
    cancelled: [],
  },
  {
    name: 'and the retry is refused: its late answer is delivered',
    gates: [{isSilent: true, answersAfterMs: 200}, {refuses: true}],
    budgetPercent: FULL_BUDGET,
    expected: 0,
    cancelled: [],
  },
  {
    name: 'and the retry is slower: the first answer wins',
    gates: [{isSilent: true, answersAfterMs: 100}, {answersAfterMs: 400}],
    budgetPercent: FULL_BUDGET,
    expected: 0,
    cancelled: [1],
  },
  {
    name: 'and the retry is faster: the retry wins',
    gates: [{isSilent: true, answersAfterMs: 400}, {answersAfterMs: 20}],
    budgetPercent: FULL_BUDGET,
    expected: 1,
    cancelled: [0],
  },
  {
    name: 'for good: the retry is answered',
    gates: [{isSilent: true}, {answersAfterMs: 20}],
    budgetPercent: FULL_BUDGET,
    expected: 1,
    cancelled: [0],
  },
  {
    name: 'for good, without retry budget: refused at the deadline',
    gates: [{isSilent: true}],
    budgetPercent: 0,
    expected: Reason.DEADLINE_EXCEEDED,
    cancelled: [0],
  },
];

function createRow(index: number): WorkerRow {
  const nodeId = `gate-${index}`;
  return {
    target: {nodeId, incarnation: 1, peerAddress: nodeId},
    dataCentre: 'one',
    service: 'kona-desk',
    version: 'v1',
    slots: 1,
    state: 'ready',
    isSuspect: false,
    inFlightHere: 0,
    observed: undefined,
  };
}

/** Runs one request; returns what it got and which attempts were cancelled. */
async function run({gates, budgetPercent}: SilenceCase): Promise<{
  outcome: number | string;
  cancelled: number[];
  attempts: Attempt[];
}> {
  const profile = profileSchema.parse({
    retries: {budgetPercent, budgetBurst: budgetPercent},
    hedging: {enabled: false},
  });
  const cancelled: number[] = [];
  const attempts: Attempt[] = [];
  const rows = gates.map((gate, index) => createRow(index));
  const send: SendWithAckTimeout = async (
    attempt,
    signal,
    handleAckTimeout,
  ) => {
    const index = attempts.push(attempt) - 1;
    const {answersAfterMs, isSilent, refuses} = gates[index]!;
    if (refuses)
      throw new AttemptError(Reason.NODE_STOPPING, Verdict.NOT_RUN, '');
    const abandoned = new AbortController();
    const handleSilence = (): void => {
      if (handleAckTimeout()) abandoned.abort();
    };
    if (isSilent) setTimeout(handleSilence, SILENT_AFTER_MS);
    const end = AbortSignal.any([signal, abandoned.signal]);
    await waitMs(answersAfterMs ?? NEVER_MS, end);
    if (abandoned.signal.aborted) {
      throw new AttemptError(
        Reason.CONNECTION_SILENT,
        Verdict.MAY_HAVE_RUN,
        '',
      );
    }
    if (signal.aborted) {
      cancelled.push(index);
      throw signal.reason;
    }
    return {status: 200, headers: {}, body: {held: Buffer.from(`${index}`)}};
  };
  const sender = new AttemptSender(
    send,
    () => Promise.reject(new Error('only for requests that run once')),
    () => {},
  );
  const entry = new Entry({
    dataCentre: 'one',
    state: {findProfile: () => profile, isDataCentreOut: () => false},
    workers: {
      listWorkers: () => rows.slice(attempts.length),
      listNodes: () => rows.map(({target}) => target),
    },
    explanations: new Explanations(),
    sendAttempt: (...call: Parameters<SendAttempt>) =>
      sender.sendAttempt(...call),
    random: Math.random,
    createAttemptId: () => 'a',
    count: () => {},
    nestedCalls: new NestedCalls(),
    isQuarantined: () => false,
    selectWorkers: (service: string, selected: readonly WorkerRow[]) => [
      ...selected,
    ],
  } as unknown as EntryOptions);
  const request = createLookup(performance.now() + DEADLINE_MS);
  const {signal} = new AbortController();
  const outcome = await entry.handleRequest(request, signal).then(
    ({body}) => Number(body.held.toString()),
    (error: AttemptError) => error.reason,
  );
  // Cancelled attempts end in later turns of the event loop.
  await waitMs(SILENT_AFTER_MS);
  return {outcome, cancelled, attempts};
}

describe('an idempotent attempt that is no longer acknowledged', () => {
  // Guards against a failure that is sent while the worker is at work and time
  // is left, because nothing else could be tried.
  it.each(CASES)('$name', async row => {
    const {outcome, cancelled} = await run(row);
    expect(outcome).toBe(row.expected);
    expect(cancelled).toEqual(row.cancelled);
  });

  // Guards against retries that meet one dead connection after another.
  it('is tried again on a new connection', async () => {
    const {attempts} = await run(CASES[5]!);
    expect(attempts.map(one => one.needsNewConnection ?? false)).toEqual([
      false,
      true,
    ]);
  });
});
