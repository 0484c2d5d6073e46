/**
 * Choice of a worker for one attempt. The policies stand in a table of
 * handlers; all but `adaptive` are baselines for measurements.
 */
import type {BalancingPolicy} from '../protocol/configuration.js';
import type {WorkerRow} from '../state/worker-table.js';

/** What a choice depends on beside the workers. */
export interface ChoiceContext {
  /** Data centre of the choosing node. */
  readonly dataCentre: string;
  /** Random number in [0, 1). */
  readonly random: () => number;
  /** Counts the choices of this service at this node. */
  readonly turn: number;
}

type ChooseHandler = (
  workers: readonly WorkerRow[],
  context: ChoiceContext,
) => WorkerRow;

const CHOOSE_HANDLERS: Readonly<Record<BalancingPolicy, ChooseHandler>> = {
  adaptive: chooseAdaptive,
  random: chooseRandom,
  'round-robin': chooseInTurn,
  'least-in-flight': chooseLeastInFlight,
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

function chooseLeastInFlight(workers: readonly WorkerRow[]): WorkerRow {
  return workers.reduce((best, row) =>
    row.inFlightHere < best.inFlightHere ? row : best,
  );
}

function chooseAdaptive(
  workers: readonly WorkerRow[],
  context: ChoiceContext,
): WorkerRow {
  const first = chooseRandom(workers, context);
  const second = chooseRandom(workers, context);
  return second.inFlightHere < first.inFlightHere ? second : first;
}
