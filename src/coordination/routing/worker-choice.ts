/**
 * Chooses a worker for one attempt. Each balancing policy has a handler in a
 * table; all but `adaptive` are baselines for measurements.
 */
import type {BalancingPolicy} from '../../protocol/configuration.js';
import {WorkerState} from '../../protocol/worker-load.js';
import type {WorkerRow} from '../../state/worker-table.js';
import type {DataCentreSpill, SpillRequest} from './data-centre-spill.js';

/** Inputs of a choice other than the workers. */
export interface ChoiceContext {
  /** Data centre of the choosing node. */
  readonly dataCentre: string;
  /** Cost of a worker in another data centre, in milliseconds. */
  readonly farCostMs: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Number of choices for this service at this node so far. */
  readonly choiceCount: number;
  /** Time on the clock of `performance.now()`. */
  readonly now: number;
  /**
   * The share of the service's requests that leave the data centre, and what it
   * is applied to; absent when all data centres are chosen alike.
   */
  readonly spill?: {
    readonly share: DataCentreSpill;
    readonly request: SpillRequest;
  };
}

type ChooseHandler = (
  workers: readonly WorkerRow[],
  context: ChoiceContext,
) => WorkerRow;

/** Candidates compared from the local and from all data centres. */
const NEAR_CANDIDATES = 2;
const ANY_CANDIDATES = 2;
/** Age at which the in-flight count of other entries has decayed to 1/e. */
const LOAD_DECAY_MS = 500;
/**
 * Age at which a worker's excess service time and its failures have decayed to
 * 1/e. The decay makes a slow worker be tried again from time to time, since
 * only answers bring new load figures.
 */
const SERVICE_TIME_DECAY_MS = 5000;
/** Service time assumed for a worker that has not answered yet. */
const DEFAULT_SERVICE_TIME_MS = 1;
/** Relative cost that a failure share of 1 adds to an attempt. */
const FAILURE_SHARE_WEIGHT = 20;
/** Relative cost added for a worker that its gate reports as failing. */
const FAILING_COST_FACTOR = 50;
const US_PER_MS = 1000;
/** Random fraction added to costs, so that nearly equal ones rank randomly. */
const COST_JITTER_FRACTION = 0.1;
/** Candidates that the paced policy compares for one attempt. */
export const PACED_CANDIDATES = 3;
/** Workers above this multiple of the lowest cost are not considered. */
export const MAX_COST_FACTOR = 10;
/** Pace (slowdown factor) assumed for a host without recent figures. */
const DEFAULT_PACE = 1.5;
/**
 * Age at which a reported pace has decayed to 1/e; slow periods of a host last
 * some 100 ms.
 */
const PACE_DECAY_MS = 400;
/** Service time to which the cost of a far data centre is related. */
export const REFERENCE_SERVICE_TIME_MS = 100;
/** Relative cost added for a worker that is filled to its limit. */
const LOAD_WEIGHT = 0.5;
/** Approximate slowdown factor of a cold worker. */
const COLD_COST_FACTOR = 2.5;
/**
 * Cost factor of a suspect node, high enough that its workers are chosen only
 * when no other is left.
 */
const SUSPECT_COST_FACTOR = 100;

const CHOOSE_HANDLERS: Readonly<Record<BalancingPolicy, ChooseHandler>> = {
  adaptive: chooseAdaptive,
  random: chooseRandom,
  'round-robin': chooseRoundRobin,
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
    const utilization = (row.inFlightHere + 1) / Math.max(1, row.slots);
    return DEFAULT_SERVICE_TIME_MS * (1 + utilization) + farMs;
  }
  const ageMs = context.now - observed.at;
  const {figures} = observed;
  const decay = Math.exp(-ageMs / SERVICE_TIME_DECAY_MS);
  const serviceTimeMs =
    DEFAULT_SERVICE_TIME_MS + (figures.serviceTimeUs / US_PER_MS) * decay;
  const load = computeInFlight(row, ageMs);
  const limit = Math.max(1, figures.limit);
  // Up to its limit a worker serves requests in parallel; others queue.
  const queueing = Math.max(1, (load + 1) / limit);
  const loadCost = 1 + load / limit;
  const failureFactor =
    (1 + FAILURE_SHARE_WEIGHT * figures.failureShare * decay) *
    (figures.state === WorkerState.FAILING
      ? 1 + FAILING_COST_FACTOR * decay
      : 1);
  return serviceTimeMs * queueing * loadCost * failureFactor + farMs;
}

/**
 * Estimates the requests in flight: this entry's own count plus the last
 * reported count of other entries, decayed with its age.
 */
export function computeInFlight(row: WorkerRow, ageMs: number): number {
  const {observed} = row;
  if (!observed) return row.inFlightHere;
  const {inFlight, queued} = observed.figures;
  const others = Math.max(0, inFlight + queued - observed.inFlightHere);
  return row.inFlightHere + others * Math.exp(-ageMs / LOAD_DECAY_MS);
}

function chooseRandom(
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow {
  return workers[Math.floor(context.random() * workers.length)]!;
}

function chooseRoundRobin(
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow {
  return workers[context.choiceCount % workers.length]!;
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
  const {spill} = context;
  const side = spill
    ? spill.share.selectSide(workers, spill.request, context)
    : workers;
  const costed = side.map(row => ({
    row,
    cost:
      computePacedCost(row, context) *
      (1 + COST_JITTER_FRACTION * context.random()),
  }));
  const lowestCost = Math.min(...costed.map(({cost}) => cost));
  const eligible = costed.filter(({cost}) => isComparable(cost, lowestCost));
  const candidates = pickDistinct(eligible, PACED_CANDIDATES, context.random);
  let best = candidates[0]!;
  for (const other of candidates) if (other.cost < best.cost) best = other;
  return best.row;
}

/** Whether a worker is considered beside one of the lowest cost. */
export function isComparable(cost: number, lowestCost: number): boolean {
  return cost <= MAX_COST_FACTOR * lowestCost;
}

/**
 * Computes a relative cost, in multiples of the usual service time.
 *
 * @param unknownPace Pace toward which a reported one decays.
 */
export function computePacedCost(
  row: WorkerRow,
  context: ChoiceContext,
  unknownPace = DEFAULT_PACE,
): number {
  const farCost =
    row.dataCentre === context.dataCentre
      ? 0
      : context.farCostMs / REFERENCE_SERVICE_TIME_MS;
  const suspectFactor = row.isSuspect ? SUSPECT_COST_FACTOR : 1;
  const {observed} = row;
  if (!observed) {
    const cold = row.state === WorkerState.COLD ? COLD_COST_FACTOR : 1;
    const loadCost = row.inFlightHere / Math.max(1, row.slots);
    return (unknownPace * cold * (1 + loadCost) + farCost) * suspectFactor;
  }
  const {figures, at} = observed;
  const ageMs = context.now - at;
  const decay = Math.exp(-ageMs / PACE_DECAY_MS);
  const pace = unknownPace + (figures.pace - unknownPace) * decay;
  const limit = Math.max(1, figures.limit);
  const load = computeInFlight(row, ageMs);
  const queueingCost = Math.max(0, load + 1 - limit) / limit;
  const loadCost = LOAD_WEIGHT * Math.min(1, load / limit);
  const failureDecay = Math.exp(-ageMs / SERVICE_TIME_DECAY_MS);
  const failureFactor =
    (1 + FAILURE_SHARE_WEIGHT * figures.failureShare * failureDecay) *
    (figures.state === WorkerState.FAILING
      ? 1 + FAILING_COST_FACTOR * failureDecay
      : 1);
  const cold = figures.state === WorkerState.COLD ? COLD_COST_FACTOR : 1;
  const timeCost = pace * cold * (1 + queueingCost + loadCost) * failureFactor;
  return (timeCost + farCost) * suspectFactor;
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
