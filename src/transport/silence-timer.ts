/**
 * Detects a peer that has been silent for too long. A pause of this process
 * must not count as silence, since data that arrived meanwhile is still unread.
 * A timer that fires late therefore waits once more for a short time.
 */

/** Lateness of a timer above which this process is taken to have paused. */
const PAUSE_THRESHOLD_MS = 20;
/** Time to read data that arrived during a pause. */
const READ_GRACE_MS = 20;

/** Watches one exchange for silence; calls the handler at most once. */
export class SilenceTimer {
  private timer: NodeJS.Timeout | undefined;
  private dueAt = 0;
  private hasEnded = false;

  constructor(
    private readonly timeoutMs: number,
    private readonly handleSilence: () => void,
  ) {}

  /** Starts the timer, or restarts it after data from the peer. */
  start(): void {
    if (!this.hasEnded) this.wait(this.timeoutMs);
  }

  /** Stops the timer for good. */
  stop(): void {
    this.hasEnded = true;
    clearTimeout(this.timer);
  }

  private wait(ms: number): void {
    clearTimeout(this.timer);
    this.dueAt = performance.now() + ms;
    this.timer = setTimeout(() => this.check(), ms);
  }

  private check(): void {
    if (performance.now() - this.dueAt > PAUSE_THRESHOLD_MS) {
      this.wait(READ_GRACE_MS);
      return;
    }
    this.stop();
    this.handleSilence();
  }
}
