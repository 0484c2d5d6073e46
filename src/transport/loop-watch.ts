/**
 * Measures the event loop delay of this process by the lateness of its timers.
 * A node without enough CPU time answers late, which other nodes can't tell
 * from a lost connection; only the node itself can.
 */

/** Interval between two checks. */
const CHECK_INTERVAL_MS = 250;
/** Lateness from which the node counts as behind. */
const BEHIND_THRESHOLD_MS = 50;

/** Callbacks and clock of a LoopWatch. */
export interface LoopWatchOptions {
  /** Called with the lateness of each check, in milliseconds. */
  readonly record: (lateMs: number) => void;
  /**
   * Called when the node falls behind and when it has caught up, with the
   * greatest lateness since it fell behind, in milliseconds.
   */
  readonly handleChange: (isBehind: boolean, lateMs: number) => void;
  readonly now?: () => number;
}

/** Watches the event loop of this process. */
export class LoopWatch {
  private readonly now: () => number;
  private timer: NodeJS.Timeout | undefined;
  private dueAt = 0;
  private maxLateMs = 0;
  private isBehind = false;

  constructor(private readonly options: LoopWatchOptions) {
    this.now = options.now ?? (() => performance.now());
  }

  start(): void {
    this.dueAt = this.now() + CHECK_INTERVAL_MS;
    this.timer = setTimeout(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private check(): void {
    const lateMs = Math.max(0, this.now() - this.dueAt);
    const {record, handleChange} = this.options;
    record(lateMs);
    const isBehind = lateMs >= BEHIND_THRESHOLD_MS;
    this.maxLateMs = Math.max(this.maxLateMs, lateMs);
    if (isBehind !== this.isBehind) handleChange(isBehind, this.maxLateMs);
    if (!isBehind) this.maxLateMs = 0;
    this.isBehind = isBehind;
    this.start();
  }
}
