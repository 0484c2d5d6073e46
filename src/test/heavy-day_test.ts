/**
 * Emulated heavy days: more requests than can be served in time, while hosts
 * become slow one after another. A request that waits in vain at one gate takes
 * time and slots from others, so it has to try another gate or be refused while
 * it can still be answered in time.
 */
import {describe, expect, it} from 'vitest';
import {runHeavyDay} from '../measure/emulator/heavy-day.js';
import {
  createHeavyDay,
  createNestedDay,
  Fleet,
} from '../measure/scenarios/heavy-day.js';

const SECONDS = 30;
/** Fraction of the worth that users aim to serve in time in a grown fleet. */
const MIN_WORTH_FRACTION = 0.52;
/** Largest fraction of failed runs, which take slots from other requests. */
const MAX_FAILED_FRACTION = 0.05;
/** Margin by which a kind of lower priority may do better by chance. */
const RANK_TOLERANCE = 0.05;

/** Users' target and minimum where requests call a second service. */
const MIN_NESTED_WORTH_FRACTION = 0.38;
const MIN_KIND_WORTH_FRACTION = 0.23;
/** Value of a late answer relative to an answer in time. */
const LATE_WORTH_FACTOR = 0.1;
/** Largest fraction of runs that fail because a call that they made failed. */
const MAX_LOST_RUN_FRACTION = 0.05;
const NESTED_SECONDS = 8;
const NESTED_CASES = [0.7, 1].flatMap(load =>
  ['1', '2'].map(seed => ({load, seed})),
);

/** Load 1 fills the slots below the knee, slow periods of hosts included. */
const CASES = [0.6, 1, 1.3].flatMap(load =>
  Object.values(Fleet).flatMap(fleet =>
    ['1', '2', '3'].map(seed => ({load, fleet, seed})),
  ),
);

describe('a heavy day', () => {
  it.each(CASES)(
    'at load $load, $fleet fleet, seed $seed',
    async ({load, fleet, seed}) => {
      const day = createHeavyDay(seed, SECONDS, load, fleet);
      const {worth, byKind} = await runHeavyDay(day);
      expect(worth).toBeGreaterThan(MIN_WORTH_FRACTION);
      for (const {failed, all} of Object.values(byKind)) {
        expect(failed / all).toBeLessThan(MAX_FAILED_FRACTION);
      }
      const [lookups, bookings] = [byKind['lookup']!, byKind['booking']!];
      expect(bookings.inTime / bookings.all).toBeGreaterThan(
        lookups.inTime / lookups.all - RANK_TOLERANCE,
      );
    },
  );

  // Guards against runs that fail with their nested calls, and against entries
  // that all choose the same gates.
  it.each(NESTED_CASES)(
    'whose requests call a second service, at load $load, seed $seed',
    async ({load, seed}) => {
      const day = createNestedDay(seed, NESTED_SECONDS, load);
      const {worth, byKind} = await runHeavyDay(day);
      expect(worth).toBeGreaterThan(MIN_NESTED_WORTH_FRACTION);
      for (const kind of day.kinds.filter(({perSecond}) => perSecond > 0)) {
        const {inTime, late, lostRuns, all} = byKind[kind.name]!;
        const earned = (inTime + LATE_WORTH_FACTOR * late) / all;
        expect(earned).toBeGreaterThan(MIN_KIND_WORTH_FRACTION);
        expect(lostRuns / all).toBeLessThan(MAX_LOST_RUN_FRACTION);
      }
    },
  );

  it('has the same outcome in each run', async () => {
    const day = createHeavyDay('7', 5, 1, Fleet.GROWN);
    expect(await runHeavyDay(day)).toEqual(await runHeavyDay(day));
  });
});
