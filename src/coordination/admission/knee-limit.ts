/**
 * Concurrency limit at the knee of a worker's throughput curve. A worker slows
 * down when nearly all slots are taken, so that using them all serves fewer
 * requests per second. The limit compares the throughput at neighbouring
 * concurrency levels. Service times are divided by the slowdown factor of the
 * host (`pace`), so that a temporary slowdown isn't attributed to a level.
 */

/** Ratio of the limit to the slots before throughput is measured. */
const INITIAL_LIMIT_RATIO = 0.8;
/** Smallest ratio to the slots to which the limit is lowered. */
const MIN_LIMIT_RATIO = 0.5;
/** Number of samples that a level needs before it is compared. */
const MIN_SAMPLES = 12;
/** Weight of a new sample in the moving averages. */
const AVERAGE_WEIGHT = 0.08;
/** Relative throughput gain that is needed to change the limit. */
const MIN_GAIN_RATIO = 0.06;
/**
 * While requests wait at the limit, one in this many is admitted beyond it to
 * measure the next level.
 */
const ADMISSIONS_PER_TRIAL = 6;

/** Measurements at one number of concurrent requests. */
interface Level {
  samples: number;
  /** Mean ratio of normalized service times to the mean of their route. */
  relativeTime: number;
}

/** Concurrency limit of a worker whose slots are known. */
export class KneeLimit {
  private limit: number;
  private readonly levels: Level[] = [];
  private readonly meanMs = new Map<string, number>();
  private trialCandidates = 0;

  constructor(private slots: number) {
    this.limit = this.computeInitialLimit();
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
    this.limit = this.computeInitialLimit();
  }

  /** Returns whether one more request may run beside the running ones. */
  admit(running: number, hasWaiting: boolean): boolean {
    if (running < this.limit) return true;
    if (!hasWaiting || running > this.limit || running >= this.slots) {
      return false;
    }
    this.trialCandidates += 1;
    return this.trialCandidates % ADMISSIONS_PER_TRIAL === 0;
  }

  /**
   * Returns the mean service time of a route in milliseconds, normalized to
   * the usual speed of the host; undefined if the route is unknown.
   */
  findMeanMs(route: string): number | undefined {
    return this.meanMs.get(route);
  }

  /**
   * Records a successful request.
   *
   * @param running number of running requests at its start, including itself.
   * @param normalizedMs its service time divided by the host's slowdown factor.
   */
  record(route: string, running: number, normalizedMs: number): void {
    const mean = this.meanMs.get(route);
    const next =
      mean === undefined
        ? normalizedMs
        : mean + AVERAGE_WEIGHT * (normalizedMs - mean);
    this.meanMs.set(route, next);
    if (mean === undefined || mean <= 0) return;
    const level = (this.levels[running] ??= {samples: 0, relativeTime: 1});
    level.samples += 1;
    const weight = Math.max(AVERAGE_WEIGHT, 1 / level.samples);
    level.relativeTime += weight * (normalizedMs / mean - level.relativeTime);
    if (level.samples >= MIN_SAMPLES) this.compareLevels();
  }

  private compareLevels(): void {
    const here = this.computeThroughput(this.limit);
    if (here === undefined) return;
    const above = this.computeThroughput(this.limit + 1);
    if (above !== undefined && above > here * (1 + MIN_GAIN_RATIO)) {
      this.limit = Math.min(this.slots, this.limit + 1);
      return;
    }
    const below = this.computeThroughput(this.limit - 1);
    const minLimit = Math.max(1, Math.floor(this.slots * MIN_LIMIT_RATIO));
    if (below !== undefined && below > here * (1 + MIN_GAIN_RATIO)) {
      this.limit = Math.max(minLimit, this.limit - 1);
    }
  }

  /**
   * Returns the relative throughput at a level; undefined if it has too few
   * samples.
   */
  private computeThroughput(running: number): number | undefined {
    const level = this.levels[running];
    if (!level || level.samples < MIN_SAMPLES) return undefined;
    return running / level.relativeTime;
  }

  private computeInitialLimit(): number {
    return Math.max(1, Math.floor(this.slots * INITIAL_LIMIT_RATIO));
  }
}
