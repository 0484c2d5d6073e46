/**
 * Sends attempts and resolves unknown outcomes. When a connection is lost or
 * silent, an idempotent attempt is retried at another gate; a silent one stays
 * open beside its retry. For a non-idempotent attempt the entry asks the gate
 * for its outcome on a new connection:
 *
 * - The gate never received it: the gate seals it, and it may be retried.
 * - It is running or has ended: the entry waits for the answer.
 * - The gate's process is gone: the caller is told that it may have run.
 */
import {waitMs} from '../protocol/backoff.js';
import type {Attempt, AttemptAnswer} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import {Reason} from '../protocol/reasons.js';
import type {SealResult} from '../protocol/seal.js';
import {SealError, SealOutcome} from '../protocol/seal.js';
import {Verdict} from '../protocol/verdict.js';

/**
 * Sends one attempt. Calls `handleSilence` when the attempt is not
 * acknowledged in time, and abandons the attempt when that returns true.
 */
export type SendWithAckTimeout = (
  attempt: Attempt,
  signal: AbortSignal,
  handleAckTimeout: () => boolean,
) => Promise<AttemptAnswer>;

/**
 * Asks the gate, on a new connection, for the outcome of an attempt, and seals
 * the attempt if the gate has not received it.
 *
 * @param waitMs Longest time that the gate waits for a running attempt to end.
 * @throws SealError when the gate gives no outcome.
 */
export type AskSeal = (attempt: Attempt, waitMs: number) => Promise<SealResult>;

/** Counts silent connections, outcome requests and sealed attempts. */
export type CountEvent = (name: 'silent' | 'asked' | 'sealed') => void;

/** Longest time that one outcome request waits for a running attempt. */
const MAX_SEAL_WAIT_MS = 5000;
/** Delay before the outcome is requested again from an unresponsive gate. */
const SEAL_RETRY_DELAY_MS = 50;

/** Failure reasons that leave open whether the gate received the attempt. */
const UNKNOWN_OUTCOME_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  Reason.CONNECTION_LOST,
  Reason.TRUNCATED_ANSWER,
  Reason.WRONG_ANSWER,
]);

/** Sends the attempts of one entry. */
export class AttemptSender {
  constructor(
    private readonly send: SendWithAckTimeout,
    private readonly askSeal: AskSeal,
    private readonly count: CountEvent,
  ) {}

  /**
   * Sends an attempt; see SendAttempt.
   *
   * @throws AttemptError whose verdict tells whether the attempt may have run.
   */
  async sendAttempt(
    attempt: Attempt,
    signal: AbortSignal,
    handleSilence: () => void,
  ): Promise<AttemptAnswer> {
    if (attempt.request.idempotent) {
      return this.send(attempt, signal, () => {
        this.count('silent');
        handleSilence();
        return false;
      });
    }
    const abort = new AbortController();
    const handleAbort = (): void => abort.abort(signal.reason);
    signal.addEventListener('abort', handleAbort, {once: true});
    try {
      return await this.sendOnce(attempt, abort);
    } finally {
      signal.removeEventListener('abort', handleAbort);
    }
  }

  private async sendOnce(
    attempt: Attempt,
    abort: AbortController,
  ): Promise<AttemptAnswer> {
    let markSilent: () => void = () => {};
    const silence = new Promise<'silent'>(resolve => {
      markSilent = () => resolve('silent');
    });
    const answer = this.send(attempt, abort.signal, () => {
      this.count('silent');
      markSilent();
      return false;
    });
    // Prevents an unhandled rejection when the other promise is awaited.
    answer.catch(() => {});
    let reason: Reason = Reason.CONNECTION_SILENT;
    try {
      const first = await Promise.race([answer, silence]);
      if (first !== 'silent') return first;
    } catch (error) {
      if (!isOutcomeUnknown(error)) throw error;
      reason = error.reason;
    }
    const resolved = this.resolveOutcome(attempt, abort, reason);
    if (reason !== Reason.CONNECTION_SILENT) return resolved;
    return waitForFirstAnswer(answer, resolved, () => abort.abort());
  }

  /** Asks the gate until it reports the attempt's outcome. */
  private async resolveOutcome(
    attempt: Attempt,
    abort: AbortController,
    reason: Reason,
  ): Promise<AttemptAnswer> {
    for (;;) {
      const remainingMs = attempt.request.deadline - performance.now();
      if (remainingMs <= 0 || abort.signal.aborted) {
        throw buildUnknownOutcomeError(attempt, reason);
      }
      this.count('asked');
      try {
        const waitMs = Math.min(MAX_SEAL_WAIT_MS, remainingMs);
        const result = await this.askSeal(attempt, waitMs);
        if (result.outcome === SealOutcome.RUNNING) continue;
        return this.readResult(attempt, result, reason);
      } catch (error) {
        if (!(error instanceof SealError)) throw error;
        if (error.isGateGone) throw buildUnknownOutcomeError(attempt, reason);
        await waitMs(SEAL_RETRY_DELAY_MS);
      }
    }
  }

  private readResult(
    attempt: Attempt,
    result: SealResult,
    reason: Reason,
  ): AttemptAnswer {
    if (result.answer) return result.answer;
    if (result.outcome === SealOutcome.NOT_RUN) {
      this.count('sealed');
      throw new AttemptError(
        Reason.SEALED,
        Verdict.NOT_RUN,
        `sealed at ${attempt.target.nodeId} after ${reason}`,
      );
    }
    throw buildUnknownOutcomeError(attempt, reason);
  }
}

function isOutcomeUnknown(error: unknown): error is AttemptError {
  return (
    error instanceof AttemptError &&
    error.verdict !== Verdict.NOT_RUN &&
    UNKNOWN_OUTCOME_REASONS.has(error.reason)
  );
}

function buildUnknownOutcomeError(
  attempt: Attempt,
  reason: Reason,
): AttemptError {
  return new AttemptError(
    reason,
    Verdict.MAY_HAVE_RUN,
    `outcome of the attempt at ${attempt.target.nodeId} unknown`,
  );
}

/**
 * Returns the first answer, from the silent connection or from the outcome
 * request. Only an error of the outcome request is thrown: it concerns the
 * attempt, while an error of the connection concerns only that connection.
 */
async function waitForFirstAnswer(
  original: Promise<AttemptAnswer>,
  resolved: Promise<AttemptAnswer>,
  abort: () => void,
): Promise<AttemptAnswer> {
  const never = new Promise<never>(() => {});
  try {
    return await Promise.race([original.catch(() => never), resolved]);
  } finally {
    void original.then(
      () => {},
      () => {},
    );
    void resolved.then(abort, abort);
  }
}
