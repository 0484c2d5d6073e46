/**
 * Distinguishes nested calls, which running requests make, from requests of
 * external callers. Both arrive at the same address and look alike, but the
 * deadline of a nested call is no later than that of its parent, and the
 * parent runs on the local worker. A route counts as nested when nearly all of
 * its requests could have been made by a running request.
 *
 * A refused nested call also fails its parent and wastes the time for which
 * the parent has held a worker.
 */

/** Requests of a route before it is classified. */
const MIN_REQUESTS = 8;
/** Lowest weight of a route's newest request in the moving average. */
const AVERAGE_WEIGHT = 0.1;
/** Fraction of a nested route's requests that may look external. */
const MOST_FOREIGN_SHARE = 0.05;
/** Longest delay between sending a call and a busy node reading it. */
const READING_DELAY_MS = 50;
/** Routes tracked; the least recently used one is evicted. */
const MAX_ROUTES = 1000;

interface RouteOrigin {
  requests: number;
  /** Moving average of the requests that no running request can have made. */
  foreignShare: number;
}

/** Tracks the requests on the local worker and detects their calls. */
export class NestedCalls {
  private readonly deadlines = new Set<{readonly deadline: number}>();
  private readonly origins = new Map<string, RouteOrigin>();

  /**
   * Records that a request runs on the local worker.
   *
   * @param deadline Deadline sent to the worker, on the clock of
   *     `performance.now()`.
   * @returns A function that ends the run; later calls have no effect.
   */
  startRun(deadline: number): () => void {
    const run = {deadline};
    this.deadlines.add(run);
    return () => void this.deadlines.delete(run);
  }

  /** Records a received request; returns whether it is a nested call. */
  observe(route: string, deadline: number): boolean {
    const hasParent = this.hasRunUntil(deadline - READING_DELAY_MS);
    const origin = this.takeOrigin(route);
    origin.requests += 1;
    const weight = Math.max(AVERAGE_WEIGHT, 1 / origin.requests);
    origin.foreignShare += weight * ((hasParent ? 0 : 1) - origin.foreignShare);
    const {requests, foreignShare} = origin;
    const isCalled =
      requests >= MIN_REQUESTS && foreignShare < MOST_FOREIGN_SHARE;
    return hasParent && isCalled;
  }

  private takeOrigin(route: string): RouteOrigin {
    const origin = this.origins.get(route) ?? {requests: 0, foreignShare: 1};
    this.origins.delete(route);
    this.origins.set(route, origin);
    if (this.origins.size > MAX_ROUTES) {
      const [oldest] = this.origins.keys();
      this.origins.delete(oldest!);
    }
    return origin;
  }

  private hasRunUntil(time: number): boolean {
    for (const {deadline} of this.deadlines) {
      if (deadline >= time) return true;
    }
    return false;
  }
}
