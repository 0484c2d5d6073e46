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
  /** How long work takes on the host now against its usual time; 1 is usual. */
  readonly pace: number;
}

/** Figures that an upstream itself adds to its answers. */
export interface UpstreamFigures {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** As in WorkerLoad. */
  readonly pace: number;
}

/** What a health path told of an upstream. */
export interface ProbeAnswer {
  readonly status: number;
  /** Process that answered, when it says so. */
  readonly instanceId?: string;
  /** Milliseconds for which the upstream says that it stays cold. */
  readonly coldMs?: number;
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
    load.pace.toFixed(2),
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
