/**
 * Sends streams of requests to one worker on a virtual clock and records when
 * each starts. The worker runs each request for its stream's service time,
 * varied at random with a fixed seed, so that only admission decides who waits
 * and who is refused.
 */
import seedrandom from 'seedrandom';
import {SlotOutcome} from '../coordination/admission/concurrency-limit.js';
import {SlotAdmission} from '../coordination/admission/slot-admission.js';
import {VirtualClock} from '../measure/emulator/virtual-clock.js';
import {profileSchema} from '../protocol/configuration.js';
import type {RefusalError} from '../protocol/reasons.js';

/** A stream of requests at varied intervals and with varied service times. */
export interface Stream {
  readonly route: string;
  readonly everyMs: number;
  readonly serviceMs: number;
  readonly targetMs: number;
  readonly rank?: number;
  readonly isNested?: boolean;
  readonly fromMs?: number;
  readonly untilMs?: number;
}

/** A request that a stream has sent. */
export interface SentRequest {
  readonly route: string;
  readonly sentAt: number;
  /** Time from sending until the start of its run; undefined if refused. */
  waitMs?: number;
  isInTime?: boolean;
  refusal?: RefusalError;
  refusedAt?: number;
}

/** Setting of a run. */
export interface StreamsRun {
  readonly rules: {reservesForCalls?: boolean; queuesPatientWork?: boolean};
  readonly streams: readonly Stream[];
  readonly seconds: number;
  readonly slots?: number;
  /** Slowdown factors of the host by the time from which they hold. */
  readonly paces?: ReadonlyArray<{readonly fromMs: number; pace: number}>;
  readonly report?: (text: string) => void;
}

const SLOTS = 5;
const REPORT_INTERVAL_MS = 50;

/** Runs the streams and returns all requests in the order of sending. */
export async function runStreams(run: StreamsRun): Promise<SentRequest[]> {
  const {rules, streams, seconds, slots = SLOTS, paces = []} = run;
  const clock = new VirtualClock();
  const profile = profileSchema.parse({
    limits: {queueWait: '1500ms'},
    admission: rules,
  });
  const admission = new SlotAdmission(
    slots,
    profile.limits,
    () => clock.nowMs,
    clock.timers,
    {
      findRules: () => profile.admission,
      count: () => {},
      report: text => run.report?.(text),
    },
  );
  admission.update(slots, 'ready', profile.limits);
  admission.recordProbeAnswer({status: 200});
  const sent: SentRequest[] = [];
  const random = seedrandom('1');
  /** Returns a factor with mean 1, so that streams don't run in step. */
  const vary = (): number => 0.5 + random();
  const findPace = (): number =>
    paces.findLast(({fromMs}) => fromMs <= clock.nowMs)?.pace ?? 1;

  const send = async (stream: Stream): Promise<void> => {
    const {route, serviceMs, targetMs, rank = 1, isNested} = stream;
    const request: SentRequest = {route, sentAt: clock.nowMs};
    const targetAt = clock.nowMs + targetMs;
    const deadline = clock.nowMs + 3 * targetMs;
    sent.push(request);
    try {
      const slot = await admission.admit(
        {
          caller: 'c',
          route,
          rank,
          targetAt,
          deadline,
          ...(isNested ? {isNested} : {}),
        },
        new AbortController().signal,
      );
      request.waitMs = clock.nowMs - request.sentAt;
      clock.schedule(
        () => {
          request.isInTime = clock.nowMs <= targetAt;
          slot.release(SlotOutcome.SUCCESS);
        },
        serviceMs * vary() * findPace(),
      );
    } catch (error) {
      request.refusal = error as RefusalError;
      request.refusedAt = clock.nowMs;
    }
  };
  const endMs = seconds * 1000;
  for (const stream of streams) {
    const {everyMs, fromMs = 0, untilMs = endMs} = stream;
    for (let at = fromMs; at < untilMs; at += everyMs * vary()) {
      clock.schedule(() => void send(stream), at);
    }
  }
  for (let at = 0; at < endMs; at += REPORT_INTERVAL_MS) {
    clock.schedule(() => {
      const {inFlight, queued} = admission.load;
      const pace = findPace();
      admission.recordLoadReport({
        running: inFlight,
        waiting: queued,
        slots,
        pace,
      });
    }, at);
  }
  await clock.run(endMs + 10_000);
  return sent;
}

/** Returns the requests of a route that were sent within a time. */
export function listSent(
  sent: readonly SentRequest[],
  route: string,
  fromMs = 0,
  untilMs = Infinity,
): SentRequest[] {
  return sent.filter(
    request =>
      request.route === route &&
      request.sentAt >= fromMs &&
      request.sentAt < untilMs,
  );
}

/** Returns the fraction of the requests for which a condition holds. */
export function computeFraction(
  requests: readonly SentRequest[],
  has: (request: SentRequest) => boolean,
): number {
  return requests.filter(has).length / requests.length;
}
