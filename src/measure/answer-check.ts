/**
 * Checks answers. An answer belongs to a call when it echoes the call's request
 * id, path, idempotency key and body digest; any other complete answer is a
 * fault of the system under test.
 */
import {REASON, VERDICT} from '../protocol/headers.js';
import type {CallBody} from './call-body.js';
import type {ScheduledCall} from './load-plan.js';

const OK = 200;

/** Result of checking one answer. */
export type AnswerResult =
  | {readonly kind: 'right'}
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly verdict: string;
    }
  /** An error of the upstream itself, passed on by the nodes. */
  | {readonly kind: 'upstream-error'; readonly status: number}
  /** The answer to another call. */
  | {readonly kind: 'wrong'; readonly detail: string}
  /** Ended without an error although a part is missing. */
  | {readonly kind: 'truncated'; readonly detail: string};

/** An answer whose body was read to its end without a connection error. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Compares an answer with the call that it was received for. */
export function checkAnswer(
  call: ScheduledCall,
  body: CallBody | undefined,
  answer: ReceivedAnswer,
): AnswerResult {
  const reason = answer.headers[REASON];
  const fields = parseFields(answer.text);
  if (!fields) return {kind: 'truncated', detail: `body "${answer.text}"`};
  if (typeof reason === 'string') {
    const verdict = String(answer.headers[VERDICT] ?? '');
    if (fields['requestId'] === call.id) {
      return {kind: 'refused', reason, verdict};
    }
    return buildMismatch('requestId', call.id, fields['requestId']);
  }
  if (answer.status !== OK) {
    return {kind: 'upstream-error', status: answer.status};
  }
  return checkFields(call, body, fields);
}

function checkFields(
  call: ScheduledCall,
  body: CallBody | undefined,
  fields: Readonly<Record<string, unknown>>,
): AnswerResult {
  const length = fields['length'];
  if (body && typeof length === 'number' && length < body.length) {
    return {kind: 'truncated', detail: `${length} of ${body.length} bytes`};
  }
  const expected: Record<string, unknown> = {
    requestId: call.id,
    path: call.path,
    key: call.key,
    ...(body ? {length: body.length, digest: body.digest} : {}),
  };
  for (const [name, value] of Object.entries(expected)) {
    if (fields[name] !== value) return buildMismatch(name, value, fields[name]);
  }
  return {kind: 'right'};
}

function buildMismatch(
  name: string,
  expected: unknown,
  received: unknown,
): AnswerResult {
  const detail = `${name}: received ${String(received)} instead of ${String(expected)}`;
  return {kind: 'wrong', detail};
}

function parseFields(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
