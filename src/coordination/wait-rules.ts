/**
 * Who goes first at a worker that is full, and how long each may wait there.
 * What is new leaves while it can still be in time elsewhere; what a running
 * request waits for goes before all new work, because refusing it would waste
 * the time for which that request has held a worker.
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

/** Order and patience at one worker. */
export class WaitRules {
  /** @param computeServiceMs expected time of a route at the worker. */
  constructor(private readonly computeServiceMs: (route: string) => number) {}

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
    return spareMs * WAITED_PART;
  }

  private isLate({targetAt, route}: AdmissionRequest, now: number): boolean {
    if (targetAt === undefined) return false;
    return now + this.computeServiceMs(route) > targetAt;
  }
}
