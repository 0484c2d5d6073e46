/**
 * The entry: takes a caller's request, chooses a worker, and answers for the
 * outcome. It retries only what has certainly not run or may run twice.
 */
import type {
  Attempt,
  AttemptAnswer,
  AttemptTarget,
  SendAttempt,
} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import type {Profile} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from '../protocol/service-request.js';
import {isResendable} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import {WorkerState} from '../protocol/worker-load.js';
import type {StateStore} from '../state/state-store.js';
import type {WorkerRow, WorkerTable} from '../state/worker-table.js';
import {chooseWorker} from './worker-choice.js';

/** What an entry works with. */
export interface EntryOptions {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly state: StateStore;
  readonly workers: WorkerTable;
  readonly sendAttempt: SendAttempt;
  readonly random: () => number;
  /** Id for the next attempt, unique among all nodes. */
  readonly createAttemptId: () => string;
}

/** The entry of one node. */
export class Entry {
  private turn = 0;

  constructor(private readonly options: EntryOptions) {}

  /**
   * Has a request run on some worker of its service.
   *
   * @throws RefusalError with a true verdict.
   */
  async handleRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const profile = this.options.state.findProfile(request.service);
    if (!profile) throw new RefusalError(Reason.UNKNOWN_SERVICE);
    const tried = new Set<AttemptTarget>();
    for (;;) {
      const row = this.choose(request.service, profile, tried);
      if (!row) throw new RefusalError(Reason.NO_WORKER);
      tried.add(row.target);
      try {
        return await this.runAttempt(row, request, signal);
      } catch (error) {
        const canRetry =
          error instanceof AttemptError &&
          tried.size < profile.retries.maxAttempts &&
          isSafeToRetry(request, error, signal);
        if (!canRetry) throw error;
      }
    }
  }

  private choose(
    service: string,
    profile: Profile,
    tried: ReadonlySet<AttemptTarget>,
  ): WorkerRow | undefined {
    const {state, workers, dataCentre, random} = this.options;
    const able = workers
      .listWorkers(service)
      .filter(
        row =>
          row.state !== WorkerState.DRAINING &&
          !tried.has(row.target) &&
          !state.isDataCentreOut(row.dataCentre),
      );
    this.turn += 1;
    const context = {dataCentre, random, turn: this.turn};
    return chooseWorker(profile.balancing, able, context);
  }

  private async runAttempt(
    row: WorkerRow,
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    const attempt: Attempt = {
      id: this.options.createAttemptId(),
      request,
      target: row.target,
      version: row.version,
    };
    row.inFlightHere += 1;
    try {
      const answer = await this.options.sendAttempt(attempt, signal);
      recordLoad(row, answer.load);
      return answer;
    } catch (error) {
      if (error instanceof AttemptError) recordLoad(row, error.load);
      throw error;
    } finally {
      row.inFlightHere -= 1;
    }
  }
}

function recordLoad(row: WorkerRow, load: AttemptAnswer['load']): void {
  if (!load) return;
  row.observed = {figures: load, at: performance.now()};
  row.state = load.state;
}

function isSafeToRetry(
  request: ServiceRequest,
  error: AttemptError,
  signal: AbortSignal,
): boolean {
  if (signal.aborted || performance.now() >= request.deadline) return false;
  if (!isResendable(request)) return false;
  return error.verdict === Verdict.NOT_RUN || request.idempotent;
}
