/**
 * Measures the event loop delay of this process by the lateness of its timers.
 * A node without enough CPU time answers late, which other nodes can't tell
 * from a lost connection; only the node itself can.
 */

/** Interval between two checks. */
const LOOK_INTERVAL_MS = 250;
/** Lateness from which the node counts as behind. */
const BEHIND_MS = 50;

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
  private mostLateMs = 0;
  private isBehind = false;

  constructor(private readonly options: LoopWatchOptions) {
    this.now = options.now ?? (() => performance.now());
  }

  start(): void {
    this.dueAt = this.now() + LOOK_INTERVAL_MS;
    this.timer = setTimeout(() => this.check(), LOOK_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private check(): void {
    const lateMs = Math.max(0, this.now() - this.dueAt);
    const {record, handleChange} = this.options;
    record(lateMs);
    const isBehind = lateMs >= BEHIND_MS;
    this.mostLateMs = Math.max(this.mostLateMs, lateMs);
    if (isBehind !== this.isBehind) handleChange(isBehind, this.mostLateMs);
    if (!isBehind) this.mostLateMs = 0;
    this.isBehind = isBehind;
    this.start();
  }
}
