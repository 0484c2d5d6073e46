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
/** Estimates the slots that nested calls need at one worker. */
export class CallReservation {
  private readonly demand = new SlotDemand();

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
    const wanted = this.demand.computeWhole(now);
    return Math.min(wanted, Math.floor(limit * MAX_RESERVED_FRACTION));
  }
}
