/**
 * Registry of the non-idempotent attempts at a gate. It lets an entry that lost
 * its connection ask for an attempt's outcome. Sealing an unknown attempt
 * guarantees that the gate never runs it.
 */
import type {AttemptAnswer} from '../protocol/attempt.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {SealResult} from '../protocol/seal.js';
import {SealOutcome} from '../protocol/seal.js';

/** Handle of a registered attempt; call exactly one method to end it. */
export interface AttemptHandle {
  /** Marks the attempt as run; keeps its answer unless it is streamed. */
  markRan(answer: AttemptAnswer): void;
  markNotRun(): void;
  markMayHaveRun(): void;
}

interface RegisteredAttempt {
  result: SealResult;
  readonly at: number;
  readonly ended: Promise<void>;
  readonly markEnded: () => void;
}

/**
 * Time for which an attempt is kept. A request that the network delays for
 * longer is refused because its deadline has passed.
 */
const RETENTION_MS = 600_000;
const MAX_ATTEMPTS = 200_000;
/** Bytes of answers kept for entries that ask for an outcome. */
const MAX_HELD_ANSWER_BYTES = 8 * 1024 * 1024;

/** Registers the attempts at one gate that must not run twice. */
export class AttemptRegistry {
  private readonly registered = new Map<string, RegisteredAttempt>();
  private readonly attemptsWithAnswer: RegisteredAttempt[] = [];
  private answerBytes = 0;

  /**
   * Registers an attempt before it runs.
   *
   * @throws RefusalError with reason `sealed` when the id is sealed or already
   *     registered, or `queue-full` when the registry is full.
   */
  register(attemptId: string): AttemptHandle {
    this.expire();
    if (this.registered.has(attemptId)) throw new RefusalError(Reason.SEALED);
    if (this.registered.size >= MAX_ATTEMPTS)
      throw new RefusalError(Reason.QUEUE_FULL);
    const registered = createRegisteredAttempt({outcome: SealOutcome.RUNNING});
    this.registered.set(attemptId, registered);
    const end = (result: SealResult): void => {
      registered.result = result;
      registered.markEnded();
    };
    return {
      markRan: answer => {
        end({outcome: SealOutcome.RAN, ...this.holdAnswer(answer)});
        if (registered.result.answer) this.attemptsWithAnswer.push(registered);
      },
      markNotRun: () => end({outcome: SealOutcome.NOT_RUN}),
      markMayHaveRun: () => end({outcome: SealOutcome.MAY_HAVE_RUN}),
    };
  }

  /** Seals an unknown attempt, or waits for a running one to end. */
  async seal(attemptId: string, waitMs: number): Promise<SealResult> {
    const registered = this.registered.get(attemptId);
    if (!registered) {
      const sealed = createRegisteredAttempt({outcome: SealOutcome.NOT_RUN});
      this.registered.set(attemptId, sealed);
      return sealed.result;
    }
    if (registered.result.outcome === SealOutcome.RUNNING) {
      await waitAtMost(registered.ended, waitMs);
    }
    return registered.result;
  }

  private holdAnswer(answer: AttemptAnswer): Pick<SealResult, 'answer'> {
    if (answer.body.rest) return {};
    this.answerBytes += answer.body.held.length;
    while (
      this.answerBytes > MAX_HELD_ANSWER_BYTES &&
      this.attemptsWithAnswer.length > 0
    ) {
      const oldest = this.attemptsWithAnswer.shift()!;
      this.answerBytes -= oldest.result.answer?.body.held.length ?? 0;
      oldest.result = {outcome: oldest.result.outcome};
    }
    return {answer};
  }

  /** Removes attempts past the retention time, in order of their age. */
  private expire(): void {
    const before = performance.now() - RETENTION_MS;
    for (const [id, registered] of this.registered) {
      if (registered.at > before) return;
      if (registered.result.outcome === SealOutcome.RUNNING) return;
      this.registered.delete(id);
    }
  }
}

function createRegisteredAttempt(result: SealResult): RegisteredAttempt {
  let markEnded: () => void = () => {};
  const ended = new Promise<void>(resolve => (markEnded = resolve));
  return {result, at: performance.now(), ended, markEnded};
}

function waitAtMost(ended: Promise<void>, limitMs: number): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, limitMs);
    void ended.then(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
