/**
 * What a node still takes during a planned stop. What the stop would cut off is
 * refused while it is true that it has not run, so that it is sent elsewhere.
 */
import type {NestedCalls} from './coordination/nested-calls.js';
import type {NodeStop} from './node-stop.js';
import {Reason, RefusalError} from './protocol/reasons.js';
import type {ServiceRequest} from './protocol/service-request.js';

/**
 * Checks that an attempt of another node can end before the stop does.
 *
 * @throws RefusalError with reason `node-stopping`.
 */
export function checkAttempt(
  stop: NodeStop,
  {deadline}: Pick<ServiceRequest, 'deadline'>,
): void {
  if (stop.isRefusingAttempts || !stop.hasTimeFor(deadline)) {
    throw new RefusalError(Reason.NODE_STOPPING);
  }
}

/**
 * Checks that a request received from a caller can end before the stop does. A
 * nested call has the time limit of its request, which runs and would fail
 * without it.
 *
 * @throws RefusalError with reason `node-stopping`.
 */
export function checkRequest(
  stop: NodeStop,
  nestedCalls: NestedCalls,
  {deadline, route, awaitedUntil}: ServiceRequest,
): void {
  if (stop.hasTimeFor(deadline)) return;
  const isNested =
    awaitedUntil !== undefined && nestedCalls.isNested(route, awaitedUntil);
  if (!isNested) throw new RefusalError(Reason.NODE_STOPPING);
}
