/**
 * Number of slots that a stream of requests uses on average: by Little's law
 * its arrivals per second times their service time, averaged over the last
 * seconds with exponentially falling weight. One addition per request, without
 * a list of arrivals.
 */

/**
 * Time constant of the average. Bursts of a second are averaged out, and a
 * stream that ends is forgotten after about twice this time.
 */
const TIME_CONSTANT_MS = 2000;
/**
 * Distance of the average from the whole number at which that number changes.
 * Above one half, so that an average between two numbers keeps either of them
 * instead of alternating.
 */
const CHANGE_DISTANCE = 0.6;

/** Average number of slots that a stream of requests uses. */
export class SlotDemand {
  private slots = 0;
  private wholeSlots = 0;
  private updatedAt = -Infinity;

  /** Time of the latest arrival; `-Infinity` before the first. */
  get lastArrivalAt(): number {
    return this.updatedAt;
  }

  /** Records an arrival with its expected service time. */
  record(serviceMs: number, now: number): void {
    this.slots = this.compute(now) + serviceMs / TIME_CONSTANT_MS;
    this.updatedAt = now;
  }

  /** Returns the average number of slots in use. */
  compute(now: number): number {
    if (this.slots === 0) return 0;
    return this.slots * Math.exp((this.updatedAt - now) / TIME_CONSTANT_MS);
  }

  /** Returns the average as a whole number, which changes with hysteresis. */
  computeWhole(now: number): number {
    const slots = this.compute(now);
    if (Math.abs(slots - this.wholeSlots) >= CHANGE_DISTANCE) {
      this.wholeSlots = Math.round(slots);
    }
    return this.wholeSlots;
  }
}
