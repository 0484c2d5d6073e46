/**
 * Calls that seal attempts, over Connect. Each call uses a new connection,
 * because the one that carried the attempt may have failed.
 */
import {create} from '@bufbuild/protobuf';
import type {ServiceImpl} from '@connectrpc/connect';
import {Code, ConnectError, createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Attempt, AttemptAnswer} from '../protocol/attempt.js';
import type {Answer, SealAttemptReply} from '../protocol/attempts_pb.js';
import {
  AnswerSchema,
  AttemptService,
  SealAttemptReplySchema,
} from '../protocol/attempts_pb.js';
import type {Headers} from '../protocol/service-request.js';

/** Time that the gate has for its reply beyond the requested wait. */
const ANSWER_MARGIN_MS = 300;

/** Outcome of an attempt, as sent over the wire. */
export interface SealReply {
  readonly outcome: string;
  readonly answer?: AttemptAnswer;
}

/** A seal call that failed without a reply. */
export class SealCallError extends Error {
  constructor(
    /** Whether the address refused the connection: nothing listens there. */
    readonly isRefused: boolean,
    detail: string,
  ) {
    super(detail);
    this.name = 'SealCallError';
  }
}

/**
 * Asks a gate to seal an attempt, or to return its answer if it has one.
 *
 * @throws SealCallError
 */
export async function askSealAttempt(
  attempt: Attempt,
  waitMs: number,
): Promise<SealReply> {
  const transport = createConnectTransport({
    baseUrl: `http://${attempt.target.peerAddress}`,
    httpVersion: '1.1',
    useBinaryFormat: true,
    nodeOptions: {agent: false},
    // Connect accepts only whole milliseconds.
    defaultTimeoutMs: Math.ceil(waitMs) + ANSWER_MARGIN_MS,
  });
  try {
    const reply = await createClient(AttemptService, transport).sealAttempt({
      attemptId: attempt.id,
      incarnation: attempt.target.incarnation,
      waitMs,
    });
    return {
      outcome: reply.outcome,
      ...(reply.answer ? {answer: readAnswer(reply.answer)} : {}),
    };
  } catch (error) {
    const {code, message} = ConnectError.from(error);
    const isRefused = code === Code.Unavailable && /ECONNREFUSED/.test(message);
    throw new SealCallError(isRefused, message);
  }
}

/** Creates the gate's handler of seal calls. */
export function createSealHandler(
  incarnation: number,
  seal: (attemptId: string, waitMs: number) => Promise<SealReply>,
): ServiceImpl<typeof AttemptService>['sealAttempt'] {
  return async request => {
    if (request.incarnation !== incarnation) {
      return buildReply({outcome: 'may-have-run'});
    }
    return buildReply(await seal(request.attemptId, request.waitMs));
  };
}

function buildReply(reply: SealReply): SealAttemptReply {
  return create(SealAttemptReplySchema, {
    outcome: reply.outcome,
    ...(reply.answer ? {answer: buildAnswer(reply.answer)} : {}),
  });
}

/** Converts a buffered answer to its wire message. */
export function buildAnswer(answer: AttemptAnswer): Answer {
  const headers = Object.entries(answer.headers).flatMap(([name, value]) =>
    [value].flat().flatMap(item => [name, item]),
  );
  const {status, body} = answer;
  return create(AnswerSchema, {status, headers, body: body.held});
}

/** Converts a wire message to a buffered answer. */
export function readAnswer(answer: Answer): AttemptAnswer {
  const headers: Headers = {};
  for (let index = 0; index + 1 < answer.headers.length; index += 2) {
    const name = answer.headers[index]!;
    const value = answer.headers[index + 1]!;
    const existing = headers[name];
    headers[name] = existing === undefined ? value : [existing, value].flat();
  }
  return {
    status: answer.status,
    headers,
    body: {held: Buffer.from(answer.body)},
  };
}
