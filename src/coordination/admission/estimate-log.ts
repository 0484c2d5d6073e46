/**
 * Logs changes of estimates, at most one line per second and kind. A change
 * within that second is logged with the next value that still differs.
 */

/** Writes a log line. */
export type ReportEstimate = (
  text: string,
  context: Readonly<Record<string, string | number>>,
) => void;

const MIN_INTERVAL_MS = 1000;

interface LoggedValue {
  readonly value: number;
  readonly at: number;
}

/** Log of the estimates at one worker. */
export class EstimateLog {
  private readonly logged = new Map<string, LoggedValue>();

  constructor(private readonly write: ReportEstimate) {}

  /**
   * Logs a value if it has changed since it was last logged.
   *
   * @param initial value that isn't logged before another one was.
   */
  report(
    kind: string,
    value: number,
    now: number,
    context: Readonly<Record<string, string | number>>,
    initial = 0,
  ): void {
    const last = this.logged.get(kind);
    if (value === (last?.value ?? initial)) return;
    if (last && now - last.at < MIN_INTERVAL_MS) return;
    this.logged.set(kind, {value, at: now});
    this.write(kind, {...context, value});
  }
}
