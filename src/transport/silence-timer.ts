/**
 * Tells when a peer has been silent for too long. A pause of this process
 * itself must not count: what the peer sent meanwhile is still unread, so a
 * timer that comes late waits once more for a short time.
 */

/** Lateness of a timer that shows a pause of this process. */
const PAUSE_MS = 20;
/** Time to read what came in during a pause. */
const GRACE_MS = 20;

/** Watches one exchange for silence; calls back at most once. */
export class SilenceTimer {
  private timer: NodeJS.Timeout | undefined;
  private dueAt = 0;
  private isOver = false;

  constructor(
    private readonly limitMs: number,
    private readonly handleSilence: () => void,
  ) {}

  /** Starts to wait, or starts anew after a sign of life. */
  start(): void {
    if (!this.isOver) this.wait(this.limitMs);
  }

  /** Ends the watch. */
  stop(): void {
    this.isOver = true;
    clearTimeout(this.timer);
  }

  private wait(ms: number): void {
    clearTimeout(this.timer);
    this.dueAt = performance.now() + ms;
    this.timer = setTimeout(() => this.check(), ms);
  }

  private check(): void {
    if (performance.now() - this.dueAt > PAUSE_MS) {
      this.wait(GRACE_MS);
      return;
    }
    this.stop();
    this.handleSilence();
  }
}
