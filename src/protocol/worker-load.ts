/**
 * Load of a worker. It is sent in a header of every answer and refusal of a
 * gate, because only the gate knows it exactly, and a separate report would be
 * older and would cost additional messages.
 */

/** Ability of a worker to accept requests, as announced or observed. */
export const WorkerState = {
  /** Started or restarted recently; gets few requests. */
  COLD: 'cold',
  READY: 'ready',
  /** Leaving; gets no new requests. */
  DRAINING: 'draining',
  /** Does not answer, or fails quickly. */
  FAILING: 'failing',
} as const;

export type WorkerState = (typeof WorkerState)[keyof typeof WorkerState];

/** Load of a worker at one moment. */
export interface WorkerLoad {
  readonly state: WorkerState;
  readonly inFlight: number;
  readonly queued: number;
  /** Current concurrency limit of the gate. */
  readonly limit: number;
  /** Moving average of the service time in microseconds; 0 if unknown. */
  readonly serviceTimeUs: number;
  /** Fraction of failures among recent answers, from 0 to 1. */
  readonly failureShare: number;
  /** Slowdown factor of the host: duration of work relative to normal. */
  readonly pace: number;
}

/** Load report that an upstream adds to its answers. */
export interface UpstreamLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** As in WorkerLoad. */
  readonly pace: number;
}

/** Answer of an upstream's health path. */
export interface ProbeAnswer {
  readonly status: number;
  /** Process that answered, if the answer names it. */
  readonly instanceId?: string;
  /** Milliseconds for which the upstream announces to stay cold. */
  readonly coldMs?: number;
}

const WORKER_STATES = new Set<string>(Object.values(WorkerState));

/** Formats the load of a worker as a header value. */
export function formatWorkerLoad(load: WorkerLoad): string {
  return [
    load.state,
    load.inFlight,
    load.queued,
    load.limit,
    Math.round(load.serviceTimeUs),
    load.failureShare.toFixed(3),
    load.pace.toFixed(2),
  ].join(' ');
}

/** Parses the load of a worker from a header value; undefined if malformed. */
export function parseWorkerLoad(
  text: string | undefined,
): WorkerLoad | undefined {
  const parts = text?.split(' ') ?? [];
  const [state, ...numbers] = parts;
  if (state === undefined || !WORKER_STATES.has(state)) return undefined;
  const values = numbers.map(Number);
  if (values.length !== 6 || values.some(value => !(value >= 0))) {
    return undefined;
  }
  const [inFlight, queued, limit, serviceTimeUs, failureShare, pace] =
    values as [number, number, number, number, number, number];
  return {
    state: state as WorkerState,
    inFlight,
    queued,
    limit,
    serviceTimeUs,
    failureShare,
    pace,
  };
}
