/**
 * Slots kept free of callers' own requests while nested calls arrive. The load
 * that it addresses is a flood of callers' requests at a worker that running
 * requests elsewhere call: a nested call goes first, but it still waits until
 * a slot is free, and it has a short target. A call that is late or refused
 * costs its parent too, with the time for which the parent has held a worker.
 */
import {SlotDemand} from './slot-demand.js';

/** Largest part of the limit that is reserved. */
const MAX_RESERVED_FRACTION = 0.5;
/**
 * Distance of the demand from the reservation at which it changes by a slot.
 * Above one half, so that a demand between two numbers keeps either of them
 * instead of alternating.
 */
const CHANGE_DISTANCE = 0.6;

/** Estimates the slots that nested calls need at one worker. */
export class CallReservation {
  private readonly demand = new SlotDemand();
  private wanted = 0;

  /** Records a nested call with its expected service time. */
  recordCall(serviceMs: number, now: number): void {
    this.demand.record(serviceMs, now);
  }

  /** Returns the average number of slots that nested calls use. */
  computeUse(now: number): number {
    return this.demand.compute(now);
  }

  /**
   * Returns the number of slots reserved for nested calls: at most half of the
   * limit, so that callers' own requests always keep one, and none at a limit
   * of one.
   */
  compute(limit: number, now: number): number {
    const use = this.demand.compute(now);
    if (Math.abs(use - this.wanted) >= CHANGE_DISTANCE) {
      this.wanted = Math.round(use);
    }
    return Math.min(this.wanted, Math.floor(limit * MAX_RESERVED_FRACTION));
  }
}
