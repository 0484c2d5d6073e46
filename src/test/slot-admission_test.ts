/**
 * Tests which requests are admitted, queued or refused at once when one worker
 * gets more than it can serve in time, because it is cold, full or gone.
 */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {SlotOutcome} from '../coordination/admission/concurrency-limit.js';
import {SlotAdmission} from '../coordination/admission/slot-admission.js';
import type {Slot} from '../coordination/admission/worker-admission.js';
import {profileSchema} from '../protocol/configuration.js';
import type {RefusalError} from '../protocol/reasons.js';

const SLOTS = 5;
/** Initial limit: four fifths of the slots. */
const FIRST_LIMIT = 4;
const SERVICE_MS = 100;
const TARGET_MS = 600;
const DEADLINE_MS = 1500;
const COLD_RATE = 5;

beforeEach(
  () => void vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']}),
);
afterEach(() => void vi.useRealTimers());

class Bench {
  now = 0;
  readonly admission: SlotAdmission;

  constructor(limits: Record<string, unknown> = {}) {
    const profile = profileSchema.parse({limits: {queueWait: '2s', ...limits}});
    this.admission = new SlotAdmission(SLOTS, profile.limits, () => this.now);
    this.admission.update(SLOTS, 'ready', profile.limits);
    this.admission.recordProbeAnswer({status: 200});
  }

  admit(rank = 1, targetMs = TARGET_MS, isNested = false): Promise<Slot> {
    const request = {
      caller: 'c',
      route: 'r',
      rank,
      targetAt: this.now + targetMs,
      deadline: this.now + DEADLINE_MS,
      isNested,
    };
    return this.admission.admit(request, new AbortController().signal);
  }

  async takeSlots(count = FIRST_LIMIT): Promise<Slot[]> {
    const slots: Slot[] = [];
    for (let index = 0; index < count; index++) slots.push(await this.admit());
    return slots;
  }

  /** Runs a request, so that the service time is known. */
  async recordServiceTime(): Promise<void> {
    const slot = await this.admit();
    this.now += SERVICE_MS;
    slot.release(SlotOutcome.SUCCESS);
  }
}

/** Runs pending promise callbacks, so that only the queue sets the order. */
function runPendingPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function findOutcome(slot: Promise<Slot>): Promise<string> {
  return slot.then(
    () => 'admitted',
    (error: RefusalError) => `${error.reason} ${error.verdict}`,
  );
}

describe('a full worker', () => {
  const cases = [
    {
      name: 'admits a request that is in time after a short wait',
      targetMs: 600,
      isRefused: false,
    },
    {
      name: 'refuses a request that would miss its target',
      targetMs: 150,
      isRefused: true,
    },
  ];
  it.each(cases)('$name', async ({targetMs, isRefused}) => {
    const bench = new Bench();
    await bench.recordServiceTime();
    const [first] = await bench.takeSlots();
    const waiting = findOutcome(bench.admit(1, targetMs));
    first!.release(SlotOutcome.SUCCESS);
    expect(await waiting).toBe(
      isRefused ? 'queue-timeout not-run' : 'admitted',
    );
  });

  it('sets the time after which to retry in a refusal', async () => {
    const bench = new Bench();
    await bench.recordServiceTime();
    await bench.takeSlots();
    const refusal = await bench.admit(1, 110).catch((e: RefusalError) => e);
    expect((refusal as RefusalError).retryAfterMs).toBeGreaterThan(0);
  });

  it('serves queued requests by priority, whatever their arrival order', async () => {
    const bench = new Bench();
    await bench.recordServiceTime();
    const running = await bench.takeSlots();
    const order: string[] = [];
    const waiting = [2, 1, 0].map(rank =>
      bench.admit(rank).then(slot => {
        order.push(String(rank));
        return slot;
      }),
    );
    await runPendingPromises();
    for (const slot of running) slot.release(SlotOutcome.SUCCESS);
    await Promise.all(waiting);
    expect(order).toEqual(['0', '1', '2']);
  });

  it('serves late requests after those that are in time', async () => {
    const bench = new Bench();
    await bench.recordServiceTime();
    const running = await bench.takeSlots();
    const order: string[] = [];
    const late = bench.admit(0, 1).then(() => void order.push('late'));
    const inTime = bench.admit(5).then(() => void order.push('in time'));
    await runPendingPromises();
    for (const slot of running) slot.release(SlotOutcome.SUCCESS);
    await Promise.all([late, inTime]);
    expect(order).toEqual(['in time', 'late']);
  });

  // Guards against high-priority requests that are refused because requests
  // of lower priority hold all slots.
  it.each([
    {name: 'others have lower priority', other: 2, isRefused: false},
    {name: 'others have the same priority', other: 1, isRefused: true},
  ])('limits the wait of a request when $name', async ({other, isRefused}) => {
    const bench = new Bench();
    await bench.recordServiceTime();
    const running = await bench.takeSlots(FIRST_LIMIT - 1);
    running.push(await bench.admit(other));
    // The expected wait of 25 ms is between the ratios 0.2 and 0.4 of the 70 ms
    // to spare.
    const waiting = findOutcome(bench.admit(1, 200));
    running[0]!.release(SlotOutcome.SUCCESS);
    expect(await waiting).toBe(
      isRefused ? 'queue-timeout not-run' : 'admitted',
    );
  });

  // Guards against running requests that fail because a nested call of theirs
  // is refused.
  it('serves nested requests before all new ones', async () => {
    const bench = new Bench();
    await bench.recordServiceTime();
    const running = await bench.takeSlots();
    const order: string[] = [];
    const isNew = bench.admit(0).then(() => void order.push('new'));
    const nested = bench
      .admit(5, 1, true)
      .then(() => void order.push('nested'));
    await runPendingPromises();
    for (const slot of running) slot.release(SlotOutcome.SUCCESS);
    await Promise.all([isNew, nested]);
    expect(order).toEqual(['nested', 'new']);
  });

  it('refuses a queued request that can no longer be in time', async () => {
    const bench = new Bench();
    await bench.recordServiceTime();
    await bench.takeSlots();
    const waiting = findOutcome(bench.admit());
    bench.now += TARGET_MS;
    vi.advanceTimersByTime(TARGET_MS);
    expect(await waiting).toBe('queue-timeout not-run');
  });
});

describe('a cold worker', () => {
  const cases = [
    {name: 'reports that it is cold', coldMs: 3000, ageMs: 0, admitted: 5},
    {
      name: 'reported that it is warm 100 ms ago',
      coldMs: 0,
      ageMs: 100,
      admitted: 20,
    },
    {
      name: 'reported that it is warm 500 ms ago',
      coldMs: 0,
      ageMs: 500,
      admitted: 5,
    },
  ];
  it.each(cases)('$name: $admitted of 20', async row => {
    const bench = new Bench({coldRate: COLD_RATE, queueWait: '0ms'});
    bench.admission.recordProbeAnswer({status: 200, coldMs: row.coldMs});
    bench.now += row.ageMs;
    let admitted = 0;
    for (let index = 0; index < 20; index++) {
      const slot = await bench.admit().catch(() => undefined);
      slot?.release(SlotOutcome.SUCCESS);
      if (slot) admitted += 1;
    }
    expect(admitted).toBe(row.admitted);
  });

  it('gets no more than the cold rate in any second, over many seconds', async () => {
    const bench = new Bench({coldRate: COLD_RATE, queueWait: '0ms'});
    bench.admission.resetToCold();
    const sentAt: number[] = [];
    for (; bench.now < 5000; bench.now += 20) {
      const slot = await bench.admit().catch(() => undefined);
      if (slot) sentAt.push(bench.now);
      slot?.release(SlotOutcome.SUCCESS);
    }
    const highest = Math.max(
      ...sentAt.map(
        from => sentAt.filter(at => at >= from && at < from + 1000).length,
      ),
    );
    expect(highest).toBe(COLD_RATE);
  });
});

describe('a worker that leaves or is gone', () => {
  const cases: ReadonlyArray<{
    name: string;
    act: (bench: Bench) => void;
    reason: string;
  }> = [
    {
      name: 'drains',
      act: bench => {
        const {limits} = profileSchema.parse({});
        bench.admission.update(SLOTS, 'draining', limits);
      },
      reason: 'worker-draining not-run',
    },
    {
      name: 'accepts no connection',
      act: bench => bench.admission.recordUnreachable(),
      reason: 'worker-gone not-run',
    },
  ];
  it.each(cases)('$name: queued requests are refused at once', async row => {
    const bench = new Bench();
    await bench.recordServiceTime();
    await bench.takeSlots();
    const waiting = findOutcome(bench.admit());
    row.act(bench);
    expect(await waiting).toBe(row.reason);
    expect(await findOutcome(bench.admit())).toBe(row.reason);
  });
});
