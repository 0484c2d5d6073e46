/**
 * Rules for retries after a failed attempt. A retry after a refusal because the
 * worker is leaving or gone is free, since no worker did any work. A retry
 * after a failure or a refusal for load draws on the budget. So does a retry
 * after a refusal by a failing worker; otherwise calls would try every node
 * when all workers fail.
 */
import type {AttemptError} from '../../protocol/attempt.js';
import type {Reason} from '../../protocol/reasons.js';
import type {ServiceRequest} from '../../protocol/service-request.js';
import {isResendable} from '../../protocol/service-request.js';
import {Verdict} from '../../protocol/verdict.js';
import {WorkerState} from '../../protocol/worker-load.js';

const FREE_COST = 0;
const FULL_COST = 1;

/**
 * Fraction of the target latency within which a refused request may be sent to
 * another gate. Refusals take longer the busier the nodes are, and each costs
 * processor time at both the entry and the gate.
 */
const RETRY_TIME_FRACTION = 0.04;

/** Refusals by a gate without free capacity; they do not reach the worker. */
const CAPACITY_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  'worker-cold',
  'queue-full',
  'queue-timeout',
  'caller-limit',
]);

/** Budget tokens that a retry costs by reason; no retry for others. */
const RETRY_COSTS: Readonly<Partial<Record<Reason, number>>> = {
  'worker-draining': FREE_COST,
  'worker-gone': FREE_COST,
  'wrong-version': FREE_COST,
  'wrong-incarnation': FREE_COST,
  'data-centre-out': FREE_COST,
  'node-stopping': FREE_COST,
  sealed: FREE_COST,
  unreachable: FREE_COST,
  'connection-silent': FULL_COST,
  'worker-cold': FULL_COST,
  'queue-full': FULL_COST,
  'queue-timeout': FULL_COST,
  'caller-limit': FULL_COST,
  'worker-shed': FULL_COST,
  'connection-lost': FULL_COST,
  'wrong-answer': FULL_COST,
  'truncated-answer': FULL_COST,
};

/** Upstream statuses after which an idempotent request is retried. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/**
 * Whether a request refused for lack of capacity may be sent to another gate.
 * Times are on the clock of `performance.now()`.
 */
export function hasTimeToRetryRefusal(
  request: Pick<ServiceRequest, 'targetAt' | 'isNested'>,
  startedAt: number,
  now: number,
): boolean {
  const {targetAt, isNested} = request;
  if (targetAt === undefined || isNested) return true;
  return now - startedAt <= RETRY_TIME_FRACTION * (targetAt - startedAt);
}

/** Whether a gate refused only because it had no free capacity. */
export function isCapacityRefusal({reason}: AttemptError): boolean {
  return CAPACITY_REASONS.has(reason);
}

/** Returns the tokens for a retry after a status; undefined for no retry. */
export function findStatusRetryCost(
  request: ServiceRequest,
  status: number,
): number | undefined {
  const isRetried = request.idempotent && RETRIED_STATUSES.has(status);
  return isRetried && isResendable(request) ? FULL_COST : undefined;
}

/**
 * Returns the tokens for a retry after an error; undefined when a retry would
 * not be safe, or when a free retry would come too late.
 */
export function findRetryCost(
  request: ServiceRequest,
  error: AttemptError,
  paysForRefusals: boolean,
  hasTime: boolean,
): number | undefined {
  const isSafe = error.verdict === Verdict.NOT_RUN || request.idempotent;
  if (!isSafe || !isResendable(request)) return undefined;
  const isFree = !paysForRefusals && isCapacityRefusal(error);
  if (isFree && !hasTime) return undefined;
  const cost = isFree ? FREE_COST : RETRY_COSTS[error.reason];
  const isFailing = error.load?.state === WorkerState.FAILING;
  return cost === FREE_COST && isFailing && paysForRefusals ? FULL_COST : cost;
}
