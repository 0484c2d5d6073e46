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

/** Average number of slots that a stream of requests uses. */
export class SlotDemand {
  private slots = 0;
  private updatedAt = -Infinity;

  /** Time of the latest arrival; `-Infinity` before the first. */
  lastArrivalAt = -Infinity;

  /** Records an arrival with its expected service time. */
  record(serviceMs: number, now: number): void {
    this.slots = this.compute(now) + serviceMs / TIME_CONSTANT_MS;
    this.updatedAt = now;
    this.lastArrivalAt = now;
  }

  /** Returns the average number of slots in use. */
  compute(now: number): number {
    if (this.slots === 0) return 0;
    return this.slots * Math.exp((this.updatedAt - now) / TIME_CONSTANT_MS);
  }
}
