/**
 * Tells the calls that running requests make from the requests of callers.
 * Both come in at the same address and look alike, but a call ends no later
 * than the request that makes it, and that request runs on the worker beside
 * this node. A route all of whose requests could be such calls carries calls.
 *
 * It matters because a call that is refused costs its parent as well, with all
 * the time for which the parent has held a worker.
 */

/** Requests of a route before anything is concluded. */
const MIN_REQUESTS = 8;
/** Least weight of the newest request of a route. */
const AVERAGE_WEIGHT = 0.1;
/** Part of a route's requests that may seem to come from callers. */
const MOST_FOREIGN_SHARE = 0.05;
/** Time by which a busy node reads a call later than it was sent. */
const READING_DELAY_MS = 50;
/** Routes remembered; the one unused longest is forgotten. */
const MAX_ROUTES = 1000;

interface RouteOrigin {
  requests: number;
  /** Part of the requests that no running request can have made. */
  foreignShare: number;
}

/** The requests that run beside one node and the calls that they make. */
export class NestedCalls {
  private readonly deadlines = new Set<{readonly deadline: number}>();
  private readonly origins = new Map<string, RouteOrigin>();

  /**
   * Notes that a request runs on the worker beside this node.
   *
   * @param deadline time on the clock of `performance.now()`, as the worker
   *     was told.
   * @returns the function that ends the run; later calls have no effect.
   */
  startRun(deadline: number): () => void {
    const run = {deadline};
    this.deadlines.add(run);
    return () => void this.deadlines.delete(run);
  }

  /** Learns from a request that came in, and tells whether it is a call. */
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
