/**
 * Tests the reasons for which adaptive admission refuses requests, and that
 * its queue is fair between callers.
 */
import {describe, expect, it} from 'vitest';
import {AdaptiveAdmission} from '../coordination/admission/adaptive-admission.js';
import {SlotOutcome} from '../coordination/admission/concurrency-limit.js';
import type {Slot} from '../coordination/admission/worker-admission.js';
import {profileSchema} from '../protocol/configuration.js';
import type {RefusalError} from '../protocol/reasons.js';
import type {WorkerState} from '../protocol/worker-load.js';

const SERVICE_TIME_MS = 10;

/** Admission with a clock that the test advances. */
class Bench {
  now = 0;
  readonly limits;
  readonly admission: AdaptiveAdmission;

  constructor(slots: number, limits: Record<string, unknown> = {}) {
    this.limits = profileSchema.parse({limits}).limits;
    this.admission = new AdaptiveAdmission(slots, this.limits, () => this.now);
    this.update('ready');
  }

  update(state: WorkerState): void {
    this.admission.update(2, state, this.limits);
  }

  admit(caller: string, timeLimitMs = 1000): Promise<Slot> {
    const deadline = this.now + timeLimitMs;
    const {signal} = new AbortController();
    const request = {caller, route: 'r', deadline, rank: 0};
    return this.admission.admit(request, signal);
  }

  /** Returns the reason and verdict of a refusal, or `admitted`. */
  async findOutcome(slot: Promise<Slot>): Promise<string> {
    return slot.then(
      () => 'admitted',
      (error: RefusalError) => `${error.reason} ${error.verdict}`,
    );
  }

  /** Runs requests one after another, so that the limit ramps up. */
  async run(count: number, outcome: SlotOutcome): Promise<void> {
    for (let index = 0; index < count; index++) {
      const slot = await this.admit('first');
      this.now += SERVICE_TIME_MS;
      slot.release(outcome);
    }
  }
}

describe('a request is refused not-run', () => {
  const cases = [
    {
      name: 'when it cannot be served before its deadline',
      limits: {},
      queued: ['a', 'b', 'c', 'd'],
      late: {caller: 'e', timeLimitMs: 15},
      refused: 'queue-timeout not-run',
    },
    {
      name: 'when its deadline has passed',
      limits: {},
      queued: ['a'],
      late: {caller: 'a', timeLimitMs: 0},
      refused: 'queue-timeout not-run',
    },
    {
      name: 'when the backlog of its caller is too long',
      limits: {queueWait: '15ms'},
      queued: ['a', 'a', 'a', 'b'],
      late: {caller: 'a', timeLimitMs: 1000},
      refused: 'caller-limit not-run',
    },
    {
      name: 'when the queue is full and no backlog is longer',
      limits: {queueLength: 3},
      queued: ['a', 'b', 'c'],
      late: {caller: 'd', timeLimitMs: 1000},
      refused: 'queue-full not-run',
    },
    {
      name: 'when the queue is full and its caller has the longest backlog',
      limits: {queueLength: 4},
      queued: ['a', 'a', 'a', 'b'],
      late: {caller: 'a', timeLimitMs: 1000},
      refused: 'caller-limit not-run',
    },
  ];
  it.each(cases)('$name', async ({limits, queued, late, refused}) => {
    const bench = new Bench(2, {coldConcurrency: 2, ...limits});
    await bench.run(40, SlotOutcome.SUCCESS);
    const slots = [await bench.admit('x'), await bench.admit('x')];
    const waiting = queued.map(caller =>
      bench.findOutcome(bench.admit(caller)),
    );
    const slot = bench.admit(late.caller, late.timeLimitMs);
    expect(await bench.findOutcome(slot)).toBe(refused);
    for (const each of slots) each.release(SlotOutcome.SUCCESS);
    await Promise.race(waiting);
  });

  it('when the worker drains, also if already queued', async () => {
    const bench = new Bench(2);
    await bench.admit('a');
    const waiting = bench.findOutcome(bench.admit('b'));
    bench.update('draining');
    expect(await waiting).toBe('worker-draining not-run');
    const late = bench.findOutcome(bench.admit('c'));
    expect(await late).toBe('worker-draining not-run');
  });

  it('when the worker is unreachable, also if already queued', async () => {
    const bench = new Bench(2);
    const slot = await bench.admit('a');
    const waiting = bench.findOutcome(bench.admit('b'));
    slot.release(SlotOutcome.UNREACHABLE);
    expect(await waiting).toBe('worker-gone not-run');
    expect(bench.admission.load.state).toBe('failing');
  });

  it('when the worker does not answer within the queue wait', async () => {
    const bench = new Bench(2, {queueWait: '30ms'});
    await bench.admit('a');
    const waiting = bench.findOutcome(bench.admit('b'));
    bench.now += 31;
    expect(await waiting).toBe('worker-cold not-run');
  });
});

describe('the queue', () => {
  it('evicts the newest request of the longest backlog for another caller', async () => {
    const bench = new Bench(2, {queueLength: 4});
    const first = await bench.admit('x');
    const flood = [1, 2, 3, 4].map(() =>
      bench.findOutcome(bench.admit('flood')),
    );
    const rare = bench.findOutcome(bench.admit('rare'));
    expect(await flood[3]).toBe('caller-limit not-run');
    first.release(SlotOutcome.SUCCESS);
    expect(await Promise.race([flood[0], rare])).toBe('admitted');
    expect(bench.admission.load.queued).toBe(3);
  });

  it('releases a slot only once', async () => {
    const bench = new Bench(2, {coldConcurrency: 2});
    const slot = await bench.admit('a');
    slot.release(SlotOutcome.SUCCESS);
    slot.release(SlotOutcome.SUCCESS);
    expect(bench.admission.load.inFlight).toBe(0);
  });
});

it('a cancelled request of a cold worker stays in flight for a while', async () => {
  const bench = new Bench(2);
  const slot = await bench.admit('a');
  const next = bench.findOutcome(bench.admit('b'));
  slot.release(SlotOutcome.CANCELLED);
  expect(bench.admission.load).toMatchObject({inFlight: 1, queued: 1});
  expect(await next).toBe('admitted');
});

describe('the load', () => {
  it.each([
    {
      name: 'good answers',
      outcome: SlotOutcome.SUCCESS,
      state: 'ready',
      limit: 2,
      failing: false,
    },
    {
      name: 'fast failures',
      outcome: SlotOutcome.FAILURE,
      state: 'failing',
      limit: 1,
      failing: true,
    },
    {
      name: 'shedding',
      outcome: SlotOutcome.SHED,
      state: 'failing',
      limit: 1,
      failing: true,
    },
  ])('shows $name', async ({outcome, state, limit, failing}) => {
    const bench = new Bench(2);
    await bench.run(20, SlotOutcome.SUCCESS);
    await bench.run(40, outcome).catch(() => {});
    const {load} = bench.admission;
    expect({state: load.state, limit: load.limit}).toEqual({state, limit});
    expect(load.failureShare > 0.3).toBe(failing);
  });

  it('shows a worker as cold after a reset', async () => {
    const bench = new Bench(2);
    await bench.run(40, SlotOutcome.SUCCESS);
    bench.admission.resetToCold();
    expect(bench.admission.load.state).toBe('cold');
    expect(bench.admission.load.limit).toBe(1);
  });
});
