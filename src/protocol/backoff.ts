/**
 * Bounded exponential backoff with jitter, so that nodes that lost the log at
 * the same time do not reconnect to it at the same time.
 */

const GROWTH_FACTOR = 2;

/** Delays between the attempts of one operation. */
export class Backoff {
  private delayMs: number;

  constructor(
    private readonly minDelayMs: number,
    private readonly maxDelayMs: number,
    private readonly random: () => number,
  ) {
    this.delayMs = minDelayMs;
  }

  /**
   * Resolves after the next delay, drawn between half of the current delay and
   * the whole.
   */
  async wait(signal?: AbortSignal): Promise<void> {
    const delayMs = this.delayMs * (0.5 + this.random() / 2);
    this.delayMs = Math.min(this.maxDelayMs, this.delayMs * GROWTH_FACTOR);
    await waitMs(delayMs, signal);
  }

  /** Resets the delay to its minimum, after a success. */
  reset(): void {
    this.delayMs = this.minDelayMs;
  }
}

/** Resolves after some milliseconds, or at once when the signal is aborted. */
export function waitMs(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener('abort', finish, {once: true});
  });
}
