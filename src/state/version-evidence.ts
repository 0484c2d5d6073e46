/**
 * What a gate has seen of its worker's version, by service and route. While a
 * move runs it is the evidence for or against the new version. Old answers
 * must not hide new failures, so recent figures are kept apart.
 */

/** Length of one of the two windows that make up the recent figures. */
const WINDOW_MS = 2000;
/** Newest durations kept of each route. */
const KEPT_DURATIONS = 64;
const MAX_ROUTES = 200;

/** What was seen of one route. */
export interface RouteFigures {
  readonly route: string;
  readonly answers: number;
  readonly failures: number;
  readonly recentAnswers: number;
  readonly recentFailures: number;
  readonly recentDurationsMs: readonly number[];
  /** Times after which requests were cancelled; they would have taken longer. */
  readonly recentCancelledMs: readonly number[];
}

/** The ways in which a request ends at a worker. */
export const RequestEnd = {
  ANSWERED: 'answered',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
} as const;

export type RequestEnd = (typeof RequestEnd)[keyof typeof RequestEnd];

/** How a request ended at the worker. */
export interface SeenRequest {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly end: RequestEnd;
  /**
   * Time in milliseconds at the host's usual pace; undefined when it says
   * nothing of the version.
   */
  readonly durationMs: number | undefined;
}

class RouteCounts {
  answers = 0;
  failures = 0;
  private windowStartedAt = performance.now();
  private current = {answers: 0, failures: 0};
  private previous = {answers: 0, failures: 0};
  private readonly durationsMs: number[] = [];
  private readonly cancelledMs: number[] = [];

  record(end: RequestEnd, durationMs: number | undefined): void {
    if (end === RequestEnd.CANCELLED) {
      addNewest(this.cancelledMs, durationMs);
      return;
    }
    this.refresh();
    const failures = end === RequestEnd.FAILED ? 1 : 0;
    this.answers += 1;
    this.failures += failures;
    this.current.answers += 1;
    this.current.failures += failures;
    addNewest(this.durationsMs, durationMs);
  }

  read(route: string): RouteFigures {
    this.refresh();
    return {
      route,
      answers: this.answers,
      failures: this.failures,
      recentAnswers: this.current.answers + this.previous.answers,
      recentFailures: this.current.failures + this.previous.failures,
      recentDurationsMs: this.durationsMs,
      recentCancelledMs: this.cancelledMs,
    };
  }

  private refresh(): void {
    const ageMs = performance.now() - this.windowStartedAt;
    if (ageMs < WINDOW_MS) return;
    this.windowStartedAt = performance.now();
    const isGap = ageMs >= 2 * WINDOW_MS;
    this.previous = isGap ? {answers: 0, failures: 0} : this.current;
    this.current = {answers: 0, failures: 0};
  }
}

function addNewest(
  durationsMs: number[],
  durationMs: number | undefined,
): void {
  if (durationMs === undefined) return;
  durationsMs.push(durationMs);
  if (durationsMs.length > KEPT_DURATIONS) durationsMs.shift();
}

interface ServiceCounts {
  readonly version: string;
  readonly routes: Map<string, RouteCounts>;
}

/** Evidence of one gate. */
export class VersionEvidence {
  private readonly byService = new Map<string, ServiceCounts>();

  /** Adds one request that reached the worker. */
  record(seen: SeenRequest): void {
    let counts = this.byService.get(seen.service);
    if (counts?.version !== seen.version) {
      counts = {version: seen.version, routes: new Map()};
      this.byService.set(seen.service, counts);
    }
    let route = counts.routes.get(seen.route);
    if (!route) {
      if (counts.routes.size >= MAX_ROUTES) return;
      route = new RouteCounts();
      counts.routes.set(seen.route, route);
    }
    route.record(seen.end, seen.durationMs);
  }

  /** Version that was seen of a service, and its figures by route. */
  read(service: string): {version: string; routes: RouteFigures[]} | undefined {
    const counts = this.byService.get(service);
    if (!counts) return undefined;
    const routes = [...counts.routes].map(([route, figures]) =>
      figures.read(route),
    );
    return {version: counts.version, routes};
  }

  /** Starts anew, as at each step of a move. */
  clear(service: string): void {
    this.byService.delete(service);
  }
}
