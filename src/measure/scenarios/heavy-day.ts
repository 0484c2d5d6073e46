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

/** Fleets of the two sizes that users run. */
export const Fleet = {
  SMALL: 'small',
  GROWN: 'grown',
} as const;

export type Fleet = (typeof Fleet)[keyof typeof Fleet];

type FleetSize = Pick<HeavyDay, 'workers' | 'entries' | 'slots'>;

const FLEET_SIZES: Readonly<Record<Fleet, FleetSize>> = {
  small: {workers: 8, entries: 8, slots: 6},
  grown: {workers: 48, entries: 60, slots: 4},
};
/** Slots for which the rates of the kinds below are load 1. */
const LOAD_SLOTS = 48;
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
  fleet: Fleet,
): HeavyDay {
  const size = FLEET_SIZES[fleet];
  const factor = (load * size.workers * size.slots) / LOAD_SLOTS;
  const kinds = KINDS.map(kind => ({
    ...kind,
    perSecond: kind.perSecond * factor,
  }));
  return {seed, seconds, ...size, kinds};
}

/** Who is served in time when more comes than fits. */
export const heavyDayScenario: Scenario = {
  description: 'worth served in time under emulated overload',
  run: async ({seed, seconds}) => {
    const variants: Record<string, object> = {};
    const worths: Record<string, number> = {};
    for (const fleet of Object.values(Fleet)) {
      for (const load of LOADS) {
        const day = createHeavyDay(seed, seconds, load, fleet);
        const {worth, asks, byKind} = await runHeavyDay(day);
        const name = `${fleet} fleet, load ${load}`;
        worths[name] = worth;
        variants[name] = {worth, asks, ...formatShares(byKind)};
      }
    }
    const aimed = Object.values(Fleet).map(
      fleet => worths[`${fleet} fleet, load ${AIMED_LOAD}`]!,
    );
    return {
      variants,
      summary: worths,
      target: `worth in time at load ${AIMED_LOAD} at least ${WORTH_AIM}`,
      isTargetMet: aimed.every(worth => worth >= WORTH_AIM),
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
