/**
 * Attempts of one call whose gates have stopped acknowledging them. Silence says
 * nothing of the worker, which may be about to answer: such an attempt is tried
 * again elsewhere, and stays open until the call has an answer.
 */
import type {AttemptAnswer} from '../protocol/attempt.js';

/** Silent attempts of one call. */
export class SilentAttempts {
  private readonly open = new Map<Promise<AttemptAnswer>, AbortController>();

  /** Number of attempts that may still be answered. */
  get count(): number {
    return this.open.size;
  }

  /** Adds an attempt with the controller that cancels it. */
  add(answer: Promise<AttemptAnswer>, abort: AbortController): void {
    this.open.set(answer, abort);
    answer.catch(() => this.open.delete(answer));
  }

  /**
   * Resolves with the first answer; the other attempts are cancelled.
   *
   * @throws the error of the attempt that failed last.
   */
  async waitForAnswer(): Promise<AttemptAnswer> {
    const answers = [...this.open.keys()];
    let lastError: unknown;
    for (const answer of answers) answer.catch(error => (lastError = error));
    try {
      const [winner] = await Promise.any(
        answers.map(answer => answer.then(() => [answer] as const)),
      );
      this.open.delete(winner);
      this.cancel();
      return await winner;
    } catch {
      throw lastError;
    }
  }

  /** Cancels all attempts, because the call has its answer. */
  cancel(): void {
    for (const abort of this.open.values()) {
      abort.abort(new Error('another attempt answered first'));
    }
    this.open.clear();
  }
}
