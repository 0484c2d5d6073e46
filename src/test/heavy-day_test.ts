/**
 * Heavy days, emulated: more comes than can be served in time, and hosts turn
 * slow by turns. What a request waits for at a gate is lost for others, so it
 * goes on to another gate or is refused while it can still be in time.
 */
import {describe, expect, it} from 'vitest';
import {runHeavyDay} from '../measure/emulator/heavy-day.js';
import {
  createHeavyDay,
  createNestedDay,
  Fleet,
} from '../measure/scenarios/heavy-day.js';

const SECONDS = 30;
/** What the users aim at on their grown deployment. */
const WORTH_AIM = 0.52;
/** Runs that end in nothing take slots from others: at most 1 in 20. */
const MOST_FAILED = 0.05;
/** A less urgent kind may do better by chance only. */
const RANK_SLACK = 0.05;

/** The users' aim and floor where requests call a second service. */
const NESTED_WORTH_AIM = 0.38;
const KIND_FLOOR = 0.23;
/** Part of its worth that a late answer has. */
const LATE_WORTH = 0.1;
/** Runs that end badly for a call of theirs: at most 1 in 20. */
const MOST_LOST = 0.05;
const NESTED_SECONDS = 8;
const NESTED_CASES = [0.7, 1].flatMap(load =>
  ['1', '2'].map(seed => ({load, seed})),
);

/** Load 1 fills the slots below the knee with hosts that are slow at times. */
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
      expect(worth).toBeGreaterThan(WORTH_AIM);
      for (const {failed, all} of Object.values(byKind)) {
        expect(failed / all).toBeLessThan(MOST_FAILED);
      }
      const [lookups, bookings] = [byKind['lookup']!, byKind['booking']!];
      expect(bookings.inTime / bookings.all).toBeGreaterThan(
        lookups.inTime / lookups.all - RANK_SLACK,
      );
    },
  );

  // Guards against runs that are lost with the calls they wait for, and
  // against entries that all ask the same gates.
  it.each(NESTED_CASES)(
    'whose requests call a second service, at load $load, seed $seed',
    async ({load, seed}) => {
      const day = createNestedDay(seed, NESTED_SECONDS, load);
      const {worth, byKind} = await runHeavyDay(day);
      expect(worth).toBeGreaterThan(NESTED_WORTH_AIM);
      for (const kind of day.kinds.filter(({perSecond}) => perSecond > 0)) {
        const {inTime, late, lostRuns, all} = byKind[kind.name]!;
        const earned = (inTime + LATE_WORTH * late) / all;
        expect(earned).toBeGreaterThan(KIND_FLOOR);
        expect(lostRuns / all).toBeLessThan(MOST_LOST);
      }
    },
  );

  it('goes the same way each time', async () => {
    const day = createHeavyDay('7', 5, 1, Fleet.GROWN);
    expect(await runHeavyDay(day)).toEqual(await runHeavyDay(day));
  });
});
