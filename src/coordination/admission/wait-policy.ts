/**
 * Order and longest wait of the requests queued at a worker. High-priority
 * requests wait longer for the next slot rather than try another gate, because
 * other gates are then full as well; low-priority requests are refused while
 * they can still be in time at another gate. Nested requests, which a running
 * request waits for, precede all others, because refusing one would waste the
 * time for which the running request has held a worker.
 */
import type {RankedItem} from './rank-queue.js';
import type {AdmissionRequest} from './worker-admission.js';

/** Rank added to a request that can no longer meet its target. */
const LATE_RANK = 1_000_000;
/**
 * Rank added to a request of a connection with several. Callers that send
 * without waiting for answers would otherwise have all slots, and one with a
 * single request of a lower priority none.
 */
const BULK_RANK = 10_000;
/** Rank of nested requests. */
const NESTED_RANK = -1;
/** Factor by which a service time may exceed the expected one. */
const SERVICE_TIME_MARGIN = 1.3;
/**
 * Ratio of the longest wait at one gate to the request's spare time. A request
 * that waited for all of it would be late whenever the host is slow, though
 * another gate could have served it in time; its slot would then be wasted.
 */
const WAIT_RATIO = 0.2;
/** The same ratio while requests of lower priority arrive as well. */
const HIGH_PRIORITY_WAIT_RATIO = 0.4;
/** Time for which a rank counts as present after a request with it. */
const RANK_RETENTION_MS = 5000;

/** Computes the queue order and longest waits at one worker. */
export class WaitPolicy {
  private readonly rankSeenAt = new Map<number, number>();

  /**
   * @param computeServiceMs returns the expected service time of a route in
   *     milliseconds.
   */
  constructor(private readonly computeServiceMs: (route: string) => number) {}

  /** Records the rank of a request, to compare later requests with it. */
  record({rank, isNested}: AdmissionRequest, now: number): void {
    if (!isNested) this.rankSeenAt.set(rank, now);
  }

  /** Returns the properties that determine the queue position. */
  computeOrder(request: AdmissionRequest, now: number): RankedItem {
    const {rank, targetAt, deadline, isNested, isBulk} = request;
    if (isNested) return {rank: NESTED_RANK, dueAt: deadline};
    const late = this.isLate(request, now) ? LATE_RANK : 0;
    const bulk = isBulk ? BULK_RANK : 0;
    return {rank: rank + late + bulk, dueAt: targetAt ?? deadline};
  }

  /**
   * Returns the longest time in milliseconds that a request may wait at this
   * worker. It is negative if the request would be too late even without wait.
   */
  computeMaxWait(request: AdmissionRequest, now: number): number {
    const {route, targetAt, deadline, isNested} = request;
    const serviceMs = this.computeServiceMs(route);
    if (isNested) return deadline - now - serviceMs;
    const dueAt = this.isLate(request, now) ? deadline : (targetAt ?? deadline);
    const spareMs = dueAt - now - serviceMs * SERVICE_TIME_MARGIN;
    const isHighPriority = this.hasLowerPriorityTraffic(request, now);
    return spareMs * (isHighPriority ? HIGH_PRIORITY_WAIT_RATIO : WAIT_RATIO);
  }

  /** Returns whether a request can no longer meet its target. */
  isLate({targetAt, route}: AdmissionRequest, now: number): boolean {
    if (targetAt === undefined) return false;
    return now + this.computeServiceMs(route) > targetAt;
  }

  private hasLowerPriorityTraffic(
    {rank}: AdmissionRequest,
    now: number,
  ): boolean {
    for (const [other, at] of this.rankSeenAt) {
      if (other > rank && now - at < RANK_RETENTION_MS) return true;
    }
    return false;
  }
}
