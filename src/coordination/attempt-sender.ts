/**
 * Sends attempts and settles doubt about them. When a connection is lost or
 * silent, an idempotent attempt is given up and tried elsewhere. For another
 * the gate is asked on a new connection what became of it: never seen, then it
 * is sealed and may be tried elsewhere; running or done, then its answer is
 * waited for; gate gone, then the caller is told that it may have run.
 */
import {waitMs} from '../protocol/backoff.js';
import type {Attempt, AttemptAnswer} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import {Reason} from '../protocol/reasons.js';
import type {SealResult} from '../protocol/seal.js';
import {SealError, SealOutcome} from '../protocol/seal.js';
import {Verdict} from '../protocol/verdict.js';

/**
 * Sends one attempt; calls back when it is not acknowledged in time, and gives
 * it up when that returns true.
 */
export type SendWithSilence = (
  attempt: Attempt,
  signal: AbortSignal,
  handleSilence: () => boolean,
) => Promise<AttemptAnswer>;

/**
 * Asks the gate of an attempt, on a new connection, what became of it.
 *
 * @throws SealError
 */
export type AskSeal = (attempt: Attempt, waitMs: number) => Promise<SealResult>;

/** Told of what happens beside the normal course, for counters. */
export type CountEvent = (name: 'silent' | 'asked' | 'sealed') => void;

/** Longest time that one question waits for a running attempt. */
const SEAL_WAIT_MS = 5000;
/** Pause before a gate that did not answer is asked again. */
const SEAL_PAUSE_MS = 50;

/** Reasons after which it is unknown whether the gate has the attempt. */
const DOUBTFUL_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  Reason.CONNECTION_LOST,
  Reason.TRUNCATED_ANSWER,
  Reason.WRONG_ANSWER,
]);

/** Sends attempts of one entry. */
export class AttemptSender {
  constructor(
    private readonly send: SendWithSilence,
    private readonly askSeal: AskSeal,
    private readonly count: CountEvent,
  ) {}

  /**
   * Sends an attempt.
   *
   * @throws AttemptError with a true verdict.
   */
  async sendAttempt(
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    if (attempt.request.idempotent) {
      return this.send(attempt, signal, () => {
        this.count('silent');
        return true;
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
    // Both may fail; the one that is not awaited must not go unhandled.
    answer.catch(() => {});
    let reason: Reason = Reason.CONNECTION_SILENT;
    try {
      const first = await Promise.race([answer, silence]);
      if (first !== 'silent') return first;
    } catch (error) {
      if (!isDoubtful(error)) throw error;
      reason = error.reason;
    }
    const settled = this.resolveDoubt(attempt, abort, reason);
    if (reason !== Reason.CONNECTION_SILENT) return settled;
    return takeFirstAnswer(answer, settled, () => abort.abort());
  }

  /** Asks the gate until it says what became of the attempt. */
  private async resolveDoubt(
    attempt: Attempt,
    abort: AbortController,
    reason: Reason,
  ): Promise<AttemptAnswer> {
    for (;;) {
      const remainingMs = attempt.request.deadline - performance.now();
      if (remainingMs <= 0 || abort.signal.aborted) {
        throw buildError(attempt, reason);
      }
      this.count('asked');
      try {
        const waitMs = Math.min(SEAL_WAIT_MS, remainingMs);
        const result = await this.askSeal(attempt, waitMs);
        if (result.outcome === SealOutcome.RUNNING) continue;
        return this.readResult(attempt, result, reason);
      } catch (error) {
        if (!(error instanceof SealError)) throw error;
        if (error.isGateGone) throw buildError(attempt, reason);
        await waitMs(SEAL_PAUSE_MS);
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
    throw buildError(attempt, reason);
  }
}

function isDoubtful(error: unknown): error is AttemptError {
  return (
    error instanceof AttemptError &&
    error.verdict !== Verdict.NOT_RUN &&
    DOUBTFUL_REASONS.has(error.reason)
  );
}

function buildError(attempt: Attempt, reason: Reason): AttemptError {
  return new AttemptError(
    reason,
    Verdict.MAY_HAVE_RUN,
    `no word of the attempt at ${attempt.target.nodeId}`,
  );
}

/**
 * The answer that comes first, from the silent connection or the asking. When
 * the asking ends in an error, that error counts: it is about the attempt,
 * while the other is only about a connection.
 */
async function takeFirstAnswer(
  late: Promise<AttemptAnswer>,
  settled: Promise<AttemptAnswer>,
  abort: () => void,
): Promise<AttemptAnswer> {
  const never = new Promise<never>(() => {});
  try {
    return await Promise.race([late.catch(() => never), settled]);
  } finally {
    void late.then(
      () => {},
      () => {},
    );
    void settled.then(abort, abort);
  }
}
