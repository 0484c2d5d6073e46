/**
 * Stable codes of refusals. Callers and operators match on them, and each code
 * has its own counter, so a code is never renamed or reused.
 */
import {Verdict} from './verdict.js';

/** HTTP representation of a refusal. */
export interface ReasonDetail {
  /** HTTP status of the refusal. */
  readonly status: number;
  /** Short human-readable text. */
  readonly title: string;
  /** Suggested delay in milliseconds before a retry; absent if not useful. */
  readonly retryAfterMs?: number;
}

/** Codes of refusals. */
export const Reason = {
  UNKNOWN_SERVICE: 'unknown-service',
  MALFORMED_REQUEST: 'malformed-request',
  MALFORMED_KEY: 'malformed-key',
  KEY_CONFLICT: 'key-conflict',
  BODY_TOO_LARGE: 'body-too-large',
  BODY_TOO_SLOW: 'body-too-slow',
  BODY_TAKEN: 'body-taken',
  CALLER_GONE: 'caller-gone',
  NO_WORKER: 'no-worker',
  QUEUE_FULL: 'queue-full',
  QUEUE_TIMEOUT: 'queue-timeout',
  CALLS_FAILING: 'calls-failing',
  CALLER_LIMIT: 'caller-limit',
  WORKER_COLD: 'worker-cold',
  WORKER_DRAINING: 'worker-draining',
  WORKER_GONE: 'worker-gone',
  WORKER_SHED: 'worker-shed',
  WRONG_VERSION: 'wrong-version',
  WRONG_INCARNATION: 'wrong-incarnation',
  DATA_CENTRE_OUT: 'data-centre-out',
  NODE_STOPPING: 'node-stopping',
  SEALED: 'sealed',
  QUARANTINED: 'quarantined',
  NOT_KEY_HOME: 'not-key-home',
  KEY_HOME_STALE: 'key-home-stale',
  KEY_IN_DOUBT: 'key-in-doubt',
  KEY_MEMORY_FULL: 'key-memory-full',
  ANSWER_NOT_KEPT: 'answer-not-kept',
  UNREACHABLE: 'unreachable',
  CONNECTION_LOST: 'connection-lost',
  CONNECTION_SILENT: 'connection-silent',
  WRONG_ANSWER: 'wrong-answer',
  TRUNCATED_ANSWER: 'truncated-answer',
  DEADLINE_EXCEEDED: 'deadline-exceeded',
  INTERNAL: 'internal',
} as const;

export type Reason = (typeof Reason)[keyof typeof Reason];

/** HTTP status, text and retry delay of each refusal, by code. */
export const REASON_DETAILS: Readonly<Record<Reason, ReasonDetail>> = {
  'unknown-service': {status: 404, title: 'No such service'},
  'malformed-request': {status: 400, title: 'Malformed request'},
  'malformed-key': {status: 400, title: 'Malformed idempotency key'},
  'key-conflict': {status: 422, title: 'Key used with another request'},
  'body-too-large': {status: 413, title: 'Body too large'},
  'body-too-slow': {status: 408, title: 'Body arrived too slowly'},
  'body-taken': {status: 502, title: 'Body went to another attempt'},
  'caller-gone': {status: 499, title: 'Caller closed the connection'},
  'no-worker': {status: 503, title: 'No worker', retryAfterMs: 1000},
  'queue-full': {status: 503, title: 'Queue full', retryAfterMs: 1000},
  'queue-timeout': {status: 503, title: 'Queue timeout', retryAfterMs: 1000},
  'calls-failing': {
    status: 503,
    title: 'Calls that the request makes fail',
    retryAfterMs: 1000,
  },
  'caller-limit': {status: 429, title: 'Caller limit', retryAfterMs: 1000},
  'worker-cold': {status: 503, title: 'Worker is cold', retryAfterMs: 1000},
  'worker-draining': {status: 503, title: 'Worker drains', retryAfterMs: 0},
  'worker-gone': {status: 503, title: 'Worker gone', retryAfterMs: 1000},
  'worker-shed': {status: 503, title: 'Worker shed load', retryAfterMs: 1000},
  'wrong-version': {status: 503, title: 'Wrong version', retryAfterMs: 0},
  'wrong-incarnation': {status: 503, title: 'Node restarted', retryAfterMs: 0},
  'data-centre-out': {status: 503, title: 'Data centre out', retryAfterMs: 0},
  'node-stopping': {status: 503, title: 'Node is stopping', retryAfterMs: 0},
  sealed: {status: 503, title: 'Attempt was sealed', retryAfterMs: 0},
  quarantined: {status: 422, title: 'Request crashes workers'},
  'not-key-home': {status: 503, title: 'Not home of the key', retryAfterMs: 0},
  'key-home-stale': {
    status: 503,
    title: 'Key home has no recent word of the log',
    retryAfterMs: 2000,
  },
  'key-in-doubt': {status: 504, title: 'Key may have run at a lost home'},
  'key-memory-full': {
    status: 503,
    title: 'Key home remembers as many keys as it may',
    retryAfterMs: 5000,
  },
  'answer-not-kept': {
    status: 409,
    title: 'Request ran before; its answer was too large to keep',
  },
  unreachable: {status: 502, title: 'Upstream unreachable', retryAfterMs: 1000},
  'connection-lost': {status: 502, title: 'Connection lost'},
  'connection-silent': {status: 504, title: 'Connection went silent'},
  'wrong-answer': {status: 502, title: 'Answer of another request'},
  'truncated-answer': {status: 502, title: 'Answer was cut'},
  'deadline-exceeded': {status: 504, title: 'Deadline exceeded'},
  internal: {status: 500, title: 'Internal error'},
};

const REASONS = new Set<string>(Object.values(Reason));

/** Reads a reason from a header value; `internal` if it is unknown. */
export function readReason(text: string | undefined): Reason {
  return text !== undefined && REASONS.has(text)
    ? (text as Reason)
    : Reason.INTERNAL;
}

/** A refusal of a request, with a verdict whether the request may have run. */
export class RefusalError extends Error {
  constructor(
    readonly reason: Reason,
    readonly verdict: Verdict = Verdict.NOT_RUN,
    readonly detail: string = '',
    readonly retryAfterMs: number | undefined = REASON_DETAILS[reason]
      .retryAfterMs,
  ) {
    super(`${reason} (${verdict})${detail ? `: ${detail}` : ''}`);
    this.name = 'RefusalError';
  }
}

/** Converts an error to a refusal; an unknown error means `may-have-run`. */
export function toRefusal(error: unknown): RefusalError {
  if (error instanceof RefusalError) return error;
  return new RefusalError(Reason.INTERNAL, Verdict.MAY_HAVE_RUN, String(error));
}

/**
 * Returns the refusal with its verdict changed from `not-run` to `may-have-run`
 * if an attempt of the request may have run.
 */
export function markMayHaveRun(
  refusal: RefusalError,
  mayHaveRun: boolean,
): RefusalError {
  if (!mayHaveRun || refusal.verdict !== Verdict.NOT_RUN) return refusal;
  const {reason, detail, retryAfterMs} = refusal;
  return new RefusalError(reason, Verdict.MAY_HAVE_RUN, detail, retryAfterMs);
}

/** Body of a refusal, `application/problem+json` as in RFC 9457. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly reason: Reason;
  readonly verdict: Verdict;
  readonly detail?: string;
  readonly requestId?: string;
}

/** Builds the problem body of a refusal. */
export function createProblem(
  refusal: RefusalError,
  requestId: string | undefined,
): Problem {
  const {status, title} = REASON_DETAILS[refusal.reason];
  return {
    type: `urn:sequoiaspool:reason:${refusal.reason}`,
    title,
    status,
    reason: refusal.reason,
    verdict: refusal.verdict,
    ...(refusal.detail ? {detail: refusal.detail} : {}),
    ...(requestId ? {requestId} : {}),
  };
}
