/**
 * A lookup as a gate receives it, for tests that do not depend on its content.
 */
import type {ServiceRequest} from '../../protocol/service-request.js';
import {EMPTY_BODY} from '../../protocol/service-request.js';

/** Creates an idempotent request without a body. */
export function createLookup(deadline = Infinity): ServiceRequest {
  return {
    id: 'request-1',
    service: 'kona-desk',
    method: 'GET',
    path: '/tickets/1',
    headers: {},
    caller: 'mender',
    deadline,
    route: 'tickets',
    idempotent: true,
    rank: 0,
    fingerprint: '',
    body: EMPTY_BODY,
  };
}
