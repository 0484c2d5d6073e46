/**
 * Refusal of a request that a worker can't serve in time. Its detail holds the
 * state that caused it, for the log and the explanation of the request.
 */
import {Reason, RefusalError} from '../../protocol/reasons.js';
import {Verdict} from '../../protocol/verdict.js';

/** State of a worker that causes a refusal. */
export interface OverloadState {
  readonly isCold: boolean;
  readonly running: number;
  readonly limit: number;
  readonly waiting: number;
  /** Requests sent within the last second. */
  readonly sent: number;
  /** Milliseconds since the last answer that said the worker is warm. */
  readonly healthAgeMs: number;
  readonly pace: number;
  /** Expected wait for a slot in milliseconds. */
  readonly waitMs: number;
  /** Further parts of the detail. */
  readonly further: readonly string[];
}

/** Creates a refusal with the time after which to retry. */
export function createOverloadRefusal(state: OverloadState): RefusalError {
  const {running, limit, waiting, sent, healthAgeMs, pace} = state;
  const detail = [
    `running ${running} of ${limit}`,
    `waiting ${waiting}`,
    `sent ${sent} in 1 s`,
    `warm ${Math.round(healthAgeMs)} ms ago`,
    `pace ${pace}`,
    ...state.further,
  ].join(', ');
  const reason = state.isCold ? Reason.WORKER_COLD : Reason.QUEUE_TIMEOUT;
  const retryAfterMs = Math.max(0, Math.round(state.waitMs));
  return new RefusalError(reason, Verdict.NOT_RUN, detail, retryAfterMs);
}
