/**
 * Long-term mean service times of one worker by route. A jump is detected
 * against the mean of the same route, since some routes, such as uploads, are
 * always slow. The mean moves slowly and each sample is clamped to twice the
 * mean, so that a sudden slowdown stands out but a lasting change becomes the
 * baseline.
 */

/** Weight of a sample once the baseline has enough samples. */
const SETTLED_WEIGHT = 1 / 512;
const MAX_SAMPLE_RATIO = 2;
/** Number of samples that a route needs before ratios are computed. */
const MIN_SAMPLES = 8;
/** Profiles name the routes; more than this many share one baseline. */
const MAX_ROUTES = 64;
const OTHER_ROUTES = '';
const MIN_COST = 0.25;
const MAX_COST = 8;

interface RouteBaseline {
  meanMs: number;
  samples: number;
}

/** Latency baselines of one worker. */
export class LatencyBaseline {
  private readonly routes = new Map<string, RouteBaseline>();
  private readonly all: RouteBaseline = {meanMs: 0, samples: 0};

  /** Adds a sample and returns its ratio to the baseline before it. */
  add(route: string, serviceTimeMs: number): number {
    const baseline = this.find(route);
    const ratio = computeRatio(baseline, serviceTimeMs);
    addSample(baseline, serviceTimeMs);
    addSample(this.all, serviceTimeMs);
    return ratio;
  }

  /**
   * Returns the ratio of a service time to its route's baseline; 1 if the
   * baseline has too few samples.
   */
  computeRatio(route: string, serviceTimeMs: number): number {
    return computeRatio(this.find(route), serviceTimeMs);
  }

  /** Returns the cost of a request of a route, where 1 is the mean cost. */
  computeCost(route: string): number {
    const {meanMs, samples} = this.find(route);
    if (samples < MIN_SAMPLES || this.all.meanMs <= 0) return 1;
    return Math.min(MAX_COST, Math.max(MIN_COST, meanMs / this.all.meanMs));
  }

  private find(route: string): RouteBaseline {
    const known = this.routes.get(route);
    if (known) return known;
    const name = this.routes.size < MAX_ROUTES ? route : OTHER_ROUTES;
    const baseline = this.routes.get(name) ?? {meanMs: 0, samples: 0};
    this.routes.set(name, baseline);
    return baseline;
  }
}

function computeRatio(baseline: RouteBaseline, serviceTimeMs: number): number {
  if (baseline.samples < MIN_SAMPLES || baseline.meanMs <= 0) return 1;
  return serviceTimeMs / baseline.meanMs;
}

function addSample(baseline: RouteBaseline, serviceTimeMs: number): void {
  baseline.samples += 1;
  const weight = Math.max(SETTLED_WEIGHT, 1 / baseline.samples);
  const clampedMs =
    baseline.samples > MIN_SAMPLES
      ? Math.min(serviceTimeMs, baseline.meanMs * MAX_SAMPLE_RATIO)
      : serviceTimeMs;
  baseline.meanMs += weight * (clampedMs - baseline.meanMs);
}
