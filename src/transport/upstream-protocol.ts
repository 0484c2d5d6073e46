/**
 * Protocol between a gate and its upstream on top of HTTP: the headers of
 * requests, refusals, load reports and probes. This module has the default
 * protocol; an adapter may replace it.
 */
import * as headerNames from '../protocol/headers.js';
import {Reason} from '../protocol/reasons.js';
import type {Headers, ServiceRequest} from '../protocol/service-request.js';
import {readVerdict, Verdict} from '../protocol/verdict.js';
import type {ProbeAnswer, UpstreamLoadReport} from '../protocol/worker-load.js';
import {findHeader} from './message-headers.js';

const SERVICE_UNAVAILABLE = 503;

/** Describes why an upstream's response is not an answer to the request. */
export interface AnswerFault {
  readonly reason: Reason;
  readonly verdict: Verdict;
  readonly detail: string;
}

/** Builds requests to an upstream and interprets its responses. */
export interface UpstreamProtocol {
  /** Builds the headers of a request to the upstream. */
  buildHeaders(request: ServiceRequest): Headers;
  buildProbeHeaders(): Headers;
  /**
   * Checks whether a response is a refusal or answers another request.
   *
   * @param isKeptConnection whether the connection may have carried other
   *     requests, so that a response without an id may belong to one of them.
   */
  findFault(
    request: ServiceRequest,
    status: number,
    headers: Headers,
    isKeptConnection: boolean,
  ): AnswerFault | undefined;
  readSignature(headers: Headers): string | undefined;
  /** Reads the load that the upstream reports, if any. */
  readLoadReport(headers: Headers): UpstreamLoadReport | undefined;
  readProbe(status: number, headers: Headers): ProbeAnswer;
}

/** The default protocol, without load reports and signatures. */
export const DEFAULT_UPSTREAM_PROTOCOL: UpstreamProtocol = {
  buildHeaders: request => {
    const remainingMs = Math.max(1, request.deadline - performance.now());
    return {
      ...request.headers,
      [headerNames.TIME_LIMIT]: String(Math.round(remainingMs)),
    };
  },
  buildProbeHeaders: () => ({[headerNames.PROBE]: '1'}),
  findFault: (request, status, headers, isKeptConnection) =>
    findWrongAnswer(request, headers) ??
    findShedRequest(status, headers, isKeptConnection),
  readSignature: () => undefined,
  readLoadReport: () => undefined,
  readProbe: status => ({status}),
};

/**
 * Detects an answer to another request by the request id, if the worker echoes
 * it. Otherwise a worker that mixes up answers would give one caller's answer
 * to another.
 */
function findWrongAnswer(
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

/**
 * Detects a refusal. Without the request's id, one on a kept connection may be
 * an earlier one that the worker repeats.
 */
function findShedRequest(
  status: number,
  headers: Headers,
  isKeptConnection: boolean,
): AnswerFault | undefined {
  const isShed =
    status === SERVICE_UNAVAILABLE &&
    readVerdict(findHeader(headers, headerNames.VERDICT)) === Verdict.NOT_RUN;
  if (!isShed) return undefined;
  const hasId = findHeader(headers, headerNames.REQUEST_ID) !== undefined;
  return {
    reason: Reason.WORKER_SHED,
    verdict:
      hasId || !isKeptConnection ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
    detail: 'worker shed the request',
  };
}
