/**
 * Bounds the time for which a node can miss changes in the platform's store. A
 * long poll reports a change at once, but on a connection that has gone silent
 * it reports nothing until its time limit, and all nodes may be affected at the
 * same time. So the store is also read on a new connection whenever its last
 * answer is too old. Beacons carry the age of the last answer, and a node waits
 * longer the more nodes precede it, so that usually one node reads for all and
 * the cost does not grow with the cluster.
 */

/** Age of the store's last answer at which the first node reads the store. */
const MAX_AGE_MS = 700;
/** Added per preceding node; beacons spread an answer in less time. */
const AGE_STEP_MS = 400;
/** Keeps the age below 3 s even if all preceding nodes fail to read. */
const MAX_STEPS = 5;

/** Age of the last answer of the store, as known to one node. */
export class StoreFreshness {
  private answeredAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private precedingCount = 0;

  /** @param check reads the store on a new connection; it records answers. */
  constructor(private readonly check: () => Promise<void>) {}

  /** Age in milliseconds; infinite if there has been no answer. */
  get ageMs(): number {
    return performance.now() - this.answeredAt;
  }

  /** Records an answer that this node or another got some time ago. */
  recordAnswer(ageMs = 0): void {
    this.answeredAt = Math.max(this.answeredAt, performance.now() - ageMs);
  }

  /** Sets the number of live nodes that read the store before this one. */
  setPrecedingCount(count: number): void {
    this.precedingCount = count;
  }

  start(): void {
    this.schedule(this.computeMaxAge());
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    this.timer = setTimeout(() => void this.checkAge(), delayMs);
  }

  private async checkAge(): Promise<void> {
    const remainingMs = this.computeMaxAge() - this.ageMs;
    if (remainingMs > 0) {
      this.schedule(remainingMs);
      return;
    }
    await this.check();
    // Also limits the reads of a store that does not answer.
    this.schedule(this.computeMaxAge());
  }

  private computeMaxAge(): number {
    const steps = Math.min(this.precedingCount, MAX_STEPS);
    return MAX_AGE_MS + steps * AGE_STEP_MS;
  }
}
