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
const MIN_SAMPLE_WEIGHT = 0.1;
/** Fraction of a nested route's requests that may look external. */
const MAX_EXTERNAL_FRACTION = 0.05;
/** Longest delay between sending a call and a busy node reading it. */
const MAX_READ_DELAY_MS = 50;
/** Routes tracked; the least recently used one is evicted. */
const MAX_ROUTES = 1000;

interface RouteStats {
  requests: number;
  /** Moving average of the requests that no running request can have made. */
  externalFraction: number;
}

/** Tracks the requests on the local worker and detects their calls. */
export class NestedCalls {
  private readonly deadlines = new Set<{readonly deadline: number}>();
  private readonly statsByRoute = new Map<string, RouteStats>();

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
    const hasParent = this.hasRequestRunningUntil(deadline - MAX_READ_DELAY_MS);
    const stats = this.findRouteStats(route);
    stats.requests += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / stats.requests);
    stats.externalFraction +=
      weight * ((hasParent ? 0 : 1) - stats.externalFraction);
    const {requests, externalFraction} = stats;
    const isNestedRoute =
      requests >= MIN_REQUESTS && externalFraction < MAX_EXTERNAL_FRACTION;
    return hasParent && isNestedRoute;
  }

  private findRouteStats(route: string): RouteStats {
    const stats = this.statsByRoute.get(route) ?? {
      requests: 0,
      externalFraction: 1,
    };
    this.statsByRoute.delete(route);
    this.statsByRoute.set(route, stats);
    if (this.statsByRoute.size > MAX_ROUTES) {
      const [oldest] = this.statsByRoute.keys();
      this.statsByRoute.delete(oldest!);
    }
    return stats;
  }

  private hasRequestRunningUntil(time: number): boolean {
    for (const {deadline} of this.deadlines) {
      if (deadline >= time) return true;
    }
    return false;
  }
}
