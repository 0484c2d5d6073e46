/**
 * The plan of a load run: streams of calls, each with a caller, a kind and a
 * rate. The schedule is computed from the plan before the run, so that two runs
 * of the same plan and seed send the same calls at the same times whatever the
 * answers are.
 */
import seedrandom from 'seedrandom';

const MS_PER_SECOND = 1000;

/** Kind of a call that the upstream stand-ins answer. */
export type CallKind = 'lookup' | 'booking' | 'upload';

/** Destination of calls. */
export interface Target {
  readonly address: string;
  /**
   * Service segment of the path such as `/kona-desk`; empty for an upstream.
   */
  readonly prefix: string;
}

/** A stream of calls of one caller and one kind. */
export interface CallStream {
  /** Name in reports; streams of the same name share a histogram. */
  readonly name: string;
  readonly caller: string;
  readonly kind: CallKind;
  readonly ratePerSecond: number;
  readonly targets: readonly Target[];
  /** Path of the calls, to which lookups and uploads append the call's id. */
  readonly path?: string;
  /** Size of an upload in bytes. */
  readonly uploadBytes?: number;
  /** Fraction of the calls that are sent again with the same key. */
  readonly resendFraction?: number;
}

/** One load run. */
export interface LoadPlan {
  readonly seed: string;
  readonly durationMs: number;
  /**
   * Time at the start whose calls are checked but left out of the latencies.
   */
  readonly warmUpMs?: number;
  readonly streams: readonly CallStream[];
}

/** One call of the schedule. */
export interface ScheduledCall {
  readonly atMs: number;
  readonly id: string;
  readonly stream: CallStream;
  readonly target: Target;
  /** Path below the target's prefix. */
  readonly path: string;
  /** Idempotency key of a booking. */
  readonly key?: string;
}

const DEFAULT_PATHS: Readonly<Record<CallKind, string>> = {
  lookup: '/tickets',
  booking: '/bookings',
  upload: '/photos',
};

/**
 * Builds all calls of a run in order of time. Intervals between the calls of a
 * stream are exponentially distributed, like those of many independent callers.
 */
export function buildSchedule(plan: LoadPlan): ScheduledCall[] {
  const calls = plan.streams.flatMap((stream, index) =>
    buildStreamSchedule(plan, stream, `${plan.seed}-${index}`),
  );
  return calls.sort((first, second) => first.atMs - second.atMs);
}

function buildStreamSchedule(
  plan: LoadPlan,
  stream: CallStream,
  streamSeed: string,
): ScheduledCall[] {
  const random = seedrandom(streamSeed);
  const calls: ScheduledCall[] = [];
  const meanGapMs = MS_PER_SECOND / stream.ratePerSecond;
  let atMs = 0;
  for (;;) {
    atMs -= Math.log(1 - random()) * meanGapMs;
    if (atMs >= plan.durationMs) return calls;
    const call = buildCall(
      stream,
      `${streamSeed}-${calls.length}`,
      atMs,
      random,
    );
    calls.push(call);
    if (random() >= (stream.resendFraction ?? 0)) continue;
    calls.push({...call, id: `${call.id}-again`, atMs: atMs + random() * 20});
  }
}

function buildCall(
  stream: CallStream,
  id: string,
  atMs: number,
  random: () => number,
): ScheduledCall {
  const target = stream.targets[Math.floor(random() * stream.targets.length)];
  if (!target) throw new Error(`stream ${stream.name} has no targets`);
  const base = stream.path ?? DEFAULT_PATHS[stream.kind];
  const isBooking = stream.kind === 'booking';
  return {
    atMs,
    id,
    stream,
    target,
    path: isBooking ? base : `${base}/${id}`,
    ...(isBooking ? {key: `key-${id}`} : {}),
  };
}
