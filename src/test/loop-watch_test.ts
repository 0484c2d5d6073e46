/**
 * The watch reports once that the event loop is behind, and once that it has
 * caught up.
 */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {LoopWatch} from '../transport/loop-watch.js';

const CHECK_INTERVAL_MS = 250;

const CASES = [
  {name: 'on time', lateness: [0, 10, 20], told: []},
  {name: 'behind, then on time', lateness: [80, 120, 5], told: [80, 120]},
  {name: 'behind twice', lateness: [60, 0, 70], told: [60, 60, 70]},
];

describe('loop watch', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it.each(CASES)('$name', ({lateness, told}) => {
    let now = 0;
    const changes: number[] = [];
    const recorded: number[] = [];
    const watch = new LoopWatch({
      now: () => now,
      record: lateMs => recorded.push(lateMs),
      handleChange: (isBehind, lateMs) => changes.push(lateMs),
    });
    watch.start();
    for (const lateMs of lateness) {
      now += CHECK_INTERVAL_MS + lateMs;
      vi.advanceTimersByTime(CHECK_INTERVAL_MS);
    }
    watch.stop();
    expect(recorded).toEqual(lateness);
    expect(changes).toEqual(told);
  });
});
