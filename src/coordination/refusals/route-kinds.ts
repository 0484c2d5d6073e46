/**
 * What an entry has observed of the routes of one service, to judge what a gate
 * would do with a request. A gate queues requests by rank and due time, and
 * its load figures tell only how many are queued; the routes observed here tell
 * whether a queue can hold requests that a new one would go before.
 */
import type {ServiceRequest} from '../../protocol/service-request.js';
import type {WorkerLoad} from '../../protocol/worker-load.js';

/**
 * Time for which a route counts as in use after a request with it. It exceeds
 * the 5 s of the gates, which get the requests of many entries.
 */
const ROUTE_RETENTION_MS = 30_000;
/** Observation time before the routes in use count as known. */
const LEARNING_MS = 5000;
/** Routes observed of one service; then nothing counts as known. */
const MAX_ROUTES = 32;
/**
 * Weights of a shorter and of a longer duration than the estimate, so that the
 * estimate stays near the shortest durations, those without a wait.
 */
const SHORTER_WEIGHT = 0.25;
const LONGER_WEIGHT = 0.03;
/** Difference between two target latencies that counts as none. */
const TARGET_TOLERANCE_MS = 5;
const MIN_PACE = 0.1;
/** Ratio of a target to the service time below which a request may be late. */
const LATE_MARGIN = 1.2;
const US_PER_MS = 1000;

interface RouteKind {
  rank: number;
  /** Target latency in milliseconds, `Infinity` without one. */
  targetMs: number;
  seenAt: number;
  /** Estimated service time at a pace of 1; 0 before the first answer. */
  serviceMs: number;
}

/** Routes of one service that this entry has had requests of. */
export class RouteKinds {
  private readonly byRoute = new Map<string, RouteKind>();
  private startedAt = Infinity;

  /** Copies what was observed, so that a decision can be made without change. */
  copy(): RouteKinds {
    const copy = new RouteKinds();
    copy.startedAt = this.startedAt;
    for (const [route, kind] of this.byRoute)
      copy.byRoute.set(route, {...kind});
    return copy;
  }

  /** Records a request of a caller. */
  record(request: ServiceRequest, now: number): void {
    const {route, rank, targetAt} = request;
    this.startedAt = Math.min(this.startedAt, now);
    const targetMs = targetAt === undefined ? Infinity : targetAt - now;
    const kind = this.byRoute.get(route);
    if (kind) {
      kind.rank = rank;
      kind.targetMs = targetMs;
      kind.seenAt = now;
    } else if (this.byRoute.size < MAX_ROUTES) {
      this.byRoute.set(route, {rank, targetMs, seenAt: now, serviceMs: 0});
    }
  }

  /** Records the duration of an answered attempt and the worker's pace then. */
  recordAnswer(route: string, durationMs: number, pace: number): void {
    const kind = this.byRoute.get(route);
    if (!kind) return;
    const normalizedMs = durationMs / Math.max(pace, MIN_PACE);
    const isShorter = normalizedMs < kind.serviceMs;
    const weight = isShorter ? SHORTER_WEIGHT : LONGER_WEIGHT;
    kind.serviceMs +=
      (kind.serviceMs === 0 ? 1 : weight) * (normalizedMs - kind.serviceMs);
  }

  /** Whether the routes in use are known. */
  isComplete(now: number): boolean {
    return (
      now - this.startedAt >= LEARNING_MS && this.byRoute.size < MAX_ROUTES
    );
  }

  /** Returns the service time of a route at a pace of 1; 0 if unknown. */
  findServiceMs(route: string): number {
    return this.byRoute.get(route)?.serviceMs ?? 0;
  }

  /** Whether requests of a less urgent rank are in use. */
  hasLessUrgent({rank}: ServiceRequest, now: number): boolean {
    for (const kind of this.byRoute.values()) {
      if (kind.rank > rank && isInUse(kind, now)) return true;
    }
    return false;
  }

  /**
   * Whether all that a gate may have queued goes before a request: no route in
   * use has a less urgent rank, or the same rank and a later target, or
   * requests that the gate judges to be late, which it queues last.
   *
   * @param ignoresRank whether a gate also queues by slack, so that routes with
   *     a later target may go after the request whatever their rank.
   */
  isLast(
    request: ServiceRequest,
    {serviceTimeUs, pace}: WorkerLoad,
    ignoresRank: boolean,
    now: number,
  ): boolean {
    const {rank, targetAt} = request;
    if (targetAt === undefined) return false;
    const targetMs = targetAt - now + TARGET_TOLERANCE_MS;
    const meanMs = serviceTimeUs / US_PER_MS;
    for (const [route, kind] of this.byRoute) {
      // Requests of the same route that arrived earlier are due earlier.
      if (route === request.route || !isInUse(kind, now)) continue;
      if (kind.rank > rank) return false;
      const isLater = kind.targetMs > targetMs;
      if (isLater && (ignoresRank || kind.rank === rank)) return false;
      const serviceMs = Math.max(meanMs, kind.serviceMs * pace);
      if (serviceMs * LATE_MARGIN > kind.targetMs) return false;
    }
    return true;
  }
}

function isInUse({seenAt}: RouteKind, now: number): boolean {
  return now - seenAt < ROUTE_RETENTION_MS;
}
