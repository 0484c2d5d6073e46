/**
 * Who goes first at a worker that is full, and how long each may wait there.
 * The important wait for the next slot rather than look for another gate, for
 * those are full as well; the less important leave while they can still be in
 * time elsewhere; and what a running request waits for goes before all new
 * work, because refusing it would waste the time for which that request has
 * held a worker.
 */
import type {RankedItem} from './rank-queue.js';
import type {AdmissionRequest} from './worker-admission.js';

/** Rank added to what can no longer be answered within its target. */
const LATE_RANK = 1_000_000;
/** Rank of what a running request waits for. */
const NESTED_RANK = -1;
/** Times that a request may take as long as usual and still be in time. */
const SERVICE_MARGIN = 1.3;
/**
 * Part of the time to spare that is spent on waiting at one gate. A request
 * that waits for all of it runs late whenever its host is slow, and could have
 * been in time elsewhere; then its slot served nobody in time.
 */
const WAITED_PART = 0.2;
/** The same for requests that others here are less important than. */
const IMPORTANT_WAITED_PART = 0.4;
/** Time for which a rank counts after a request of it. */
const RANK_MEMORY_MS = 5000;

/** Order and patience at one worker. */
export class WaitRules {
  private readonly seenAt = new Map<number, number>();

  /** @param computeServiceMs expected time of a route at the worker. */
  constructor(private readonly computeServiceMs: (route: string) => number) {}

  /** Notes a request, so that the ranks of others can be set against it. */
  record({rank, isNested}: AdmissionRequest, now: number): void {
    if (!isNested) this.seenAt.set(rank, now);
  }

  /** Place in the order at the worker. */
  computeOrder(request: AdmissionRequest, now: number): RankedItem {
    const {rank, targetAt, deadline, isNested} = request;
    if (isNested) return {rank: NESTED_RANK, dueAt: deadline};
    const late = this.isLate(request, now) ? LATE_RANK : 0;
    return {rank: rank + late, dueAt: targetAt ?? deadline};
  }

  /** A wait after which an answer would come too late, in milliseconds. */
  computeMostWait(request: AdmissionRequest, now: number): number {
    const {route, targetAt, deadline, isNested} = request;
    const serviceMs = this.computeServiceMs(route);
    if (isNested) return deadline - now - serviceMs;
    const dueAt = this.isLate(request, now) ? deadline : (targetAt ?? deadline);
    const spareMs = dueAt - now - serviceMs * SERVICE_MARGIN;
    const isImportant = this.hasLessImportant(request, now);
    return spareMs * (isImportant ? IMPORTANT_WAITED_PART : WAITED_PART);
  }

  private isLate({targetAt, route}: AdmissionRequest, now: number): boolean {
    if (targetAt === undefined) return false;
    return now + this.computeServiceMs(route) > targetAt;
  }

  private hasLessImportant({rank}: AdmissionRequest, now: number): boolean {
    for (const [other, at] of this.seenAt) {
      if (other > rank && now - at < RANK_MEMORY_MS) return true;
    }
    return false;
  }
}
