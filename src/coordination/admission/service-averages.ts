/**
 * Moving averages of a worker's service time and failures, and the number of
 * connections lost in a row.
 */
import {SlotOutcome} from './concurrency-limit.js';

/** Weight of a new sample in the moving averages. */
const AVERAGE_WEIGHT = 0.1;
/** Service time assumed before the first answer. */
const DEFAULT_SERVICE_MS = 100;

/** Averages over the outcomes at one worker. */
export class ServiceAverages {
  /** Mean service time in milliseconds; 0 before the first answer. */
  serviceMs = 0;
  /** Moving average of the failures, from 0 to 1. */
  failureShare = 0;
  /** Number of connections lost in a row. */
  lostStreak = 0;

  /** Mean service time, or an assumed one before the first answer. */
  get expectedMs(): number {
    return this.serviceMs > 0 ? this.serviceMs : DEFAULT_SERVICE_MS;
  }

  /**
   * Records the time until a cancellation if it exceeds the mean, since it is
   * a lower bound of the service time.
   */
  recordCancelled(elapsedMs: number): void {
    if (elapsedMs > this.serviceMs) this.recordServiceTime(elapsedMs);
  }

  /** Records the outcome of a request that wasn't cancelled. */
  recordOutcome(outcome: SlotOutcome): void {
    const failure = outcome === SlotOutcome.SUCCESS ? 0 : 1;
    this.failureShare += AVERAGE_WEIGHT * (failure - this.failureShare);
    const isLost =
      outcome === SlotOutcome.CONNECTION_LOST ||
      outcome === SlotOutcome.UNREACHABLE;
    this.lostStreak = isLost ? this.lostStreak + 1 : 0;
  }

  /** Records the service time of a successful request. */
  recordServiceTime(elapsedMs: number): void {
    const weight = this.serviceMs === 0 ? 1 : AVERAGE_WEIGHT;
    this.serviceMs += weight * (elapsedMs - this.serviceMs);
  }
}
