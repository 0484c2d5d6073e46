/**
 * Runs attempts at the gate. A non-idempotent attempt is registered before it
 * runs. Once it has a slot it is not cancelled when its connection is lost, so
 * that an entry which asks for its outcome later gets the answer.
 */
import type {AttemptAnswer} from '../protocol/attempt.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {
  AttemptHandle,
  AttemptRegistry,
} from '../state/attempt-registry.js';

/** An attempt as a gate receives it. */
export interface GateAttempt {
  readonly id: string;
  /** Incarnation of the gate's process that the entry addresses. */
  readonly incarnation: number;
  readonly version?: string;
  readonly request: ServiceRequest;
}

/** Runs a request on the local worker; see `Gate.runAttempt`. */
export type RunOnWorker = (
  request: ServiceRequest,
  version: string | undefined,
  signal: AbortSignal,
  handleAdmitted: () => void,
) => Promise<AttemptAnswer>;

/** Runs the attempts that other nodes send to this one. */
export class AttemptRunner {
  constructor(
    private readonly incarnation: number,
    private readonly registry: AttemptRegistry,
    private readonly runOnWorker: RunOnWorker,
  ) {}

  /**
   * Runs an attempt.
   *
   * @param signal aborts when the connection that carried the attempt closes.
   * @throws RefusalError whose verdict tells whether the attempt may have run.
   */
  async run(
    attempt: GateAttempt,
    signal: AbortSignal,
    handleAdmitted: () => void,
  ): Promise<AttemptAnswer> {
    if (attempt.incarnation !== this.incarnation) {
      throw new RefusalError(Reason.WRONG_INCARNATION);
    }
    const {request, version} = attempt;
    if (performance.now() >= request.deadline) {
      throw new RefusalError(Reason.DEADLINE_EXCEEDED);
    }
    if (request.idempotent) {
      return this.runOnWorker(request, version, signal, handleAdmitted);
    }
    const handle = this.registry.register(attempt.id);
    return this.runRegistered(attempt, handle, signal, handleAdmitted);
  }

  private async runRegistered(
    attempt: GateAttempt,
    handle: AttemptHandle,
    signal: AbortSignal,
    handleAdmitted: () => void,
  ): Promise<AttemptAnswer> {
    const {request, version} = attempt;
    const abort = new AbortController();
    const handleDisconnect = (): void => abort.abort(signal.reason);
    if (signal.aborted) handleDisconnect();
    signal.addEventListener('abort', handleDisconnect, {once: true});
    const timer = setTimeout(
      () => abort.abort(new RefusalError(Reason.DEADLINE_EXCEEDED)),
      request.deadline - performance.now(),
    );
    try {
      const answer = await this.runOnWorker(
        request,
        version,
        abort.signal,
        () => {
          signal.removeEventListener('abort', handleDisconnect);
          handleAdmitted();
        },
      );
      handle.markRan(answer);
      return answer;
    } catch (error) {
      if (isNotRun(error)) handle.markNotRun();
      else handle.markMayHaveRun();
      throw error;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', handleDisconnect);
    }
  }
}

function isNotRun(error: unknown): boolean {
  return error instanceof RefusalError && error.verdict === Verdict.NOT_RUN;
}
