/**
 * The entry: takes a caller's request, has it run on some worker, and answers
 * for the outcome. What it promises is the verdict: a refusal says `not-run`
 * only when no attempt of the request may have run.
 */
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {SendAttempt} from '../protocol/attempt.js';
import type {Profile} from '../protocol/configuration.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from '../protocol/service-request.js';
import type {Explanations} from '../state/explanations.js';
import type {StateStore} from '../state/state-store.js';
import type {WorkerRow, WorkerTable} from '../state/worker-table.js';
import {Call} from './call.js';
import type {NestedCalls} from './nested-calls.js';
import {RetryBudget, TokenBudget} from './retry-budget.js';

/** Times of recent attempts, for the moment of a hedge. */
export interface AttemptTimes {
  record(durationMs: number): void;
  /** The quantile in milliseconds; undefined while samples are few. */
  compute(quantile: number): number | undefined;
}

/** What an entry works with. */
export interface EntryOptions {
  readonly dataCentre: string;
  readonly state: StateStore;
  readonly workers: WorkerTable;
  readonly explanations: Explanations;
  readonly sendAttempt: SendAttempt;
  readonly createAttemptTimes?: () => AttemptTimes;
  readonly random: () => number;
  /** Id for the next attempt, unique among all nodes. */
  readonly createAttemptId: () => string;
  /** Counts retries, hedges and other events by name. */
  readonly count: (name: string) => void;
  /** Tells calls of running requests, see NestedCalls. */
  readonly nestedCalls: NestedCalls;
  /** Whether requests of this fingerprint crash workers. */
  readonly isQuarantined: (fingerprint: string) => boolean;
  /** The workers of a service that one attempt may go to, by moves. */
  readonly selectWorkers: (
    service: string,
    rows: readonly WorkerRow[],
  ) => WorkerRow[];
}

/** What an entry keeps of one service. */
export interface ServiceFigures {
  readonly retries: RetryBudget;
  readonly hedges: TokenBudget;
  /** Absent where a node never hedges. */
  readonly attemptTimes: AttemptTimes | undefined;
  readonly inFlightByCaller: Map<string, number>;
  turn: number;
}

/** The entry of one node. */
export class Entry {
  private readonly figuresByService = new Map<string, ServiceFigures>();

  constructor(private readonly options: EntryOptions) {}

  /**
   * Has a request run on some worker of its service.
   *
   * @throws RefusalError with a true verdict.
   */
  async handleRequest(
    received: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const request = this.markNested(received);
    const profile = this.options.state.findProfile(request.service);
    if (!profile) throw new RefusalError(Reason.UNKNOWN_SERVICE);
    if (this.options.isQuarantined(request.fingerprint)) {
      throw new RefusalError(Reason.QUARANTINED);
    }
    const figures = this.findFigures(request.service, profile);
    startCall(figures, request, profile, this.computeBurst(profile));
    const abort = new AbortController();
    const handleGone = (): void => abort.abort(signal.reason);
    signal.addEventListener('abort', handleGone, {once: true});
    const timer = setTimeout(
      () => abort.abort(new RefusalError(Reason.DEADLINE_EXCEEDED)),
      Math.max(0, request.deadline - performance.now()),
    );
    const call = new Call(this.options, request, profile, figures, abort);
    const end = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', handleGone);
      endCall(figures, request);
    };
    try {
      const answer = await call.run();
      const {rest} = answer.body;
      // A body that does not end is cut at the deadline as well.
      if (rest) rest.once('close', end);
      else end();
      return answer;
    } catch (error) {
      end();
      throw error;
    }
  }

  private markNested(request: ServiceRequest): ServiceRequest {
    const {route, awaitedUntil} = request;
    if (awaitedUntil === undefined) return request;
    const isNested = this.options.nestedCalls.observe(route, awaitedUntil);
    if (!isNested) return request;
    this.options.count('requests.nested');
    return {...request, isNested};
  }

  /** Retries that this entry may save up. */
  private computeBurst({retries}: Profile): number {
    const nodes = this.options.workers.listNodes().length;
    const entries = retries.sharesBurst ? Math.max(1, nodes) : 1;
    return retries.budgetBurst / entries;
  }

  private findFigures(service: string, profile: Profile): ServiceFigures {
    let figures = this.figuresByService.get(service);
    if (!figures) {
      figures = {
        retries: new RetryBudget(this.computeBurst(profile)),
        hedges: new TokenBudget(),
        attemptTimes: this.options.createAttemptTimes?.(),
        inFlightByCaller: new Map(),
        turn: 0,
      };
      this.figuresByService.set(service, figures);
    }
    return figures;
  }
}

/** Counts the call and refuses a caller that has too many. */
function startCall(
  figures: ServiceFigures,
  request: ServiceRequest,
  profile: Profile,
  retryBurst: number,
): void {
  const inFlight = figures.inFlightByCaller.get(request.caller) ?? 0;
  if (inFlight >= profile.limits.callerConcurrency) {
    throw new RefusalError(Reason.CALLER_LIMIT);
  }
  figures.inFlightByCaller.set(request.caller, inFlight + 1);
  const {budgetPercent} = profile.retries;
  figures.retries.recordCall(request.caller, budgetPercent, retryBurst);
  if (request.idempotent) {
    figures.hedges.add(profile.hedging.budgetPercent / 100);
  }
}

function endCall(figures: ServiceFigures, request: ServiceRequest): void {
  const inFlight = figures.inFlightByCaller.get(request.caller) ?? 1;
  if (inFlight > 1) figures.inFlightByCaller.set(request.caller, inFlight - 1);
  else figures.inFlightByCaller.delete(request.caller);
}
