/**
 * What an entry does with requests and their returns while its figures show
 * that all workers of the service are full.
 */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {EntryOptions} from '../coordination/entry.js';
import {Entry} from '../coordination/entry.js';
import {NestedCalls} from '../coordination/nested-calls.js';
import type {SendAttempt} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import {profileSchema} from '../protocol/configuration.js';
import type {RefusalError} from '../protocol/reasons.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import {Explanations} from '../state/explanations.js';
import type {WorkerRow} from '../state/worker-table.js';
import {createLookup} from './stand-ins/lookup.js';

const TARGET_MS = 400;
const WAIT_MS = 1000;
const LEARNING_MS = 6000;
const SPARE: WorkerLoad = {
  state: 'ready',
  inFlight: 0,
  queued: 0,
  limit: 4,
  serviceTimeUs: 100_000,
  failureShare: 0,
  pace: 1,
};
const FULL = {...SPARE, inFlight: 4, queued: 3};

beforeEach(
  () => void vi.useFakeTimers({toFake: ['performance', 'setTimeout']}),
);
afterEach(() => void vi.useRealTimers());

/** An entry of one service with two workers. */
class Bench {
  random = 0.5;
  sent = 0;
  isRefusing = false;
  readonly counts: Record<string, number> = {};
  readonly lines: string[] = [];
  private readonly rows: WorkerRow[];
  private readonly entry: Entry;

  constructor(atEntry: boolean) {
    this.rows = ['one', 'two'].map(nodeId => ({
      target: {nodeId, incarnation: 1, peerAddress: nodeId},
      dataCentre: 'one',
      service: 'kona-desk',
      version: 'v1',
      slots: 4,
      state: 'ready',
      isSuspect: false,
      inFlightHere: 0,
      observed: undefined,
    }));
    const profile = profileSchema.parse({
      balancing: 'paced',
      hedging: {enabled: false},
      limits: {queueWait: '2s'},
      retries: {paysForRefusals: false},
      refusals: {atEntry},
    });
    const sendAttempt: SendAttempt = async () => {
      this.sent += 1;
      if (this.isRefusing) {
        const load = FULL;
        throw new AttemptError('queue-timeout', 'not-run', '', load, 777);
      }
      return {
        status: 200,
        headers: {},
        body: {held: Buffer.alloc(0)},
        load: SPARE,
      };
    };
    this.entry = new Entry({
      dataCentre: 'one',
      state: {findProfile: () => profile, isDataCentreOut: () => false},
      workers: {listWorkers: () => this.rows, listNodes: () => this.rows},
      explanations: new Explanations(),
      sendAttempt,
      random: () => this.random,
      createAttemptId: () => 'a',
      count: (name: string) => {
        this.counts[name] = (this.counts[name] ?? 0) + 1;
      },
      report: (text: string) => this.lines.push(text),
      nestedCalls: new NestedCalls(),
      isQuarantined: () => false,
      selectWorkers: (service: string, rows: readonly WorkerRow[]) => [...rows],
    } as unknown as EntryOptions);
  }

  /** Sends a first request, and passes the time after which routes are known. */
  async start(): Promise<void> {
    await this.send('first');
    vi.advanceTimersByTime(LEARNING_MS);
    await this.send('first');
    this.sent = 0;
  }

  setLoad(figures: WorkerLoad): void {
    const at = performance.now();
    for (const row of this.rows)
      row.observed = {figures, at, inFlightHere: row.inFlightHere};
  }

  /** Returns the time to return in milliseconds, or `served`. */
  async send(fingerprint: string): Promise<number | 'served'> {
    const now = performance.now();
    const request = {
      ...createLookup(now + WAIT_MS),
      fingerprint,
      targetAt: now + TARGET_MS,
    };
    const {signal} = new AbortController();
    return this.entry.handleRequest(request, signal).then(
      () => 'served' as const,
      ({retryAfterMs}: RefusalError) => retryAfterMs!,
    );
  }
}

describe('an entry whose workers are all full', () => {
  // Guards against a change for deployments that did not ask for it.
  it('sends all requests when it is off', async () => {
    const bench = new Bench(false);
    await bench.start();
    bench.setLoad(FULL);
    bench.isRefusing = true;
    expect([await bench.send('a'), bench.sent]).toEqual([777, 2]);
  });

  it('refuses without a message, and logs once a second', async () => {
    const bench = new Bench(true);
    await bench.start();
    bench.setLoad(FULL);
    const delayMs = await bench.send('a');
    await bench.send('b');
    expect(delayMs).toBeGreaterThanOrEqual(5);
    expect(delayMs).toBeLessThanOrEqual(WAIT_MS / 3);
    expect(bench.sent).toBe(0);
    expect(bench.counts['refusals.at-entry']).toBe(2);
    expect(bench.lines).toHaveLength(1);
  });

  it('sends one in eight', async () => {
    const bench = new Bench(true);
    await bench.start();
    bench.setLoad(FULL);
    bench.random = 0.1;
    expect([await bench.send('a'), bench.sent]).toEqual(['served', 1]);
  });

  // Guards against a second refusal that costs two more messages.
  it('asks no further gate that is shown to be full', async () => {
    const bench = new Bench(true);
    await bench.start();
    bench.setLoad(FULL);
    bench.random = 0.1;
    bench.isRefusing = true;
    const delayMs = await bench.send('a');
    expect(bench.sent).toBe(1);
    expect(delayMs).not.toBe(777);
    expect(bench.counts['retries.queue-timeout']).toBeUndefined();
  });

  // Guards against a caller that waits as told and is then refused like new
  // ones, and against one that gains from not waiting.
  it.each([
    {name: 'at the promised time', part: 1, expected: 'served'},
    {name: 'early', part: 0.5, expected: 'refused'},
  ])('takes a request that returns $name', async ({part, expected}) => {
    const bench = new Bench(true);
    await bench.start();
    bench.setLoad(FULL);
    const delayMs = Number(await bench.send('a'));
    vi.advanceTimersByTime(Math.ceil(delayMs * part));
    bench.setLoad(FULL);
    const outcome = await bench.send('a');
    expect(outcome === 'served' ? outcome : 'refused').toBe(expected);
    if (outcome !== 'served')
      expect(outcome + Math.ceil(delayMs * part)).toBeGreaterThanOrEqual(
        delayMs,
      );
  });

  // Guards against a caller that asks again until it is told an earlier time.
  it('tells no earlier time to a request that is repeated', async () => {
    const bench = new Bench(true);
    await bench.start();
    bench.setLoad({...FULL, queued: 10});
    const firstMs = Number(await bench.send('a'));
    bench.setLoad(FULL);
    expect(await bench.send('a')).toBeGreaterThanOrEqual(firstMs);
  });

  // Guards against a caller that delays the returns of all others.
  it('delays others no more for a request that is repeated often', async () => {
    const delays: Array<number | 'served'> = [];
    for (const repeats of [3, 30]) {
      const bench = new Bench(true);
      await bench.start();
      bench.setLoad(FULL);
      for (let sent = 0; sent < repeats; sent++) await bench.send('a');
      delays.push(await bench.send('b'));
    }
    expect(delays[1]).toBe(delays[0]);
  });
});
