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

import type {
  CallOutcome,
  ParentAdmission,
} from './admission/parent-admission.js';

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

/** A request that runs on the local worker. */
interface Run {
  readonly deadline: number;
  readonly kind: string | undefined;
}

/** Learns from the calls of running requests; see `ParentAdmission`. */
export type CallObserver = Pick<
  ParentAdmission,
  'recordCall' | 'recordOutcome'
>;

/** Tracks the requests on the local worker and detects their calls. */
export class NestedCalls {
  private readonly runs = new Set<Run>();
  private readonly statsByRoute = new Map<string, RouteStats>();

  constructor(private readonly observer?: CallObserver) {}

  /**
   * Records that a request runs on the local worker.
   *
   * @param deadline Deadline sent to the worker, on the clock of
   *     `performance.now()`.
   * @param kind key of the request's kind; see `formatKind`.
   * @returns A function that ends the run; later calls have no effect.
   */
  startRun(deadline: number, kind?: string): () => void {
    const run = {deadline, kind};
    this.runs.add(run);
    return () => void this.runs.delete(run);
  }

  /**
   * Records that a nested call starts.
   *
   * @returns A function that records how it ended.
   */
  startCall(
    service: string,
    deadline: number,
    now: number,
  ): (outcome: CallOutcome, endedAt: number) => void {
    const {observer} = this;
    if (!observer) return () => {};
    observer.recordCall(service, this.findParentKind(deadline), now);
    return (outcome, endedAt) =>
      observer.recordOutcome(service, outcome, endedAt);
  }

  /** Records a received request; returns whether it is a nested call. */
  observe(route: string, deadline: number): boolean {
    const hasParent = this.hasParent(deadline);
    const stats = this.findRouteStats(route);
    stats.requests += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / stats.requests);
    stats.externalFraction +=
      weight * ((hasParent ? 0 : 1) - stats.externalFraction);
    return hasParent && isNestedRoute(stats);
  }

  /** Whether a request is a nested call; doesn't record it. */
  isNested(route: string, deadline: number): boolean {
    const stats = this.statsByRoute.get(route);
    return (
      stats !== undefined && isNestedRoute(stats) && this.hasParent(deadline)
    );
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

  /**
   * Returns the kind of the request that made a call; undefined if running
   * requests of several kinds can have made it.
   */
  private findParentKind(callDeadline: number): string | undefined {
    let found: string | undefined;
    for (const {deadline, kind} of this.runs) {
      if (deadline < callDeadline - MAX_READ_DELAY_MS) continue;
      if (kind === undefined || (found !== undefined && found !== kind)) {
        return undefined;
      }
      found = kind;
    }
    return found;
  }

  private hasParent(callDeadline: number): boolean {
    for (const {deadline} of this.runs) {
      if (deadline >= callDeadline - MAX_READ_DELAY_MS) return true;
    }
    return false;
  }
}

function isNestedRoute({requests, externalFraction}: RouteStats): boolean {
  return requests >= MIN_REQUESTS && externalFraction < MAX_EXTERNAL_FRACTION;
}
