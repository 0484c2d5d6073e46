/**
 * Writes answers and refusals to an HTTP connection. If the source of an answer
 * fails midway, the connection is destroyed, so that the receiver can't mistake
 * the truncated answer for a complete one.
 */
import type {ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {REASON, REQUEST_ID, VERDICT} from '../protocol/headers.js';
import type {RefusalError} from '../protocol/reasons.js';
import {createProblem, REASON_DETAILS} from '../protocol/reasons.js';
import type {Headers, ServiceAnswer} from '../protocol/service-request.js';

const MS_PER_SECOND = 1000;

/** Writes an answer; rejects when it could not be written completely. */
export async function writeAnswer(
  response: ServerResponse,
  answer: ServiceAnswer,
  extra: Headers,
): Promise<void> {
  const {held, rest} = answer.body;
  const headers: Headers = {...answer.headers, ...extra};
  delete headers['transfer-encoding'];
  if (!rest) {
    const isBodyless = answer.status === 204 || answer.status === 304;
    if (held.length > 0 || (!headers['content-length'] && !isBodyless)) {
      headers['content-length'] = String(held.length);
    }
    response.writeHead(answer.status, headers);
    response.end(held);
    return;
  }
  response.writeHead(answer.status, headers);
  response.write(held);
  const isFramed =
    response.chunkedEncoding || headers['content-length'] !== undefined;
  if (!isFramed) {
    rest.once('error', () => response.socket?.resetAndDestroy());
  }
  try {
    await pipeline(rest, response);
  } catch (error) {
    response.destroy();
    throw error;
  }
}

/** Writes a refusal as `application/problem+json`. */
export function writeRefusal(
  response: ServerResponse,
  refusal: RefusalError,
  requestId: string | undefined,
  extra: Headers,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = JSON.stringify(createProblem(refusal, requestId));
  const headers: Headers = {
    'content-type': 'application/problem+json',
    'content-length': String(Buffer.byteLength(body)),
    [VERDICT]: refusal.verdict,
    [REASON]: refusal.reason,
    ...extra,
  };
  if (requestId) headers[REQUEST_ID] = requestId;
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    headers['retry-after'] = String(seconds);
  }
  response.writeHead(REASON_DETAILS[refusal.reason].status, headers);
  response.end(body);
}
