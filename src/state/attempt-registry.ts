/**
 * Registry of the non-idempotent attempts at a gate. It lets an entry that lost
 * its connection ask for an attempt's outcome. Sealing an unknown attempt
 * guarantees that the gate never runs it.
 */
import type {AttemptAnswer} from '../protocol/attempt.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {SealResult} from '../protocol/seal.js';
import {SealOutcome} from '../protocol/seal.js';
import {HeldAnswers} from './held-answers.js';

/** Handle of a registered attempt; call exactly one method to end it. */
export interface AttemptHandle {
  /** Marks the attempt as run; keeps its answer unless it is streamed. */
  markRan(answer: AttemptAnswer): void;
  markNotRun(): void;
  markMayHaveRun(): void;
}

interface RegisteredAttempt {
  outcome: SealOutcome;
  readonly at: number;
  /** Queries that wait for the end of the attempt. */
  waiting?: Set<() => void>;
}

/**
 * Time for which an attempt is kept. A request that the network delays for
 * longer is refused because its deadline has passed.
 */
const RETENTION_MS = 600_000;
/** Attempts that are kept, each with its id, outcome and time. */
const MAX_ATTEMPTS = 200_000;
/** Bytes of answers kept for entries that ask for an outcome. */
const MAX_HELD_ANSWER_BYTES = 8 * 1024 * 1024;

/** Registers the attempts at one gate that must not run twice. */
export class AttemptRegistry {
  private readonly registered = new Map<string, RegisteredAttempt>();
  private readonly answers = new HeldAnswers(MAX_HELD_ANSWER_BYTES);

  constructor(
    private readonly now: () => number = () => performance.now(),
    private readonly maxAttempts = MAX_ATTEMPTS,
  ) {}

  /** Memory of the answers that are kept, in bytes. */
  get answerBytes(): number {
    return this.answers.bytes;
  }

  /**
   * Registers an attempt before it runs.
   *
   * @throws RefusalError with reason `sealed` when the id is sealed or already
   *     registered, or `queue-full` when the registry is full.
   */
  register(attemptId: string): AttemptHandle {
    this.expire();
    if (this.registered.has(attemptId)) throw new RefusalError(Reason.SEALED);
    if (this.registered.size >= this.maxAttempts)
      throw new RefusalError(Reason.QUEUE_FULL);
    const attempt = this.add(attemptId, SealOutcome.RUNNING);
    return {
      markRan: answer => {
        this.answers.add(attemptId, answer);
        endAttempt(attempt, SealOutcome.RAN);
      },
      markNotRun: () => endAttempt(attempt, SealOutcome.NOT_RUN),
      markMayHaveRun: () => endAttempt(attempt, SealOutcome.MAY_HAVE_RUN),
    };
  }

  /**
   * Seals an unknown attempt, or waits for a running one to end. A full registry
   * can't seal, so that the attempt may yet run.
   */
  async seal(attemptId: string, waitMs: number): Promise<SealResult> {
    this.expire();
    const attempt = this.registered.get(attemptId);
    if (!attempt) {
      if (this.registered.size >= this.maxAttempts)
        return {outcome: SealOutcome.MAY_HAVE_RUN};
      this.add(attemptId, SealOutcome.NOT_RUN);
      return {outcome: SealOutcome.NOT_RUN};
    }
    if (attempt.outcome === SealOutcome.RUNNING) {
      await waitForEnd(attempt, waitMs);
    }
    const answer = this.answers.find(attemptId);
    return {outcome: attempt.outcome, ...(answer ? {answer} : {})};
  }

  private add(attemptId: string, outcome: SealOutcome): RegisteredAttempt {
    const attempt: RegisteredAttempt = {outcome, at: this.now()};
    this.registered.set(attemptId, attempt);
    return attempt;
  }

  /** Removes attempts past the retention time, in order of their age. */
  private expire(): void {
    const before = this.now() - RETENTION_MS;
    for (const [id, {at, outcome}] of this.registered) {
      if (at > before || outcome === SealOutcome.RUNNING) return;
      this.registered.delete(id);
      this.answers.remove(id);
    }
  }
}

function endAttempt(attempt: RegisteredAttempt, outcome: SealOutcome): void {
  const {waiting} = attempt;
  attempt.outcome = outcome;
  delete attempt.waiting;
  for (const handleEnd of waiting ?? []) handleEnd();
}

function waitForEnd(
  attempt: RegisteredAttempt,
  limitMs: number,
): Promise<void> {
  return new Promise(resolve => {
    const waiting = (attempt.waiting ??= new Set());
    const end = (): void => {
      clearTimeout(timer);
      waiting.delete(end);
      resolve();
    };
    const timer = setTimeout(end, limitMs);
    waiting.add(end);
  });
}
