/**
 * Latency-tolerant ("patient") work beside urgent work at one worker. The load
 * that it addresses: downloads and exports, which run for hundreds of
 * milliseconds and may take seconds, share their worker with a quick lookup
 * that running requests wait for. A burst of the former fills all slots, and
 * each lookup then waits for a whole service time of them. On the other hand a
 * download that is refused as early as a lookup has most of its time left.
 *
 * Whether work is patient is learned, by route: compared with the shortest time
 * that any route at this worker is given, it can spare much more, and it can
 * wait for the longest of its kind to end. A worker with work of one kind only
 * has no patient work and serves as before.
 */
import {SlotDemand} from './slot-demand.js';

/** Weight of a new sample in the moving average of a route's time. */
const AVERAGE_WEIGHT = 0.1;
/** Time for which a route counts as present after a request of it. */
const ROUTE_RETENTION_MS = 5000;
/** Interval at which routes are compared with each other. */
const COMPARISON_INTERVAL_MS = 250;
/** Most routes compared; requests of further ones aren't patient. */
const MAX_ROUTES = 32;
/**
 * Ratio of a patient route's spare time to the shortest time of any route.
 * Work that can spare twice the whole time of the most urgent work can let it
 * go first and still be in time.
 */
const PATIENT_RATIO = 2;
/** Factor by which a service time may exceed the expected one. */
const SERVICE_TIME_MARGIN = 1.3;
/**
 * Multiple of the expected service time that a patient request leaves for its
 * run when it waits. A request that waited for all of its spare time would be
 * late whenever the host turns slow meanwhile, though another gate could have
 * served it; with twice the service time it bears a host of half the speed.
 * Requests with less than that to spare keep the short waits of `WaitPolicy`.
 */
const RUN_TIME_FACTOR = 2;
/** Time after an urgent arrival for which slots are left to urgent work. */
const URGENT_RETENTION_MS = 2000;

interface RouteTimes {
  /** Moving average of the time from arrival until an answer is late. */
  timeMs: number;
  /** Expected service time on a host at its usual speed. */
  usualMs: number;
  seenAt: number;
  isPatient: boolean;
}

/** Learns which routes are patient, and what urgent work uses beside them. */
export class PatientWork {
  private readonly routes = new Map<string, RouteTimes>();
  private readonly urgentDemand = new SlotDemand();
  private comparedAt = -Infinity;
  private hasPatientRoutes = false;

  /**
   * Records a request that can still be in time.
   *
   * @param timeMs time until an answer is late.
   * @param usualMs expected service time at the usual speed of the host.
   */
  recordArrival(
    route: string,
    timeMs: number,
    usualMs: number,
    now: number,
  ): void {
    const times = this.routes.get(route);
    if (times) {
      times.timeMs += AVERAGE_WEIGHT * (timeMs - times.timeMs);
      times.usualMs = usualMs;
      times.seenAt = now;
    } else if (this.routes.size < MAX_ROUTES) {
      const isPatient = false;
      this.routes.set(route, {timeMs, usualMs, seenAt: now, isPatient});
    }
    if (now - this.comparedAt >= COMPARISON_INTERVAL_MS) {
      this.compareRoutes(now);
    }
  }

  /** Returns whether requests of the route are patient. */
  isPatient(route: string): boolean {
    return this.routes.get(route)?.isPatient ?? false;
  }

  /** Records an urgent request with its expected service time. */
  recordUrgent(serviceMs: number, now: number): void {
    this.urgentDemand.record(serviceMs, now);
  }

  /**
   * Returns the number of slots that patient work leaves to urgent work: what
   * that uses, at least one while it arrives, and never all. None without
   * patient work.
   */
  computeLeft(limit: number, now: number): number {
    if (!this.hasPatientRoutes) return 0;
    const {lastArrivalAt} = this.urgentDemand;
    if (now - lastArrivalAt > URGENT_RETENTION_MS) return 0;
    const used = Math.max(1, this.urgentDemand.computeWhole(now));
    return Math.min(used, limit - 1);
  }

  /** Returns the average number of slots that urgent work uses. */
  computeUrgentUse(now: number): number {
    return this.urgentDemand.compute(now);
  }

  private compareRoutes(now: number): void {
    this.comparedAt = now;
    let shortestMs = Infinity;
    for (const [route, {seenAt, timeMs}] of this.routes) {
      if (now - seenAt > ROUTE_RETENTION_MS) this.routes.delete(route);
      else shortestMs = Math.min(shortestMs, timeMs);
    }
    const tolerant = [...this.routes.values()].filter(
      times => computeSpare(times) >= PATIENT_RATIO * shortestMs,
    );
    const longestMs = Math.max(0, ...tolerant.map(({usualMs}) => usualMs));
    for (const times of this.routes.values()) times.isPatient = false;
    for (const times of tolerant) {
      times.isPatient = computeSpare(times) >= longestMs;
    }
    this.hasPatientRoutes = tolerant.some(({isPatient}) => isPatient);
  }
}

/** Returns the longest wait of a patient request that is in time. */
export function computePatientWait(
  dueAt: number,
  serviceMs: number,
  now: number,
): number {
  return dueAt - now - RUN_TIME_FACTOR * serviceMs;
}

/**
 * Returns the time at which a queued patient request can no longer be in time,
 * by the expected service time at the present speed of the host.
 */
export function computeLatestStart(dueAt: number, serviceMs: number): number {
  return dueAt - SERVICE_TIME_MARGIN * serviceMs;
}

function computeSpare({timeMs, usualMs}: RouteTimes): number {
  return timeMs - SERVICE_TIME_MARGIN * usualMs;
}
