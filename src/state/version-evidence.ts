/**
 * Figures that a gate gathers about its worker's version, by service and route.
 * While a move runs they are the evidence for or against the new version.
 * Recent figures are kept separately, so that many old answers don't hide new
 * failures.
 */

/** Length of one of the two windows that make up the recent figures. */
const WINDOW_MS = 2000;
/** Maximum number of newest durations kept for each route. */
const MAX_KEPT_DURATIONS = 64;
/** Maximum number of routes of a service; requests of others aren't counted. */
const MAX_ROUTES = 200;

/** Figures about one route. */
export interface RouteFigures {
  readonly route: string;
  readonly answers: number;
  readonly failures: number;
  readonly recentAnswers: number;
  readonly recentFailures: number;
  readonly recentDurationsMs: readonly number[];
  /** Times until requests were cancelled; their full durations are longer. */
  readonly recentCancelledMs: readonly number[];
}

/** Ways in which a request ends at a worker. */
export const RequestEnd = {
  ANSWERED: 'answered',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
} as const;

export type RequestEnd = (typeof RequestEnd)[keyof typeof RequestEnd];

/** A request that reached the worker, and how it ended. */
export interface ObservedRequest {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly end: RequestEnd;
  /**
   * Duration in milliseconds, normalized to the host's usual pace; undefined
   * when it tells nothing about the version.
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
  if (durationsMs.length > MAX_KEPT_DURATIONS) durationsMs.shift();
}

interface ServiceCounts {
  readonly version: string;
  readonly routes: Map<string, RouteCounts>;
}

/** Evidence gathered by one gate. */
export class VersionEvidence {
  private readonly byService = new Map<string, ServiceCounts>();

  /** Records one request that reached the worker. */
  record(seen: ObservedRequest): void {
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

  /** Returns the observed version of a service and its figures by route. */
  read(service: string): {version: string; routes: RouteFigures[]} | undefined {
    const counts = this.byService.get(service);
    if (!counts) return undefined;
    const routes = [...counts.routes].map(([route, figures]) =>
      figures.read(route),
    );
    return {version: counts.version, routes};
  }

  /** Discards the evidence about a service, as at each step of a move. */
  clear(service: string): void {
    this.byService.delete(service);
  }
}
