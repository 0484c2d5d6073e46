/**
 * Bounds what is sent to a worker that is cold, or that may have become cold
 * unnoticed. A worker turns cold at any moment and says so only on its health
 * path, so more than a cold worker bears is sent only on a recent proof that
 * it is warm.
 */

const WINDOW_MS = 1000;
/** Age up to which a health answer proves that a worker is warm. */
const PROOF_MS = 350;

/** Rate bound of one worker. */
export class ColdRate {
  private readonly sentAt: number[] = [];
  private coldUntil = Infinity;
  private provenAt = -Infinity;

  /** @param ratePerSecond what a cold worker bears; no bound without. */
  constructor(private ratePerSecond: number | undefined) {}

  /** Takes over a changed rate. */
  update(ratePerSecond: number | undefined): void {
    this.ratePerSecond = ratePerSecond;
  }

  /** Whether the worker is known to be cold, or not yet known to be warm. */
  isCold(now: number): boolean {
    return this.ratePerSecond !== undefined && now < this.coldUntil;
  }

  /** Whether more may be sent only after a new proof of warmth. */
  isUnproven(now: number): boolean {
    return this.computeProofAge(now) > PROOF_MS;
  }

  /** Milliseconds since the worker last spoke of its warmth. */
  computeProofAge(now: number): number {
    return now - this.provenAt;
  }

  /** Requests sent in the last second. */
  countSent(now: number): number {
    while (this.sentAt.length > 0 && this.sentAt[0]! <= now - WINDOW_MS) {
      this.sentAt.shift();
    }
    return this.sentAt.length;
  }

  /** Whether one more may be sent now. */
  has(now: number): boolean {
    if (this.ratePerSecond === undefined) return true;
    if (!this.isCold(now) && !this.isUnproven(now)) return true;
    return this.countSent(now) < this.countBorne();
  }

  /** Milliseconds until one more may be sent, if the worker stays cold. */
  computeWait(now: number): number {
    const sent = this.countSent(now);
    const borne = this.countBorne();
    return sent < borne ? 0 : this.sentAt[sent - borne]! + WINDOW_MS - now;
  }

  /** Notes a request that is sent. */
  add(now: number): void {
    this.sentAt.push(now);
  }

  /** Notes what the worker said: for how long it stays cold, 0 when warm. */
  recordProof(coldMs: number, now: number): void {
    this.coldUntil = now + coldMs;
    this.provenAt = now;
  }

  /** Takes the worker for cold until it proves to be warm. */
  reset(): void {
    this.coldUntil = Infinity;
    this.provenAt = -Infinity;
  }

  private countBorne(): number {
    return Math.max(1, Math.ceil(this.ratePerSecond ?? 1));
  }
}
