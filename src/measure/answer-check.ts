/**
 * Judges answers. An answer is the caller's own when it echoes the request id,
 * the path, the key and the digest of what was sent; anything else that came
 * as a whole answer is a fault of the system.
 */
import {REASON, VERDICT} from '../protocol/headers.js';
import type {CallBody} from './call-body.js';
import type {ScheduledCall} from './load-plan.js';

const OK = 200;

/** What one answer was. */
export type Judgement =
  | {readonly kind: 'right'}
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly verdict: string;
    }
  /** The upstream's own error, passed on. */
  | {readonly kind: 'upstream-error'; readonly status: number}
  /** Not the answer to this call. */
  | {readonly kind: 'wrong'; readonly detail: string}
  /** Passed off as whole although a part is missing. */
  | {readonly kind: 'truncated'; readonly detail: string};

/** An answer whose body was received without an error of the connection. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Judges one answer against the call that it came for. */
export function checkAnswer(
  call: ScheduledCall,
  body: CallBody | undefined,
  answer: ReceivedAnswer,
): Judgement {
  const reason = answer.headers[REASON];
  const fields = parseFields(answer.text);
  if (!fields) return {kind: 'truncated', detail: `body "${answer.text}"`};
  if (typeof reason === 'string') {
    const verdict = String(answer.headers[VERDICT] ?? '');
    if (fields['requestId'] === call.id) {
      return {kind: 'refused', reason, verdict};
    }
    return buildWrong('requestId', call.id, fields['requestId']);
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
): Judgement {
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
    if (fields[name] !== value) return buildWrong(name, value, fields[name]);
  }
  return {kind: 'right'};
}

function buildWrong(
  name: string,
  expected: unknown,
  received: unknown,
): Judgement {
  const detail = `${name}: ${String(received)} in place of ${String(expected)}`;
  return {kind: 'wrong', detail};
}

function parseFields(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
