/**
 * What a failed attempt means for a retry. A refusal because the worker is
 * leaving or gone costs nothing, since no worker did anything; a refusal for
 * load or a failure draws on the budget, and so does one for a worker that
 * fails, or calls would go round all nodes when all workers fail.
 */
import type {AttemptError} from '../protocol/attempt.js';
import type {Reason} from '../protocol/reasons.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import {isResendable} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import {WorkerState} from '../protocol/worker-load.js';

const FREE = 0;
const FULL = 1;

/**
 * Part of the time to the target that goes to asking gates in vain. Refusals
 * come the later the busier the nodes are, and each uses up two processors.
 */
const ASKING_PART = 0.04;

/** Refusals of a gate that found no room; its worker noticed nothing. */
const ROOM_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  'worker-cold',
  'queue-full',
  'queue-timeout',
  'caller-limit',
]);

/** Budget tokens that a retry after each reason costs; absent: no retry. */
const RETRY_COSTS: Readonly<Partial<Record<Reason, number>>> = {
  'worker-draining': FREE,
  'worker-gone': FREE,
  'wrong-version': FREE,
  'wrong-incarnation': FREE,
  'data-centre-out': FREE,
  'node-stopping': FREE,
  sealed: FREE,
  unreachable: FREE,
  'connection-silent': FULL,
  'worker-cold': FULL,
  'queue-full': FULL,
  'queue-timeout': FULL,
  'caller-limit': FULL,
  'worker-shed': FULL,
  'connection-lost': FULL,
  'wrong-answer': FULL,
  'truncated-answer': FULL,
};

/** Answers of an upstream after which an idempotent request is tried again. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** Whether a request refused for want of room may ask another gate. */
export function hasTimeToAsk(
  request: Pick<ServiceRequest, 'targetAt' | 'isNested'>,
  startedAt: number,
  now: number,
): boolean {
  const {targetAt, isNested} = request;
  if (targetAt === undefined || isNested) return true;
  return now - startedAt <= ASKING_PART * (targetAt - startedAt);
}

/** Whether a gate refused only because it found no room. */
export function isRoomRefusal({reason}: AttemptError): boolean {
  return ROOM_REASONS.has(reason);
}

/** Cost of a retry after an answer of this status; undefined: no retry. */
export function findStatusRetryCost(
  request: ServiceRequest,
  status: number,
): number | undefined {
  const isRetried = request.idempotent && RETRIED_STATUSES.has(status);
  return isRetried && isResendable(request) ? FULL : undefined;
}

/**
 * Cost of a retry after this error; undefined when it would not be safe, or
 * when a free one would come too late.
 */
export function findRetryCost(
  request: ServiceRequest,
  error: AttemptError,
  paysForRefusals: boolean,
  hasTime: boolean,
): number | undefined {
  const isSafe = error.verdict === Verdict.NOT_RUN || request.idempotent;
  if (!isSafe || !isResendable(request)) return undefined;
  const isFree = !paysForRefusals && isRoomRefusal(error);
  if (isFree && !hasTime) return undefined;
  const cost = isFree ? FREE : RETRY_COSTS[error.reason];
  const isFailing = error.load?.state === WorkerState.FAILING;
  return cost === FREE && isFailing && paysForRefusals ? FULL : cost;
}
