/**
 * Learns how many requests at once a worker serves best. Near its last slots
 * a worker slows down, so that filling them all serves fewer requests per
 * second. The limit compares neighbouring levels by requests per unit of time,
 * with times set against the host's pace so that its spells don't mislead.
 */

/** Part of the slots that is used before anything is learnt. */
const FIRST_PART = 0.8;
/** The least part of the slots that the limit falls to. */
const LEAST_PART = 0.5;
/** Times that a level needs before it is compared. */
const MIN_SAMPLES = 12;
const AVERAGE_WEIGHT = 0.08;
/** Gain or loss that a change of the limit must show. */
const CLEAR_SHARE = 0.06;
/** One admission in so many tries the level above when others wait. */
const TRIAL_INTERVAL = 6;

interface Level {
  samples: number;
  /** Average time in usual times of the route at usual pace. */
  slowness: number;
}

/** Concurrency limit of a worker with known slots. */
export class KneeLimit {
  private limit: number;
  private readonly levels: Level[] = [];
  private readonly usualMs = new Map<string, number>();
  private admissions = 0;

  constructor(private slots: number) {
    this.limit = this.computeFirst();
  }

  /** Requests that may run at once. */
  get value(): number {
    return this.limit;
  }

  /** Takes over a changed number of slots and forgets what was learnt. */
  update(slots: number): void {
    if (slots === this.slots) return;
    this.slots = slots;
    this.levels.length = 0;
    this.limit = this.computeFirst();
  }

  /** Whether one more may run beside those that run. */
  admit(running: number, hasWaiting: boolean): boolean {
    if (running < this.limit) return true;
    if (!hasWaiting || running > this.limit || running >= this.slots) {
      return false;
    }
    this.admissions += 1;
    return this.admissions % TRIAL_INTERVAL === 0;
  }

  /** Usual time of a route at usual pace in milliseconds, if known. */
  findUsualMs(route: string): number | undefined {
    return this.usualMs.get(route);
  }

  /**
   * Takes a whole request into account.
   *
   * @param running requests that ran at its start, itself included.
   * @param paceMs its time divided by the host's pace.
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

  /** Requests per usual time at a level; undefined without evidence. */
  private computeYield(running: number): number | undefined {
    const level = this.levels[running];
    if (!level || level.samples < MIN_SAMPLES) return undefined;
    return running / level.slowness;
  }

  private computeFirst(): number {
    return Math.max(1, Math.floor(this.slots * FIRST_PART));
  }
}
