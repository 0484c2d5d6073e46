/**
 * What a gate and its upstream say to each other beside plain HTTP. The
 * product's own form stands here; an adapter may bring another one.
 */
import * as headerNames from '../protocol/headers.js';
import {Reason} from '../protocol/reasons.js';
import type {Headers, ServiceRequest} from '../protocol/service-request.js';
import {readVerdict, Verdict} from '../protocol/verdict.js';
import type {ProbeAnswer, UpstreamFigures} from '../protocol/worker-load.js';
import {findHeader} from './message-headers.js';

const SERVICE_UNAVAILABLE = 503;

/** Why an upstream's response is no answer to the request. */
export interface AnswerFault {
  readonly reason: Reason;
  readonly verdict: Verdict;
  readonly detail: string;
}

/** The form in which a gate and its upstream speak. */
export interface UpstreamProtocol {
  /** Headers of a request as the upstream gets it. */
  buildHeaders(request: ServiceRequest): Headers;
  buildProbeHeaders(): Headers;
  /** Tells whether a response is a refusal or belongs to another request. */
  findFault(
    request: ServiceRequest,
    status: number,
    headers: Headers,
  ): AnswerFault | undefined;
  readSignature(headers: Headers): string | undefined;
  /** The figures that the upstream told of itself, if any. */
  readFigures(headers: Headers): UpstreamFigures | undefined;
  readProbe(status: number, headers: Headers): ProbeAnswer;
}

/** The product's own form. */
export const OWN_UPSTREAM_PROTOCOL: UpstreamProtocol = {
  buildHeaders: request => {
    const remainingMs = Math.max(1, request.deadline - performance.now());
    return {
      ...request.headers,
      [headerNames.TIME_LIMIT]: String(Math.round(remainingMs)),
    };
  },
  buildProbeHeaders: () => ({[headerNames.PROBE]: '1'}),
  findFault: (request, status, headers) =>
    findWrongOwner(request, headers) ?? findShed(status, headers),
  readSignature: () => undefined,
  readFigures: () => undefined,
  readProbe: status => ({status}),
};

/**
 * A worker that answers out of turn would hand one caller's answer to another;
 * one that echoes the request id can be caught at it.
 */
function findWrongOwner(
  request: ServiceRequest,
  headers: Headers,
): AnswerFault | undefined {
  const echoed = findHeader(headers, headerNames.REQUEST_ID);
  if (echoed === undefined || echoed === request.id) return undefined;
  return {
    reason: Reason.WRONG_ANSWER,
    verdict: Verdict.MAY_HAVE_RUN,
    detail: `worker answered request ${echoed}`,
  };
}

function findShed(status: number, headers: Headers): AnswerFault | undefined {
  const isShed =
    status === SERVICE_UNAVAILABLE &&
    readVerdict(findHeader(headers, headerNames.VERDICT)) === Verdict.NOT_RUN;
  if (!isShed) return undefined;
  return {
    reason: Reason.WORKER_SHED,
    verdict: Verdict.NOT_RUN,
    detail: 'worker shed',
  };
}
