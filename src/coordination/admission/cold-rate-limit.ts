/**
 * Limits the request rate to a worker that is cold, or that may have become
 * cold unnoticed. A worker can turn cold at any moment and reports it only on
 * its health path, so the cold rate is exceeded only while a recent health
 * answer says that the worker is warm.
 */

const WINDOW_MS = 1000;
/** Age up to which a health answer counts as current. */
const MAX_HEALTH_AGE_MS = 350;

/** Rate limit of one worker while it is cold. */
export class ColdRateLimit {
  private readonly sentAt: number[] = [];
  private coldUntil = Infinity;
  private healthAnsweredAt = -Infinity;

  /**
   * @param ratePerSecond requests per second allowed while the worker is cold;
   *     undefined for no limit.
   */
  constructor(private ratePerSecond: number | undefined) {}

  /** Applies a changed rate. */
  update(ratePerSecond: number | undefined): void {
    this.ratePerSecond = ratePerSecond;
  }

  /** Returns whether the worker is cold, or not yet known to be warm. */
  isCold(now: number): boolean {
    return this.ratePerSecond !== undefined && now < this.coldUntil;
  }

  /** Returns whether the last health answer is too old to count. */
  hasStaleHealth(now: number): boolean {
    return this.computeHealthAge(now) > MAX_HEALTH_AGE_MS;
  }

  /** Returns the age of the last health answer in milliseconds. */
  computeHealthAge(now: number): number {
    return now - this.healthAnsweredAt;
  }

  /** Returns the number of requests sent in the last second. */
  countSent(now: number): number {
    while (this.sentAt.length > 0 && this.sentAt[0]! <= now - WINDOW_MS) {
      this.sentAt.shift();
    }
    return this.sentAt.length;
  }

  /** Returns whether one more request may be sent now. */
  admit(now: number): boolean {
    if (this.ratePerSecond === undefined) return true;
    if (!this.isCold(now) && !this.hasStaleHealth(now)) return true;
    return this.countSent(now) < this.computeAllowed();
  }

  /**
   * Returns the milliseconds until one more request may be sent if the worker
   * stays cold.
   */
  computeWait(now: number): number {
    const sent = this.countSent(now);
    const allowed = this.computeAllowed();
    return sent < allowed ? 0 : this.sentAt[sent - allowed]! + WINDOW_MS - now;
  }

  /** Records a sent request. */
  recordSent(now: number): void {
    this.sentAt.push(now);
  }

  /**
   * Records a health answer.
   *
   * @param coldMs milliseconds for which the worker stays cold; 0 when warm.
   */
  recordHealth(coldMs: number, now: number): void {
    this.coldUntil = now + coldMs;
    this.healthAnsweredAt = now;
  }

  /** Treats the worker as cold until a health answer says it is warm. */
  reset(): void {
    this.coldUntil = Infinity;
    this.healthAnsweredAt = -Infinity;
  }

  private computeAllowed(): number {
    return Math.max(1, Math.ceil(this.ratePerSecond ?? 1));
  }
}
