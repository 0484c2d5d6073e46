/**
 * Token bucket. It starts empty, so that a process or worker that restarts
 * repeatedly doesn't exceed its rate.
 */

const MS_PER_SECOND = 1000;

/** Limits events to a rate per second with a bounded burst. */
export class TokenBucket {
  private tokens = 0;
  private filledAt: number;

  constructor(now: number) {
    this.filledAt = now;
  }

  /**
   * Takes one token. Returns false, and takes none, if that would leave fewer
   * tokens than the reserve.
   */
  take(
    ratePerSecond: number,
    burst: number,
    now: number,
    reserve = 0,
  ): boolean {
    const gained = ((now - this.filledAt) * ratePerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(burst, this.tokens + gained);
    this.filledAt = now;
    if (this.tokens < 1 + reserve) return false;
    this.tokens -= 1;
    return true;
  }
}
