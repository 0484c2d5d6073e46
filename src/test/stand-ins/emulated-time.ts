/**
 * Time of tests that emulate many nodes in one process. Timers are faked:
 * hundreds of nodes on a busy machine would run late and suspect each other.
 */
import {vi} from 'vitest';

const STEP_MS = 20;

/** Fakes the timers that nodes use; undone by `vi.useRealTimers()`. */
export function startEmulatedTime(): void {
  vi.useFakeTimers({
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
      'performance',
    ],
  });
}

/** Advances the time; messages arrive at the time at which they are sent. */
export async function runFor(durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
    await new Promise(resolve => setImmediate(resolve));
    await new Promise(resolve => setImmediate(resolve));
  }
}
