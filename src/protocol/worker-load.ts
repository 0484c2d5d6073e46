/**
 * Load figures of one worker. They travel in a header of every answer and
 * refusal of a gate, because the gate alone knows them exactly and a separate
 * report would be older and would cost messages.
 */

/** What a worker says or shows of its ability to take work. */
export const WorkerState = {
  /** Started lately or again: bears only a little. */
  COLD: 'cold',
  READY: 'ready',
  /** Leaving: takes no new work. */
  DRAINING: 'draining',
  /** Does not answer or fails fast. */
  FAILING: 'failing',
} as const;

export type WorkerState = (typeof WorkerState)[keyof typeof WorkerState];

/** Load figures of one worker at one moment. */
export interface WorkerLoad {
  readonly state: WorkerState;
  readonly inFlight: number;
  readonly queued: number;
  /** Concurrent requests that the gate lets through now. */
  readonly limit: number;
  /** Moving average of the service time in microseconds; 0 when unknown. */
  readonly serviceTimeUs: number;
  /** Failures among recent answers, from 0 to 1. */
  readonly failureShare: number;
}

const STATES = new Set<string>(Object.values(WorkerState));

/** Formats load figures for a header. */
export function formatWorkerLoad(load: WorkerLoad): string {
  return [
    load.state,
    load.inFlight,
    load.queued,
    load.limit,
    Math.round(load.serviceTimeUs),
    load.failureShare.toFixed(3),
  ].join(' ');
}

/** Reads load figures from a header; undefined when malformed. */
export function parseWorkerLoad(
  text: string | undefined,
): WorkerLoad | undefined {
  const parts = text?.split(' ') ?? [];
  const [state, ...numbers] = parts;
  if (state === undefined || !STATES.has(state)) return undefined;
  const values = numbers.map(Number);
  if (values.length !== 5 || values.some(value => !(value >= 0))) {
    return undefined;
  }
  const [inFlight, queued, limit, serviceTimeUs, failureShare] = values as [
    number,
    number,
    number,
    number,
    number,
  ];
  return {
    state: state as WorkerState,
    inFlight,
    queued,
    limit,
    serviceTimeUs,
    failureShare,
  };
}
