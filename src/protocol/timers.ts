/**
 * Timers as an injectable dependency, so that an emulator can run them on a
 * simulated clock.
 */

/** Identifies a timer that was set. */
export type TimerId = number | NodeJS.Timeout;

/** Sets and clears timers. */
export interface Timers {
  /** Calls the handler after a delay in milliseconds. */
  set(handler: () => void, delayMs: number): TimerId;
  clear(timer: TimerId): void;
}

/** The timers of the process. */
export const SYSTEM_TIMERS: Timers = {
  set: (handler, delayMs) => setTimeout(handler, delayMs),
  clear: timer => clearTimeout(timer),
};
