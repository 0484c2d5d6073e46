/**
 * Chooses a worker for one attempt. Each balancing policy has a handler in a
 * table; all but `adaptive` are baselines for measurements.
 */
import type {BalancingPolicy} from '../protocol/configuration.js';
import {WorkerState} from '../protocol/worker-load.js';
import type {WorkerRow} from '../state/worker-table.js';

/** Inputs of a choice other than the workers. */
export interface ChoiceContext {
  /** Data centre of the choosing node. */
  readonly dataCentre: string;
  /** Cost of a worker in another data centre, in milliseconds. */
  readonly farCostMs: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Number of choices for this service at this node so far. */
  readonly turn: number;
  /** Time on the clock of `performance.now()`. */
  readonly now: number;
}

type ChooseHandler = (
  workers: readonly WorkerRow[],
  context: ChoiceContext,
) => WorkerRow;

/** Candidates compared from the local and from all data centres. */
const NEAR_CANDIDATES = 2;
const ANY_CANDIDATES = 2;
/** Age at which the in-flight count of other entries has decayed to 1/e. */
const LOAD_FADING_MS = 500;
/**
 * Age at which a worker's excess service time and its failures have decayed to
 * 1/e. The decay makes a slow worker be tried again from time to time, since
 * only answers bring new load figures.
 */
const SERVICE_TIME_FADING_MS = 5000;
/** Service time assumed for a worker that has not answered yet. */
const UNKNOWN_SERVICE_TIME_MS = 1;
/** Relative cost that a failure share of 1 adds to an attempt. */
const FAILURE_WEIGHT = 20;
/** Relative cost added for a worker that its gate reports as failing. */
const FAILING_FACTOR = 50;
const US_PER_MS = 1000;
/** Random fraction added to costs, so that nearly equal ones rank randomly. */
const EQUAL_SHARE = 0.1;
/** Candidates that the paced policy compares for one attempt. */
const PACED_CANDIDATES = 3;
/** Workers above this multiple of the lowest cost are not considered. */
const MOST_COST_RATIO = 10;
/** Pace (slowdown factor) assumed for a host without recent figures. */
const UNKNOWN_PACE = 1.5;
/**
 * Age at which a reported pace has decayed to 1/e; slow periods of a host last
 * some 100 ms.
 */
const PACE_FADING_MS = 400;
/** Service time to which the cost of a far data centre is related. */
const COMPARED_SERVICE_MS = 100;
/** Relative cost added for a worker that is filled to its limit. */
const CROWDING_WEIGHT = 0.5;
/** Approximate slowdown factor of a cold worker. */
const COLD_FACTOR = 2.5;
/**
 * Cost factor of a suspect node, high enough that its workers are chosen only
 * when no other is left.
 */
const SUSPECT_FACTOR = 100;

const CHOOSE_HANDLERS: Readonly<Record<BalancingPolicy, ChooseHandler>> = {
  adaptive: chooseAdaptive,
  random: chooseRandom,
  'round-robin': chooseInTurn,
  'least-in-flight': chooseLeastInFlight,
  paced: choosePaced,
};

/** Chooses a worker by the given policy; undefined when there is none. */
export function chooseWorker(
  policy: BalancingPolicy,
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow | undefined {
  if (workers.length === 0) return undefined;
  return CHOOSE_HANDLERS[policy](workers, context);
}

/** Computes a relative cost, based on the expected time in milliseconds. */
export function computeExpectedTimeMs(
  row: WorkerRow,
  context: ChoiceContext,
): number {
  const farMs = row.dataCentre === context.dataCentre ? 0 : context.farCostMs;
  const {observed} = row;
  if (!observed) {
    const share = (row.inFlightHere + 1) / Math.max(1, row.slots);
    return UNKNOWN_SERVICE_TIME_MS * (1 + share) + farMs;
  }
  const ageMs = context.now - observed.at;
  const {figures} = observed;
  const fading = Math.exp(-ageMs / SERVICE_TIME_FADING_MS);
  const serviceTimeMs =
    UNKNOWN_SERVICE_TIME_MS + (figures.serviceTimeUs / US_PER_MS) * fading;
  const load = computeInFlight(row, ageMs);
  const limit = Math.max(1, figures.limit);
  // Up to its limit a worker serves requests in parallel; others queue.
  const queueing = Math.max(1, (load + 1) / limit);
  const crowding = 1 + load / limit;
  const failing =
    (1 + FAILURE_WEIGHT * figures.failureShare * fading) *
    (figures.state === WorkerState.FAILING ? 1 + FAILING_FACTOR * fading : 1);
  return serviceTimeMs * queueing * crowding * failing + farMs;
}

/**
 * Estimates the requests in flight: this entry's own count plus the last
 * reported count of other entries, decayed with its age.
 */
function computeInFlight(row: WorkerRow, ageMs: number): number {
  const {observed} = row;
  if (!observed) return row.inFlightHere;
  const {inFlight, queued} = observed.figures;
  const others = Math.max(0, inFlight + queued - observed.inFlightHere);
  return row.inFlightHere + others * Math.exp(-ageMs / LOAD_FADING_MS);
}

function chooseRandom(
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow {
  return workers[Math.floor(context.random() * workers.length)]!;
}

function chooseInTurn(
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow {
  return workers[context.turn % workers.length]!;
}

function chooseLeastInFlight(
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow {
  const start = Math.floor(context.random() * workers.length);
  let best = workers[start]!;
  for (let step = 1; step < workers.length; step++) {
    const row = workers[(start + step) % workers.length]!;
    if (row.inFlightHere < best.inFlightHere) best = row;
  }
  return best;
}

/**
 * Chooses the best of a few random candidates. Entries that see the same stale
 * figures and all choose the best worker would send everything to one worker.
 */
function chooseAdaptive(
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow {
  const near = workers.filter(row => row.dataCentre === context.dataCentre);
  const candidates = [
    ...pickDistinct(near, NEAR_CANDIDATES, context.random),
    ...pickDistinct(workers, ANY_CANDIDATES, context.random),
  ];
  let best = candidates[0]!;
  let bestTimeMs = computeExpectedTimeMs(best, context);
  for (const row of candidates.slice(1)) {
    const timeMs = computeExpectedTimeMs(row, context);
    if (timeMs >= bestTimeMs) continue;
    best = row;
    bestTimeMs = timeMs;
  }
  return best;
}

/**
 * Chooses the lowest expected time at the last reported pace, among a few
 * random candidates. Many entries see the same figures; if each chose the best
 * worker of all, their next requests would all reach one gate while others have
 * free capacity.
 */
function choosePaced(
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow {
  const costed = workers.map(row => ({
    row,
    cost: computePacedCost(row, context) * (1 + EQUAL_SHARE * context.random()),
  }));
  const least = Math.min(...costed.map(({cost}) => cost));
  const fit = costed.filter(({cost}) => cost <= MOST_COST_RATIO * least);
  const candidates = pickDistinct(fit, PACED_CANDIDATES, context.random);
  let best = candidates[0]!;
  for (const other of candidates) if (other.cost < best.cost) best = other;
  return best.row;
}

/** Computes a relative cost, in multiples of the usual service time. */
export function computePacedCost(
  row: WorkerRow,
  context: ChoiceContext,
): number {
  const farCost =
    row.dataCentre === context.dataCentre
      ? 0
      : context.farCostMs / COMPARED_SERVICE_MS;
  const suspicion = row.isSuspect ? SUSPECT_FACTOR : 1;
  const {observed} = row;
  if (!observed) {
    const cold = row.state === WorkerState.COLD ? COLD_FACTOR : 1;
    const crowding = row.inFlightHere / Math.max(1, row.slots);
    return (UNKNOWN_PACE * cold * (1 + crowding) + farCost) * suspicion;
  }
  const {figures, at} = observed;
  const ageMs = context.now - at;
  const fading = Math.exp(-ageMs / PACE_FADING_MS);
  const pace = UNKNOWN_PACE + (figures.pace - UNKNOWN_PACE) * fading;
  const limit = Math.max(1, figures.limit);
  const load = computeInFlight(row, ageMs);
  const waiting = Math.max(0, load + 1 - limit) / limit;
  const crowding = CROWDING_WEIGHT * Math.min(1, load / limit);
  const blame = Math.exp(-ageMs / SERVICE_TIME_FADING_MS);
  const failing =
    (1 + FAILURE_WEIGHT * figures.failureShare * blame) *
    (figures.state === WorkerState.FAILING ? 1 + FAILING_FACTOR * blame : 1);
  const cold = figures.state === WorkerState.COLD ? COLD_FACTOR : 1;
  const timeCost = pace * cold * (1 + waiting + crowding) * failing;
  return (timeCost + farCost) * suspicion;
}

/** Picks up to `count` distinct rows with equal probability. */
function pickDistinct<Row>(
  rows: readonly Row[],
  count: number,
  random: () => number,
): Row[] {
  if (rows.length <= count) return [...rows];
  const picked = new Set<Row>();
  while (picked.size < count) {
    picked.add(rows[Math.floor(random() * rows.length)]!);
  }
  return [...picked];
}
