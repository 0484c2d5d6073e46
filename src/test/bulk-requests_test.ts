/**
 * Load of callers that send many requests ahead on each connection: a caller with
 * a single request gets the next slot, whatever their priority and number.
 */
import {describe, expect, it} from 'vitest';
import {SlotOutcome} from '../coordination/admission/concurrency-limit.js';
import {SlotAdmission} from '../coordination/admission/slot-admission.js';
import type {Slot} from '../coordination/admission/worker-admission.js';
import {profileSchema} from '../protocol/configuration.js';
import type {RefusalError} from '../protocol/reasons.js';

const SLOTS = 5;
const QUEUE_LENGTH = 8;
const DEADLINE_MS = 3000;
const SERVICE_MS = 10;

interface Sent {
  readonly rank: number;
  readonly isBulk: boolean;
  readonly isNested?: boolean;
}

const BULK: Sent = {rank: 0, isBulk: true};
const SINGLE: Sent = {rank: 1, isBulk: false};

/** A worker whose slots are taken and whose queue is full of some requests. */
async function createFullWorker(queued: Sent): Promise<{
  admit(sent: Sent): Promise<Slot>;
  readonly running: Slot[];
  readonly outcomes: string[];
}> {
  let now = 0;
  const {limits} = profileSchema.parse({
    limits: {queueLength: QUEUE_LENGTH, queueWait: '2s'},
  });
  const admission = new SlotAdmission(SLOTS, limits, () => now);
  admission.update(SLOTS, 'ready', limits);
  admission.recordProbeAnswer({status: 200});
  const admit = (sent: Sent): Promise<Slot> =>
    admission.admit(
      {caller: 'c', route: 'r', deadline: now + DEADLINE_MS, ...sent},
      new AbortController().signal,
    );
  const first = await admit(BULK);
  now += SERVICE_MS;
  first.release(SlotOutcome.SUCCESS);
  const running: Slot[] = [];
  while (admission.load.inFlight < admission.load.limit)
    running.push(await admit(BULK));
  const outcomes: string[] = [];
  while (admission.load.queued < QUEUE_LENGTH) {
    admit(queued).then(
      () => outcomes.push('admitted'),
      ({reason, verdict}: RefusalError) =>
        outcomes.push(`${reason} ${verdict}`),
    );
  }
  return {admit, running, outcomes};
}

// Guards against lookups that are all refused while a few connections send
// bookings of a higher priority ahead, as fast as they are taken.
describe('when many requests of few connections wait', () => {
  it.each([
    ['of a lower priority', SINGLE],
    ['of the same priority', {rank: 0, isBulk: false}],
    ['of a running request', {rank: 5, isBulk: false, isNested: true}],
  ])('a single one %s is next', async (name, single) => {
    const {admit, running, outcomes} = await createFullWorker(BULK);
    const waiting = admit(single);
    running[0]!.release(SlotOutcome.SUCCESS);
    await expect(waiting).resolves.toBeDefined();
    expect(outcomes).toEqual(['queue-timeout not-run']);
  });

  it('another of them is refused', async () => {
    const {admit, outcomes} = await createFullWorker(BULK);
    await expect(admit(BULK)).rejects.toThrow('queue-timeout');
    expect(outcomes).toEqual([]);
  });
});

describe('when single requests wait', () => {
  it.each([
    ['many on one connection', BULK],
    ['a single one', SINGLE],
  ])('%s is refused, and none of them', async (name, sent) => {
    const queued = {rank: 1, isBulk: false};
    const {admit, outcomes} = await createFullWorker(queued);
    await expect(admit(sent)).rejects.toThrow('queue-timeout');
    expect(outcomes).toEqual([]);
  });
});
