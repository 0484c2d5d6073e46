/**
 * Concurrency limit at the knee of a worker's throughput curve. A worker slows
 * down when nearly all slots are taken, so that using them all serves fewer
 * requests per second. The limit compares the throughput at neighbouring
 * concurrency levels. Service times are divided by the slowdown factor of the
 * host (`pace`), so that a temporary slowdown isn't attributed to a level.
 */

/** Ratio of the limit to the slots before throughput is measured. */
const FIRST_PART = 0.8;
/** Smallest ratio to the slots to which the limit is lowered. */
const LEAST_PART = 0.5;
/** Number of samples that a level needs before it is compared. */
const MIN_SAMPLES = 12;
/** Weight of a new sample in the moving averages. */
const AVERAGE_WEIGHT = 0.08;
/** Relative throughput gain that is needed to change the limit. */
const CLEAR_SHARE = 0.06;
/**
 * While requests wait at the limit, one in this many is admitted beyond it to
 * measure the next level.
 */
const TRIAL_INTERVAL = 6;

/** Measurements at one number of concurrent requests. */
interface Level {
  samples: number;
  /** Mean ratio of normalized service times to the mean of their route. */
  slowness: number;
}

/** Concurrency limit of a worker whose slots are known. */
export class KneeLimit {
  private limit: number;
  private readonly levels: Level[] = [];
  private readonly usualMs = new Map<string, number>();
  private admissions = 0;

  constructor(private slots: number) {
    this.limit = this.computeFirst();
  }

  /** Number of requests that may run concurrently. */
  get value(): number {
    return this.limit;
  }

  /** Applies a changed number of slots and discards the measurements. */
  update(slots: number): void {
    if (slots === this.slots) return;
    this.slots = slots;
    this.levels.length = 0;
    this.limit = this.computeFirst();
  }

  /** Returns whether one more request may run beside the running ones. */
  admit(running: number, hasWaiting: boolean): boolean {
    if (running < this.limit) return true;
    if (!hasWaiting || running > this.limit || running >= this.slots) {
      return false;
    }
    this.admissions += 1;
    return this.admissions % TRIAL_INTERVAL === 0;
  }

  /**
   * Returns the mean service time of a route in milliseconds, normalized to
   * the usual speed of the host; undefined if the route is unknown.
   */
  findUsualMs(route: string): number | undefined {
    return this.usualMs.get(route);
  }

  /**
   * Records a successful request.
   *
   * @param running number of running requests at its start, including itself.
   * @param normalizedMs its service time divided by the host's slowdown factor.
   */
  record(route: string, running: number, paceMs: number): void {
    const usual = this.usualMs.get(route);
    const next =
      usual === undefined ? paceMs : usual + AVERAGE_WEIGHT * (paceMs - usual);
    this.usualMs.set(route, next);
    if (usual === undefined || usual <= 0) return;
    const level = (this.levels[running] ??= {samples: 0, slowness: 1});
    level.samples += 1;
    const weight = Math.max(AVERAGE_WEIGHT, 1 / level.samples);
    level.slowness += weight * (paceMs / usual - level.slowness);
    if (level.samples >= MIN_SAMPLES) this.compareLevels();
  }

  private compareLevels(): void {
    const here = this.computeYield(this.limit);
    if (here === undefined) return;
    const above = this.computeYield(this.limit + 1);
    if (above !== undefined && above > here * (1 + CLEAR_SHARE)) {
      this.limit = Math.min(this.slots, this.limit + 1);
      return;
    }
    const below = this.computeYield(this.limit - 1);
    const least = Math.max(1, Math.floor(this.slots * LEAST_PART));
    if (below !== undefined && below > here * (1 + CLEAR_SHARE)) {
      this.limit = Math.max(least, this.limit - 1);
    }
  }

  /**
   * Returns the relative throughput at a level; undefined if it has too few
   * samples.
   */
  private computeYield(running: number): number | undefined {
    const level = this.levels[running];
    if (!level || level.samples < MIN_SAMPLES) return undefined;
    return running / level.slowness;
  }

  private computeFirst(): number {
    return Math.max(1, Math.floor(this.slots * FIRST_PART));
  }
}
