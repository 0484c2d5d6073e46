/**
 * Choice of a worker for one attempt. The policies stand in a table of
 * handlers; all but `adaptive` are baselines for measurements.
 */
import type {BalancingPolicy} from '../protocol/configuration.js';
import {WorkerState} from '../protocol/worker-load.js';
import type {WorkerRow} from '../state/worker-table.js';

/** What a choice depends on beside the workers. */
export interface ChoiceContext {
  /** Data centre of the choosing node. */
  readonly dataCentre: string;
  /** Cost of leaving the data centre, in milliseconds. */
  readonly farCostMs: number;
  /** Random number in [0, 1). */
  readonly random: () => number;
  /** Counts the choices of this service at this node. */
  readonly turn: number;
  /** Time on the clock of `performance.now()`. */
  readonly now: number;
}

type ChooseHandler = (
  workers: readonly WorkerRow[],
  context: ChoiceContext,
) => WorkerRow;

/** Candidates that are compared from the near and from all data centres. */
const NEAR_CANDIDATES = 2;
const ANY_CANDIDATES = 2;
/** Age at which what others had in flight counts for 1/e of its figure. */
const LOAD_FADING_MS = 500;
/**
 * Age at which a slow worker's service time has faded to 1/e of its excess.
 * It must be tried again now and then, since only answers bring new figures.
 */
const SERVICE_TIME_FADING_MS = 5000;
/** Service time assumed of a worker that has not answered yet. */
const UNKNOWN_SERVICE_TIME_MS = 1;
/** Weight of a share of failures against the time of an attempt. */
const FAILURE_WEIGHT = 20;
/** Factor for a worker that its gate reports as failing. */
const FAILING_FACTOR = 50;
const US_PER_MS = 1000;
/** Costs that differ by less than this share count as equal. */
const EQUAL_SHARE = 0.1;
/** Workers that are compared for one attempt. */
const PACED_CANDIDATES = 3;
/** Workers that cost this many times the best are taken without another. */
const MOST_COST_RATIO = 10;
/** Pace assumed of a host of which nothing recent is known. */
const UNKNOWN_PACE = 1.5;
/** Age at which a told pace has faded to 1/e; spells last some 100 ms. */
const PACE_FADING_MS = 400;
/** Service time against which the cost of a far data centre is set. */
const COMPARED_SERVICE_MS = 100;
/** Part of a service time that a worker filled to its limit adds. */
const CROWDING_WEIGHT = 0.5;
/** A cold worker takes about this many times as long. */
const COLD_FACTOR = 2.5;
/** A node whose silence is looked into is taken only without another. */
const SUSPECT_FACTOR = 100;

const CHOOSE_HANDLERS: Readonly<Record<BalancingPolicy, ChooseHandler>> = {
  adaptive: chooseAdaptive,
  random: chooseRandom,
  'round-robin': chooseInTurn,
  'least-in-flight': chooseLeastInFlight,
  paced: choosePaced,
};

/** Chooses one of several workers; undefined when there is none. */
export function chooseWorker(
  policy: BalancingPolicy,
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow | undefined {
  if (workers.length === 0) return undefined;
  return CHOOSE_HANDLERS[policy](workers, context);
}

/** Expected time of an attempt at a worker in milliseconds, for comparison. */
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
  // Up to its limit a worker serves side by side; beyond it, work queues.
  const queueing = Math.max(1, (load + 1) / limit);
  const crowding = 1 + load / limit;
  const failing =
    (1 + FAILURE_WEIGHT * figures.failureShare * fading) *
    (figures.state === WorkerState.FAILING ? 1 + FAILING_FACTOR * fading : 1);
  return serviceTimeMs * queueing * crowding * failing + farMs;
}

/** In-flight work now: own count exactly, others' as last told and faded. */
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
 * A few random candidates instead of all, because entries that see the same
 * old figures and all take the best would send everything to one worker.
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
 * The shortest expected time at the pace last told, of a few random workers.
 * Many entries see the same figures; if each took the best of all, everybody's
 * next request would meet at one gate while others have room.
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

/** Expected time at a worker in usual service times; only for comparison. */
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

/** Up to `count` distinct rows, each as likely as any other. */
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
