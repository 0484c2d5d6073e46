/**
 * Figures that a worker reports about its host, and whether they are so old
 * that a probe is due.
 */

/**
 * Age after which reported load is stale while requests are sent, and the
 * shortest time between probes then.
 */
const MAX_FIGURES_AGE_MS = 200;
/** Time after a probe until the next one while no requests are sent. */
const IDLE_PROBE_INTERVAL_MS = 1000;
/** Time after a request for which the worker counts as active. */
const ACTIVITY_WINDOW_MS = 1000;

/** Reported figures of one worker's host. */
export class HostFigures {
  /** Slowdown factor of the host. */
  pace = 1;
  private reportedAt = -Infinity;
  private lastSentAt = -Infinity;

  /** Records a reported slowdown factor. */
  record(pace: number, now: number): void {
    this.pace = pace;
    this.reportedAt = now;
  }

  /** Records that a request is sent to the worker. */
  recordSent(now: number): void {
    this.lastSentAt = now;
  }

  /** Returns whether a probe is due to refresh the figures. */
  isProbeDue(
    now: number,
    lastProbeAt: number,
    isRunning: boolean,
    isRateLimited: () => boolean,
  ): boolean {
    const isActive = isRunning || now - this.lastSentAt < ACTIVITY_WINDOW_MS;
    if (!isActive) return now - lastProbeAt > IDLE_PROBE_INTERVAL_MS;
    if (now - lastProbeAt < MAX_FIGURES_AGE_MS) return false;
    return isRateLimited() || now - this.reportedAt > MAX_FIGURES_AGE_MS;
  }
}
