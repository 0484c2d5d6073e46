/**
 * Bounded waits for work that continues after the wait has ended: a resend that
 * waits for the running original gives up at its own deadline, while the run
 * continues.
 */
import {Reason, RefusalError} from '../protocol/reasons.js';
import {Verdict} from '../protocol/verdict.js';

/** Limits of a wait. */
export interface WaitLimit {
  /** Time on the clock of `performance.now()`. */
  readonly deadline: number;
  readonly signal: AbortSignal;
}

/**
 * Waits for a promise until the deadline or until the signal aborts.
 *
 * @throws RefusalError with verdict `may-have-run` when the wait ends first.
 */
export async function waitWithin<T>(
  promise: Promise<T>,
  {deadline, signal}: WaitLimit,
): Promise<T> {
  let clear: () => void = () => {};
  const limit = new Promise<never>((resolve, reject) => {
    const refuse = (reason: Reason): void =>
      reject(new RefusalError(reason, Verdict.MAY_HAVE_RUN));
    const timer = setTimeout(
      () => refuse(Reason.DEADLINE_EXCEEDED),
      Math.max(0, deadline - performance.now()),
    );
    const handleAbort = (): void => refuse(findAbortReason(signal));
    signal.addEventListener('abort', handleAbort, {once: true});
    clear = () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', handleAbort);
    };
    if (signal.aborted) handleAbort();
  });
  try {
    return await Promise.race([promise, limit]);
  } finally {
    clear();
  }
}

/** Waits for a delay or until the signal aborts, whichever comes first. */
export function waitForDelay(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal.addEventListener('abort', finish, {once: true});
    if (signal.aborted) finish();
  });
}

/**
 * Returns the refusal reason of an aborted signal; CALLER_GONE when the signal
 * was not aborted with a RefusalError.
 */
export function findAbortReason(signal: AbortSignal): Reason {
  const {reason} = signal as {reason: unknown};
  return reason instanceof RefusalError ? reason.reason : Reason.CALLER_GONE;
}
