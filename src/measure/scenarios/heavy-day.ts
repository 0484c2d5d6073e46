/**
 * Scenario of emulated heavy days at growing load: the fraction of the worth
 * that is served in time, and the outcome of the other requests. No deployment
 * is started.
 */
import type {
  EmulatedKind,
  HeavyDay,
  KindOutcome,
} from '../emulator/emulated-day.js';
import {runHeavyDay} from '../emulator/heavy-day.js';
import type {Scenario} from './scenario.js';

/** Fleet sizes that users run. */
export const Fleet = {
  SMALL: 'small',
  GROWN: 'grown',
} as const;

export type Fleet = (typeof Fleet)[keyof typeof Fleet];

interface FleetSize {
  readonly workers: number;
  readonly nodes: number;
  readonly slots: number;
}

const FLEET_SIZES: Readonly<Record<Fleet, FleetSize>> = {
  small: {workers: 8, nodes: 8, slots: 6},
  grown: {workers: 48, nodes: 60, slots: 4},
};
const SERVICE = 'service';
/** One-way delay between nodes, the processing of a message included. */
const NETWORK_MS = 8;
/** Number of slots for which the rates in KINDS are a load of 1. */
const REFERENCE_SLOTS = 48;
/**
 * Request rates as multiples of the rate that fills the slots below the knee.
 */
const LOADS = [0.6, 1, 1.3, 1.7];
/** Fraction of the worth that users aim to serve in time on heavy days. */
const TARGET_WORTH_FRACTION = 0.52;
const TARGET_LOAD = 1.3;

const KINDS: readonly EmulatedKind[] = [
  {
    name: 'lookup',
    service: SERVICE,
    perSecond: 55,
    workMs: 300,
    targetMs: 600,
    deadlineMs: 1500,
    rank: 2,
    worth: 1,
  },
  {
    name: 'booking',
    service: SERVICE,
    perSecond: 27,
    workMs: 290,
    targetMs: 800,
    deadlineMs: 2000,
    rank: 1,
    worth: 2,
  },
];

/** Creates the day of the scenario at a load. */
export function createHeavyDay(
  seed: string,
  seconds: number,
  load: number,
  fleet: Fleet,
): HeavyDay {
  const {workers, nodes, slots} = FLEET_SIZES[fleet];
  const factor = (load * workers * slots) / REFERENCE_SLOTS;
  const kinds = KINDS.map(kind => ({
    ...kind,
    perSecond: kind.perSecond * factor,
  }));
  const services = [{name: SERVICE, workers, slots}];
  const costs = {networkMs: NETWORK_MS, handlingMs: 0};
  return {seed, seconds, services, nodes, kinds, ...costs};
}

/** Services of the nested day; requests of the first call the second. */
const FRONT = 'front';
const BACK = 'back';

const NESTED_KINDS: readonly EmulatedKind[] = [
  {
    name: 'lookup',
    service: FRONT,
    perSecond: 430,
    workMs: 115,
    targetMs: 535,
    deadlineMs: 1290,
    rank: 2,
    worth: 1,
    calls: {kind: 'check', times: 2, fraction: 0.7},
  },
  {
    name: 'order',
    service: FRONT,
    perSecond: 180,
    workMs: 150,
    targetMs: 435,
    deadlineMs: 1630,
    rank: 1,
    worth: 2,
  },
  {
    name: 'upload',
    service: BACK,
    perSecond: 52,
    workMs: 135,
    targetMs: 890,
    deadlineMs: 1675,
    rank: 1,
    worth: 2,
  },
  {
    name: 'check',
    service: BACK,
    perSecond: 0,
    workMs: 29,
    targetMs: 150,
    deadlineMs: 505,
    rank: 1,
    worth: 0,
  },
];

/**
 * Creates a day of a grown fleet in which lookups of one service call another,
 * smaller service. The processors of the small hosts take some milliseconds for
 * each message.
 */
export function createNestedDay(
  seed: string,
  seconds: number,
  load: number,
): HeavyDay {
  const kinds = NESTED_KINDS.map(kind => ({
    ...kind,
    perSecond: kind.perSecond * load,
  }));
  return {
    seed,
    seconds,
    services: [
      {name: FRONT, workers: 50, slots: 4},
      {name: BACK, workers: 11, slots: 4},
    ],
    nodes: 61,
    kinds,
    networkMs: 1,
    handlingMs: 2.5,
  };
}

/** Emulates days at several loads and reports the worth served in time. */
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
        variants[name] = {worth, asks, ...formatFractions(byKind)};
      }
    }
    const targetWorths = Object.values(Fleet).map(
      fleet => worths[`${fleet} fleet, load ${TARGET_LOAD}`]!,
    );
    return {
      variants,
      summary: worths,
      target: `worth in time at load ${TARGET_LOAD} at least ${TARGET_WORTH_FRACTION}`,
      isTargetMet: targetWorths.every(worth => worth >= TARGET_WORTH_FRACTION),
    };
  },
};

function formatFractions(
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
