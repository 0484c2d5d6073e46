/**
 * What a load run sends, as data: streams of calls, each with its caller, its
 * kind and its rate. The schedule is computed before the run from the seed
 * alone, so that two runs with one seed send the same calls at the same times
 * whatever the answers are.
 */
import seedrandom from 'seedrandom';

const SECOND_MS = 1000;

/** Kinds of calls that the stand-ins answer. */
export type CallKind = 'lookup' | 'booking' | 'upload';

/** Where calls go: an address and what stands before the path. */
export interface Target {
  readonly address: string;
  /** Service segment such as `/kona-desk`; empty for an upstream itself. */
  readonly prefix: string;
}

/** Calls of one caller and one kind. */
export interface CallStream {
  /** Names the stream in reports; streams of one name share a histogram. */
  readonly name: string;
  readonly caller: string;
  readonly kind: CallKind;
  readonly ratePerSecond: number;
  readonly targets: readonly Target[];
  /** Path of a lookup; the call's number follows. */
  readonly path?: string;
  /** Size of an upload. */
  readonly uploadBytes?: number;
  /** Share of bookings that are sent a second time with the same key. */
  readonly resendShare?: number;
}

/** One load run. */
export interface LoadPlan {
  readonly seed: string;
  readonly durationMs: number;
  /** Calls before this time are checked but not in the latencies. */
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
 * Computes all calls of a run in order of time. Times between calls are
 * exponential, as of many independent callers.
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
  const meanGapMs = SECOND_MS / stream.ratePerSecond;
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
    if (random() >= (stream.resendShare ?? 0)) continue;
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
