/**
 * The entry accepts a caller's request, sends it to a worker's gate and returns
 * the answer. It guarantees the verdict: a refusal says `not-run` only when no
 * attempt of the request may have run.
 */
import {Reason, RefusalError, toRefusal} from '../protocol/reasons.js';
import type {SendAttempt} from '../protocol/attempt.js';
import type {Profile} from '../protocol/configuration.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from '../protocol/service-request.js';
import type {Explanations} from '../state/explanations.js';
import type {StateStore} from '../state/state-store.js';
import type {WorkerRow, WorkerTable} from '../state/worker-table.js';
import type {CallOutcome} from './admission/parent-admission.js';
import {Call} from './call.js';
import type {NestedCalls} from './nested-calls.js';
import {DataCentreSpill} from './routing/data-centre-spill.js';
import type {RouteExplanation} from './routing/route-explanation.js';
import {buildRouteExplanation} from './routing/route-explanation.js';
import {CapacityRefusals} from './refusals/capacity-refusals.js';
import {RetryBudget, TokenBudget} from './refusals/retry-budget.js';

/** Durations of recent attempts, from which the hedge delay is computed. */
export interface AttemptTimes {
  record(durationMs: number): void;
  /** Returns a quantile in milliseconds; undefined with too few samples. */
  compute(quantile: number): number | undefined;
}

const UNAVAILABLE = 503;

/** Options of an entry. */
export interface EntryOptions {
  readonly dataCentre: string;
  readonly state: StateStore;
  readonly workers: WorkerTable;
  readonly explanations: Explanations;
  readonly sendAttempt: SendAttempt;
  readonly createAttemptTimes?: () => AttemptTimes;
  readonly random: () => number;
  /** Creates an attempt id that is unique among all nodes. */
  readonly createAttemptId: () => string;
  /** Counts retries, hedges and other events by name. */
  readonly count: (name: string) => void;
  /** Writes a log line with its context. */
  readonly report?: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
  /** Detects calls made by running requests. */
  readonly nestedCalls: NestedCalls;
  /** Whether requests of this fingerprint crash workers. */
  readonly isQuarantined: (fingerprint: string) => boolean;
  /**
   * Selects the workers that an attempt may be sent to: those that the moves in
   * progress allow and, in a large fleet, those of the entry's subset. Moves
   * draw from `random`, if given, in place of their own generator.
   */
  readonly selectWorkers: (
    service: string,
    rows: readonly WorkerRow[],
    random?: () => number,
  ) => WorkerRow[];
  /**
   * Selects the workers that the moves allow, without the subset; by default
   * `selectWorkers` does that alone.
   */
  readonly selectVersion?: EntryOptions['selectWorkers'];
}

/** State that an entry keeps for one service. */
export interface EntryServiceState {
  readonly retries: RetryBudget;
  readonly hedges: TokenBudget;
  /** Undefined at a node that never hedges. */
  readonly attemptTimes: AttemptTimes | undefined;
  readonly inFlightByCaller: Map<string, number>;
  /** Share of requests that leave the data centre. */
  readonly spill: DataCentreSpill;
  readonly capacityRefusals: CapacityRefusals;
  /** Number of worker choices so far, used for round robin. */
  choiceCount: number;
}

/** The entry of one node. */
export class Entry {
  private readonly stateByService = new Map<string, EntryServiceState>();

  constructor(private readonly options: EntryOptions) {}

  /**
   * Runs a request on a worker of its service.
   *
   * @throws RefusalError whose verdict tells whether the request may have run.
   */
  async handleRequest(
    received: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const request = this.markNested(received);
    if (!request.isNested) return this.runRequest(request, signal);
    const {service, awaitedUntil = request.deadline} = request;
    const endCall = this.options.nestedCalls.startCall(
      service,
      awaitedUntil,
      performance.now(),
    );
    try {
      const answer = await this.runRequest(request, signal);
      const endedAt = performance.now();
      endCall(findCallOutcome(answer, request, endedAt), endedAt);
      return answer;
    } catch (error) {
      // A call whose parent is gone says nothing of the called service.
      const isGone = toRefusal(error).reason === Reason.CALLER_GONE;
      if (!isGone) endCall('refused', performance.now());
      throw error;
    }
  }

  /**
   * Explains where a request would go now, without sending it. No state of the
   * entry changes, and its random numbers are not drawn.
   */
  describeRoute(request: ServiceRequest, now: number): RouteExplanation {
    const {options} = this;
    const {service} = request;
    const profile = options.state.findProfile(service);
    if (!profile) throw new RefusalError(Reason.UNKNOWN_SERVICE);
    const serviceState =
      this.stateByService.get(service) ??
      this.createServiceState(service, profile);
    return buildRouteExplanation(
      {options, request, profile, serviceState},
      now,
    );
  }

  private async runRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const profile = this.options.state.findProfile(request.service);
    // Its route was found when its head arrived, and leads elsewhere now.
    if (!profile) throw new RefusalError(Reason.NO_WORKER);
    if (this.options.isQuarantined(request.fingerprint)) {
      throw new RefusalError(Reason.QUARANTINED);
    }
    const serviceState = this.findServiceState(request.service, profile);
    startCall(serviceState, request, profile, this.computeRetryBurst(profile));
    const abort = new AbortController();
    const handleDisconnect = (): void => abort.abort(signal.reason);
    signal.addEventListener('abort', handleDisconnect, {once: true});
    const timer = setTimeout(
      () => abort.abort(new RefusalError(Reason.DEADLINE_EXCEEDED)),
      Math.max(0, request.deadline - performance.now()),
    );
    const call = new Call(this.options, request, profile, serviceState, abort);
    const end = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', handleDisconnect);
      releaseCall(serviceState, request);
    };
    try {
      const answer = await call.run();
      const {rest} = answer.body;
      // The timer stays armed, so that the deadline also cuts off the body.
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

  /** Computes the retry tokens that this entry may accumulate. */
  private computeRetryBurst({retries}: Profile): number {
    const nodes = this.options.workers.listNodes().length;
    const entries = retries.sharesBurst ? Math.max(1, nodes) : 1;
    return retries.budgetBurst / entries;
  }

  /** Counts the workers of a service and the entries that send to them. */
  private countSenders(service: string): {workers: number; entries: number} {
    const {workers} = this.options;
    return {
      workers: workers.listWorkers(service).length,
      entries: workers.listNodes().length,
    };
  }

  private findServiceState(
    service: string,
    profile: Profile,
  ): EntryServiceState {
    let serviceState = this.stateByService.get(service);
    if (!serviceState) {
      serviceState = this.createServiceState(service, profile);
      this.stateByService.set(service, serviceState);
    }
    return serviceState;
  }

  private createServiceState(
    service: string,
    profile: Profile,
  ): EntryServiceState {
    const {count, report} = this.options;
    return {
      retries: new RetryBudget(this.computeRetryBurst(profile)),
      hedges: new TokenBudget(),
      attemptTimes: this.options.createAttemptTimes?.(),
      inFlightByCaller: new Map(),
      spill: new DataCentreSpill({service, count, report}),
      capacityRefusals: new CapacityRefusals(service, {
        ...this.options,
        countSenders: name => this.countSenders(name),
      }),
      choiceCount: 0,
    };
  }
}

/** Counts a call as in flight; refuses it at the caller's limit. */
function startCall(
  serviceState: EntryServiceState,
  request: ServiceRequest,
  profile: Profile,
  retryBurst: number,
): void {
  const inFlight = serviceState.inFlightByCaller.get(request.caller) ?? 0;
  if (inFlight >= profile.limits.callerConcurrency) {
    throw new RefusalError(Reason.CALLER_LIMIT);
  }
  serviceState.inFlightByCaller.set(request.caller, inFlight + 1);
  const {budgetPercent} = profile.retries;
  serviceState.retries.recordCall(request.caller, budgetPercent, retryBurst);
  if (request.idempotent) {
    serviceState.hedges.add(profile.hedging.budgetPercent / 100);
  }
}

/**
 * Returns how a call ended for the run that waits for it. Statuses other than
 * that of a worker without capacity are the called service's answers.
 */
function findCallOutcome(
  {status}: ServiceAnswer,
  {targetAt, deadline}: ServiceRequest,
  now: number,
): CallOutcome {
  if (status === UNAVAILABLE) return 'refused';
  return now <= (targetAt ?? deadline) ? 'served' : 'late';
}

function releaseCall(
  serviceState: EntryServiceState,
  request: ServiceRequest,
): void {
  const inFlight = serviceState.inFlightByCaller.get(request.caller) ?? 1;
  if (inFlight > 1)
    serviceState.inFlightByCaller.set(request.caller, inFlight - 1);
  else serviceState.inFlightByCaller.delete(request.caller);
}
