/**
 * Watches how late a node's own timers are. A node that has more to do than
 * its processor manages answers late and looks like a lost connection from
 * outside; only it can tell the difference.
 */

/** Pause between two looks. */
const LOOK_INTERVAL_MS = 250;
/** Lateness from which a node counts as behind. */
const BEHIND_MS = 50;

/** What the watch tells. */
export interface LoopWatchOptions {
  /** Takes the lateness of each look in milliseconds. */
  readonly record: (lateMs: number) => void;
  /** Told when the node falls behind and when it has caught up. */
  readonly handleChange: (isBehind: boolean, lateMs: number) => void;
  readonly now?: () => number;
}

/** Watch over the event loop of this process. */
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
