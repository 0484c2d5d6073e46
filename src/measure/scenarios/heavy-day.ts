/**
 * Emulated heavy days at growing load: how much of the worth is served in
 * time, and what becomes of the rest. Nothing runs but the emulation.
 */
import type {
  EmulatedKind,
  HeavyDay,
  KindOutcome,
} from '../emulator/heavy-day.js';
import {runHeavyDay} from '../emulator/heavy-day.js';
import type {Scenario} from './scenario.js';

const WORKERS = 8;
const SLOTS = 6;
/** Requests as a multiple of what fills the workers below their knee. */
const LOADS = [0.6, 1, 1.3, 1.7];
/** What the users aim at on heavy days. */
const WORTH_AIM = 0.52;
const AIMED_LOAD = 1.3;

const KINDS: readonly EmulatedKind[] = [
  {
    name: 'lookup',
    perSecond: 55,
    workMs: 300,
    targetMs: 600,
    deadlineMs: 1500,
    rank: 2,
    worth: 1,
  },
  {
    name: 'booking',
    perSecond: 27,
    workMs: 290,
    targetMs: 800,
    deadlineMs: 2000,
    rank: 1,
    worth: 2,
  },
];

/** The day of the scenario at some load. */
export function createHeavyDay(
  seed: string,
  seconds: number,
  load: number,
): HeavyDay {
  const kinds = KINDS.map(kind => ({
    ...kind,
    perSecond: kind.perSecond * load,
  }));
  return {seed, seconds, workers: WORKERS, slots: SLOTS, kinds};
}

/** Who is served in time when more comes than fits. */
export const heavyDayScenario: Scenario = {
  description: 'worth served in time under emulated overload',
  run: async ({seed, seconds}) => {
    const variants: Record<string, object> = {};
    const worths = new Map<number, number>();
    for (const load of LOADS) {
      const day = createHeavyDay(seed, seconds, load);
      const {worth, byKind} = await runHeavyDay(day);
      worths.set(load, worth);
      variants[`load ${load}`] = {worth, ...formatShares(byKind)};
    }
    return {
      variants,
      summary: Object.fromEntries(worths),
      target: `worth in time at load ${AIMED_LOAD} at least ${WORTH_AIM}`,
      isTargetMet: worths.get(AIMED_LOAD)! >= WORTH_AIM,
    };
  },
};

function formatShares(
  byKind: Readonly<Record<string, KindOutcome>>,
): Record<string, object> {
  return Object.fromEntries(
    Object.entries(byKind).map(([name, {all, ...counts}]) => [
      name,
      Object.fromEntries(
        Object.entries(counts).map(([end, count]) => [end, count / all]),
      ),
    ]),
  );
}
