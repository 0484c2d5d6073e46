/**
 * What a node takes during a planned stop, and what it knows of each request
 * that it has taken. What the stop would cut off is refused while it is true
 * that it has not run. A refused request is sent elsewhere; a refused call of a
 * running request fails that request, so calls are judged by how long those of
 * their route have taken, and all others by their deadline, which is certain.
 */
import type {NestedCalls} from './coordination/nested-calls.js';
import type {NodeStop} from './node-stop.js';
import {Reason, RefusalError, toRefusal} from './protocol/reasons.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from './protocol/service-request.js';
import {Verdict} from './protocol/verdict.js';
import {RouteTimes} from './state/route-times.js';
import type {ReceivedAttempt} from './transport/peer-listener.js';

/** Ratio of the time that a call is given to the longest of its route. */
const CALL_TIME_MARGIN = 1.5;

/** The end of a stop, as requests are judged by it. */
export type StopEnd = Pick<
  NodeStop,
  'isStopping' | 'isRefusingAttempts' | 'hasTimeFor' | 'endsAt' | 'workTime'
>;

/** Why a request was taken. */
export const TakenBy = {
  /** It came before the stop. */
  EARLIER: 'before the stop',
  /** Its deadline lies before the end of the stop. */
  DEADLINE: 'deadline',
  /** It is a call, and calls of its route have been short enough. */
  CALL_TIME: 'call time',
} as const;

type TakenBy = (typeof TakenBy)[keyof typeof TakenBy];

/** What identifies a request that runs here, and who sent it. */
interface Sender {
  readonly sender: 'caller' | 'node';
  readonly requestId: string;
  /** Of an attempt of another node. */
  readonly attemptId?: string;
  readonly entryNode?: string;
}

interface TakenRequest extends Sender {
  readonly takenBy: TakenBy;
  /** Time on the clock of `performance.now()`. */
  readonly takenAt: number;
}

/** A request that runs, for a log line; times in milliseconds. */
export interface RunningRequest extends Sender {
  readonly takenBy: TakenBy;
  /** Time since it was taken. */
  readonly ageMs: number;
  /** What was left of the stop then, or all of its time before it began. */
  readonly leftWhenTakenMs: number;
}

/** An attempt of another node, as far as a stop judges it. */
export type JudgedAttempt = Pick<
  ReceivedAttempt,
  'id' | 'entryNodeId' | 'request'
>;

/** Takes requests of callers and attempts of other nodes. */
export class StopAdmission {
  private readonly taken = new Set<TakenRequest>();
  private readonly times = new RouteTimes();

  constructor(
    private readonly stop: StopEnd,
    private readonly nestedCalls: Pick<NestedCalls, 'isNested'>,
  ) {}

  /**
   * Runs a request of a caller. One that is taken for what its route usually
   * takes gets the end of the stop for its deadline, so that no gate lets it
   * wait for longer.
   *
   * @throws RefusalError with reason `node-stopping`, or what `run` throws.
   */
  async runRequest(
    request: ServiceRequest,
    run: (request: ServiceRequest) => Promise<ServiceAnswer>,
  ): Promise<ServiceAnswer> {
    const takenBy = this.checkRequest(request);
    const taken =
      takenBy === TakenBy.CALL_TIME
        ? {...request, deadline: this.stop.endsAt}
        : request;
    const {id: requestId} = request;
    const end = this.addTaken({sender: 'caller', requestId, takenBy});
    const startedAt = performance.now();
    const record = (): void =>
      this.times.record(request.route, performance.now() - startedAt);
    try {
      const answer = await run(taken);
      const finish = (): void => {
        end();
        record();
      };
      const {rest} = answer.body;
      if (rest) rest.once('close', finish);
      else finish();
      return answer;
    } catch (error) {
      end();
      if (toRefusal(error).verdict !== Verdict.NOT_RUN) record();
      throw error;
    }
  }

  /**
   * Runs an attempt of another node.
   *
   * @param isOnlyHere whether no other node can run it before this one has
   *     handed over its keys.
   * @throws RefusalError with reason `node-stopping`, or what `run` throws.
   */
  async runAttempt<T extends ServiceAnswer>(
    {id: attemptId, entryNodeId: entryNode, request}: JudgedAttempt,
    run: () => Promise<T>,
    isOnlyHere = false,
  ): Promise<T> {
    const {stop} = this;
    const isRefused = stop.isRefusingAttempts && !isOnlyHere;
    if (isRefused || !stop.hasTimeFor(request.deadline)) {
      throw new RefusalError(Reason.NODE_STOPPING);
    }
    const takenBy = stop.isStopping ? TakenBy.DEADLINE : TakenBy.EARLIER;
    const end = this.addTaken({
      sender: 'node',
      requestId: request.id,
      attemptId,
      entryNode,
      takenBy,
    });
    try {
      const answer = await run();
      const {rest} = answer.body;
      if (rest) rest.once('close', end);
      else end();
      return answer;
    } catch (error) {
      end();
      throw error;
    }
  }

  /** Lists the requests that run, for the log of a stop that cuts them off. */
  listRunning(): RunningRequest[] {
    const {endsAt, workTime} = this.stop;
    const now = performance.now();
    return [...this.taken].map(({takenAt, ...taken}) => ({
      ...taken,
      ageMs: Math.round(now - takenAt),
      leftWhenTakenMs: Math.round(Math.min(workTime, endsAt - takenAt)),
    }));
  }

  /** Returns by what a request is taken; throws if it is not. */
  private checkRequest(request: ServiceRequest): TakenBy {
    const {stop} = this;
    if (!stop.isStopping) return TakenBy.EARLIER;
    if (stop.hasTimeFor(request.deadline)) return TakenBy.DEADLINE;
    const {route, awaitedUntil} = request;
    const isNested =
      awaitedUntil !== undefined &&
      this.nestedCalls.isNested(route, awaitedUntil);
    if (!isNested) throw new RefusalError(Reason.NODE_STOPPING);
    const longestMs = this.times.findLongest(route);
    const leftMs = Math.max(0, Math.round(stop.endsAt - performance.now()));
    if (longestMs !== undefined && longestMs * CALL_TIME_MARGIN <= leftMs)
      return TakenBy.CALL_TIME;
    // A worker sends all its calls to this host.
    throw new RefusalError(
      Reason.NODE_STOPPING,
      Verdict.NOT_RUN,
      `calls take ${Math.round(longestMs ?? -1)} ms, ${leftMs} ms are left`,
      leftMs,
    );
  }

  private addTaken(request: Omit<TakenRequest, 'takenAt'>): () => void {
    const taken = {...request, takenAt: performance.now()};
    this.taken.add(taken);
    return () => void this.taken.delete(taken);
  }
}
