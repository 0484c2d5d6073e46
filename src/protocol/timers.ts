/**
 * Timers as a part that can be handed in, so that an emulator can let hours of
 * waiting pass in a moment.
 */

/** Names a timer that was set. */
export type TimerId = number | NodeJS.Timeout;

/** Sets and clears timers. */
export interface Timers {
  /** Calls back after some milliseconds. */
  set(handler: () => void, delayMs: number): TimerId;
  clear(timer: TimerId): void;
}

/** The timers of the process. */
export const SYSTEM_TIMERS: Timers = {
  set: (handler, delayMs) => setTimeout(handler, delayMs),
  clear: timer => clearTimeout(timer),
};
