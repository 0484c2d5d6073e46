/**
 * Handles one call at its entry: chooses workers, retries and hedges, from
 * accepting the request to its answer or refusal.
 */
import type {
  Attempt,
  AttemptAnswer,
  AttemptTarget,
} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import type {Profile} from '../protocol/configuration.js';
import {
  markMayHaveRun,
  Reason,
  RefusalError,
  toRefusal,
} from '../protocol/reasons.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import {isResendable} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {RequestExplainer} from '../state/explanations.js';
import type {WorkerRow} from '../state/worker-table.js';
import {recordLoad} from '../state/worker-table.js';
import type {EntryOptions, EntryServiceState} from './entry.js';
import type {CallRefusals} from './refusals/capacity-refusals.js';
import {
  findRetryCost,
  findStatusRetryCost,
  hasTimeToRetryRefusal,
  isCapacityRefusal,
} from './refusals/retry-rules.js';
import {recordCancelled, recordFailedAttempt} from './attempt-outcomes.js';
import {isSettledWithin, waitForFirst} from './hedge-race.js';
import {SilentAttempts} from './silent-attempts.js';
import {
  buildChoiceContext,
  describeChoice,
  isOwnPreferred,
  selectCallRows,
} from './routing/call-choice.js';
import {chooseWorker} from './routing/worker-choice.js';

const HEDGE_COST_TOKENS = 1;

/** Failure reasons after which kept connections may be silent as well. */
const DEAD_CONNECTION_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  Reason.CONNECTION_SILENT,
  Reason.SEALED,
]);

/** One call with its attempts. */
export class Call {
  private readonly triedTargets = new Set<AttemptTarget>();
  private readonly explainer: RequestExplainer;
  private readonly startedAt = performance.now();
  private paidAttempts = 1;
  private freeRetries = 0;
  private readonly silent = new SilentAttempts();
  /** Cancel the attempts that run and are not silent. */
  private readonly running = new Set<AbortController>();
  /** Whether a connection of this call went silent, as others may have. */
  private hasLostConnection = false;
  /** Whether a gate of this data centre refused it for lack of capacity. */
  private wasRefusedAtHome = false;
  /** Whether an attempt of this call may have run. */
  private mayHaveRun = false;
  /** Undefined where the profile leaves capacity refusals to the gates. */
  private readonly capacity: CallRefusals | undefined;
  /** Worker of the next attempt, if it is chosen already. */
  private nextRow: WorkerRow | undefined;

  constructor(
    private readonly options: EntryOptions,
    private readonly request: ServiceRequest,
    private readonly profile: Profile,
    private readonly serviceState: EntryServiceState,
    private readonly abort: AbortController,
  ) {
    this.explainer = options.explanations.start(request);
    if (request.isNested) this.explainer.add('nested', {});
    const {capacityRefusals} = serviceState;
    this.capacity = capacityRefusals.start(request, profile, this.explainer);
  }

  /**
   * Runs attempts until the call is answered or refused.
   *
   * @throws RefusalError with the combined verdict of all attempts.
   */
  async run(): Promise<AttemptAnswer> {
    let last: RefusalError | undefined;
    for (;;) {
      const row = this.nextRow ?? this.chooseRow();
      this.nextRow = undefined;
      if (!row) {
        const refusal = last ?? this.capacity?.refusal;
        return this.waitForSilent(
          refusal ?? new RefusalError(Reason.NO_WORKER),
        );
      }
      try {
        const answer = await this.waitForEither(this.runAttempts(row));
        if (!this.takeStatusRetry(answer)) return this.recordAnswer(answer);
        closeAnswer(answer);
      } catch (error) {
        last = this.recordFailure(error);
        if (!this.takeRetry(last)) return this.waitForSilent(last);
      }
    }
  }

  /**
   * Returns the answer of the current attempt or of an earlier, silent one,
   * whichever comes first.
   *
   * @throws the error of the current attempt.
   */
  private async waitForEither(
    current: Promise<AttemptAnswer>,
  ): Promise<AttemptAnswer> {
    if (this.silent.count === 0) return current;
    const never = new Promise<never>(() => {});
    const late = this.silent.waitForAnswer().catch(() => never);
    current.catch(() => {});
    const isLate = await Promise.race([
      current.then(() => false),
      late.then(() => true),
    ]);
    if (!isLate) {
      void late.then(closeAnswer);
      return current;
    }
    for (const abort of this.running)
      abort.abort(new Error('an earlier attempt answered first'));
    return late;
  }

  /**
   * Waits for the silent attempts when nothing else can be tried.
   *
   * @throws RefusalError with the combined verdict of all attempts.
   */
  private async waitForSilent(last: RefusalError): Promise<AttemptAnswer> {
    const open = this.silent.count;
    if (open === 0 || this.hasEnded()) throw this.buildRefusal(last);
    this.options.count('silent.waited');
    this.explainer.add('wait', {open, reason: last.reason});
    try {
      return this.recordAnswer(await this.silent.waitForAnswer());
    } catch (error) {
      throw this.buildRefusal(this.recordFailure(error));
    }
  }

  private chooseRow(): WorkerRow | undefined {
    const {options, request, profile, serviceState, triedTargets} = this;
    serviceState.choiceCount += 1;
    const rows = selectCallRows(options, request.service, triedTargets);
    const context = buildChoiceContext(
      options.dataCentre,
      {
        request,
        profile,
        share: serviceState.spill,
        choiceCount: serviceState.choiceCount,
        isFirst: triedTargets.size === 0,
        wasRefusedAtHome: this.wasRefusedAtHome,
      },
      options.random,
      performance.now(),
    );
    const allowed = this.capacity?.selectRows(rows) ?? rows;
    return chooseWorker(profile.balancing, allowed, context);
  }

  /** Runs an attempt, and a hedge in parallel when it is slow. */
  private async runAttempts(row: WorkerRow): Promise<AttemptAnswer> {
    const {hedging} = this.profile;
    const canHedge =
      hedging.enabled && this.request.idempotent && isResendable(this.request);
    if (!canHedge) return this.runAttempt(row, this.abort.signal, 'attempt');
    const remainingMs = this.request.deadline - performance.now();
    const quantileMs = this.serviceState.attemptTimes?.compute(
      hedging.quantile,
    );
    // The upper bound leaves a hedge time to finish before the deadline, also
    // while there are too few samples for a quantile.
    const delayMs = Math.min(quantileMs ?? Infinity, remainingMs / 3);
    return this.runHedged(row, delayMs);
  }

  /**
   * Runs an attempt and hedges it after a delay. Only the hedge gets its own
   * AbortController, since most calls end before they need one.
   */
  private async runHedged(
    row: WorkerRow,
    delayMs: number,
  ): Promise<AttemptAnswer> {
    const main = this.runAttempt(row, this.abort.signal, 'attempt');
    if (await isSettledWithin(main, delayMs)) return main;
    const other = this.takeHedge();
    if (!other) return main;
    const second = new AbortController();
    const handleAbort = (): void => second.abort(this.abort.signal.reason);
    this.abort.signal.addEventListener('abort', handleAbort, {once: true});
    const hedge = this.runAttempt(other, second.signal, 'hedge');
    const winner = await waitForFirst(main, hedge);
    this.abort.signal.removeEventListener('abort', handleAbort);
    const loser = winner === 'main' ? second : this.abort;
    loser.abort(new Error('another attempt answered first'));
    return winner === 'main' ? main : hedge;
  }

  private takeHedge(): WorkerRow | undefined {
    if (!isResendable(this.request)) return undefined;
    if (!this.serviceState.hedges.has(HEDGE_COST_TOKENS)) return undefined;
    const row = this.chooseRow();
    if (!row) return undefined;
    this.serviceState.hedges.take(HEDGE_COST_TOKENS);
    this.options.count('hedges.sent');
    return row;
  }

  private async runAttempt(
    row: WorkerRow,
    signal: AbortSignal,
    kind: string,
  ): Promise<AttemptAnswer> {
    const attemptOrder = this.triedTargets.size === 0 ? 'first' : 'further';
    this.options.count(`asks.${attemptOrder}`);
    this.triedTargets.add(row.target);
    const attempt: Attempt = {
      id: this.options.createAttemptId(),
      request: this.request,
      target: row.target,
      version: row.version,
      ...(this.hasLostConnection ? {needsNewConnection: true} : {}),
      handleBodyEnd: sent =>
        this.explainer.add('body', {node: row.target.nodeId, ...sent}),
    };
    const startedAt = performance.now();
    row.inFlightHere += 1;
    let isEnded = false;
    const end = (): void => {
      if (isEnded) return;
      isEnded = true;
      row.inFlightHere -= 1;
    };
    this.explainer.add(kind, {
      ...describeChoice(row, startedAt),
      ...this.recordSide(row),
    });
    try {
      const answer = await this.sendAttempt(attempt, signal);
      const elapsedMs = performance.now() - startedAt;
      this.serviceState.attemptTimes?.record(elapsedMs);
      this.capacity?.recordAnswer(elapsedMs, answer.load?.pace);
      if (answer.load) recordLoad(row, answer.load);
      // A streamed answer counts as in flight until its body has ended.
      answer.body.rest?.once('close', end);
      if (!answer.body.rest) end();
      return answer;
    } catch (error) {
      end();
      if (signal.aborted) recordCancelled(row, performance.now() - startedAt);
      else if (error instanceof AttemptError) {
        if (isCapacityRefusal(error)) {
          this.options.count(`asks.${attemptOrder}.refused`);
          if (this.isAtHome(row)) this.wasRefusedAtHome = true;
        }
        recordFailedAttempt(row, error);
      }
      throw error;
    }
  }

  /** Counts on which side a worker is, and describes it for the explanation. */
  private recordSide(row: WorkerRow): Readonly<Record<string, number>> {
    if (!isOwnPreferred(this.profile)) return {};
    const isAtHome = this.isAtHome(row);
    this.options.count(isAtHome ? 'choices.near' : 'choices.far');
    const {share} = this.serviceState.spill;
    return {left: isAtHome ? 0 : 1, share: Math.round(share * 1000) / 1000};
  }

  private isAtHome(row: WorkerRow): boolean {
    return row.dataCentre === this.options.dataCentre;
  }

  /** Sends an attempt; a silent one fails at once, and stays open. */
  private sendAttempt(
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    const abort = new AbortController();
    this.running.add(abort);
    const handleAbort = (): void => abort.abort(signal.reason);
    if (signal.aborted) handleAbort();
    signal.addEventListener('abort', handleAbort, {once: true});
    return new Promise((resolve, reject) => {
      const answer = this.options.sendAttempt(attempt, abort.signal, () => {
        this.running.delete(abort);
        this.silent.add(answer, abort);
        const {nodeId} = attempt.target;
        reject(
          new AttemptError(
            Reason.CONNECTION_SILENT,
            Verdict.MAY_HAVE_RUN,
            `${nodeId}: no acknowledgement; the attempt stays open`,
          ),
        );
      });
      answer.finally(() => this.running.delete(abort)).then(resolve, reject);
    });
  }

  private recordFailure(error: unknown): RefusalError {
    const refusal = toRefusal(error);
    if (DEAD_CONNECTION_REASONS.has(refusal.reason))
      this.hasLostConnection = true;
    if (refusal.verdict !== Verdict.NOT_RUN) this.mayHaveRun = true;
    const {reason, verdict, detail} = refusal;
    this.explainer.add('failure', {reason, verdict, detail});
    return refusal;
  }

  private takeRetry(refusal: RefusalError): boolean {
    if (this.hasEnded() || !(refusal instanceof AttemptError)) return false;
    const {paysForRefusals} = this.profile.retries;
    const {request, startedAt} = this;
    const hasTime = hasTimeToRetryRefusal(
      request,
      startedAt,
      performance.now(),
    );
    const cost = findRetryCost(request, refusal, paysForRefusals, hasTime);
    if (cost !== undefined && this.capacity && isCapacityRefusal(refusal)) {
      this.nextRow = this.chooseRow();
      if (this.nextRow && !this.capacity.checkFurther(this.nextRow))
        return false;
    }
    return this.takeRetryTokens(cost, refusal.reason);
  }

  private takeStatusRetry(answer: AttemptAnswer): boolean {
    const cost = findStatusRetryCost(this.request, answer.status);
    if (cost === undefined || this.hasEnded() || !this.chooseRow())
      return false;
    return this.takeRetryTokens(cost, `status-${answer.status}`);
  }

  private takeRetryTokens(cost: number | undefined, cause: string): boolean {
    if (cost === undefined) return false;
    if (cost === 0) {
      this.freeRetries += 1;
      if (this.freeRetries > this.profile.retries.maxRefusals) return false;
    } else {
      const {maxAttempts} = this.profile.retries;
      const attemptLimit = this.request.maxAttempts ?? maxAttempts;
      if (this.paidAttempts >= attemptLimit) return false;
      if (!this.serviceState.retries.take(this.request.caller, cost)) {
        this.options.count('retries.refused-by-budget');
        return false;
      }
      this.paidAttempts += 1;
    }
    this.options.count(`retries.${cause}`);
    this.explainer.add('retry', {cause});
    return true;
  }

  private hasEnded(): boolean {
    return (
      this.abort.signal.aborted || performance.now() >= this.request.deadline
    );
  }

  private recordAnswer(answer: AttemptAnswer): AttemptAnswer {
    this.explainer.add('answer', {status: answer.status});
    this.silent.cancel();
    return answer;
  }

  /**
   * Builds the refusal for the caller, with verdict `not-run` only when no
   * attempt may have run.
   */
  private buildRefusal(last: RefusalError): RefusalError {
    const {reason, verdict} = last;
    this.explainer.add('refusal', {reason, verdict});
    if (this.mayHaveRun) return markMayHaveRun(last, true);
    return this.capacity?.setReturnTime(last) ?? last;
  }
}

function closeAnswer(answer: AttemptAnswer): void {
  answer.body.rest?.on('error', () => {}).destroy();
}
