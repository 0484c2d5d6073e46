/**
 * Token bucket. It starts empty, so that a process or a worker that starts
 * again and again spends no more than its rate either.
 */

const SECOND_MS = 1000;

/** A budget of events per second with a bounded burst. */
export class TokenBucket {
  private tokens = 0;
  private filledAt: number;

  constructor(now: number) {
    this.filledAt = now;
  }

  /** Takes one token; false when no more than the reserve is left. */
  take(
    ratePerSecond: number,
    burst: number,
    now: number,
    reserve = 0,
  ): boolean {
    const gained = ((now - this.filledAt) * ratePerSecond) / SECOND_MS;
    this.tokens = Math.min(burst, this.tokens + gained);
    this.filledAt = now;
    if (this.tokens < 1 + reserve) return false;
    this.tokens -= 1;
    return true;
  }
}
