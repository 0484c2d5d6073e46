/**
 * Listener for other nodes. It serves attempts over plain HTTP and passes all
 * other messages to a handler of the node, such as one for Connect calls. An
 * attempt is acknowledged repeatedly while it runs, so that its sender can tell a
 * silent connection from a slow worker.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AttemptAnswer} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import {MAX_HEADER_BYTES} from '../protocol/configuration.js';
import * as headerNames from '../protocol/headers.js';
import {Reason, RefusalError, toRefusal} from '../protocol/reasons.js';
import type {
  Body,
  Headers,
  ServiceRequest,
} from '../protocol/service-request.js';
import {EMPTY_BODY, readHeldBody} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import {formatWorkerLoad} from '../protocol/worker-load.js';
import {writeAnswer, writeRefusal} from './answer-writer.js';
import {BodyPauseTimer} from './body-pause-timer.js';
import {ATTEMPT_PATH} from './gate-client.js';
import {watchHeldBody} from './limits/counted-message.js';
import {createOrderedServer} from './limits/ordered-server.js';
import {copyEndToEndHeaders, findHeader} from './message-headers.js';
import {parseTarget} from './request-reader.js';
import {runUnlessClosed} from './run-after-reads.js';

/** The largest headers of a caller, and those that the entry adds. */
const MAX_PEER_HEADER_BYTES = MAX_HEADER_BYTES + 32 * 1024;
const KEEP_ALIVE_TIMEOUT_MS = 120_000;
/** Longest pause within the start of a body, which its sender has at hand. */
const MAX_BODY_PAUSE_MS = 10_000;

/** An attempt as a gate receives it. */
export interface ReceivedAttempt {
  readonly id: string;
  readonly entryNodeId: string;
  /** Incarnation of the gate that the entry sent the attempt to. */
  readonly incarnation: number;
  readonly version?: string;
  readonly keyHomeEpoch?: number;
  readonly request: ServiceRequest;
}

/** Handlers that the listener passes attempts and calls to. */
export interface PeerHandlers {
  /** Runs an attempt; calls `handleAdmitted` when it has a slot. */
  handleAttempt(
    attempt: ReceivedAttempt,
    signal: AbortSignal,
    handleAdmitted: () => void,
  ): Promise<AttemptAnswer>;
  /** Serves messages other than attempts. */
  readonly handleCall: (
    message: IncomingMessage,
    response: ServerResponse,
  ) => void;
  /** Milliseconds between acknowledgements; below half of senders' timeout. */
  readonly acknowledgeIntervalMs: number;
}

/** Creates the server without starting to listen. */
export function createPeerServer(handlers: PeerHandlers): Server {
  return createOrderedServer(
    {
      maxHeaderSize: MAX_PEER_HEADER_BYTES,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (message, response) => {
      if (message.url?.startsWith(ATTEMPT_PATH)) {
        runUnlessClosed(message.socket, () => {
          void serveAttempt(handlers, message, response);
        });
      } else {
        handlers.handleCall(message, response);
      }
    },
  );
}

async function serveAttempt(
  handlers: PeerHandlers,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const id = findHeader(message.headers as Headers, headerNames.ATTEMPT_ID);
  const extra: Headers = {[headerNames.ATTEMPT_ID]: id ?? ''};
  const abort = new AbortController();
  const stopAcknowledging = sendAcknowledgements(
    response,
    handlers.acknowledgeIntervalMs,
  );
  response.once('close', () => {
    stopAcknowledging();
    if (!response.writableFinished) {
      abort.abort(new RefusalError(Reason.CALLER_GONE));
    }
  });
  response.on('error', () => {});
  try {
    const isStreamed = message.headers[headerNames.STREAMED] !== undefined;
    if (isStreamed) sendAcknowledgement(response);
    const attempt = await readAttempt(message);
    const answer = await handlers.handleAttempt(attempt, abort.signal, () => {
      if (isStreamed) sendAdmission(response);
    });
    stopAcknowledging();
    addLoadHeader(extra, answer.load);
    if (answer.version) extra[headerNames.SERVICE_VERSION] = answer.version;
    if (answer.signature !== undefined) {
      extra[headerNames.PEER_SIGNATURE] = answer.signature;
    }
    extra[headerNames.VERDICT] = Verdict.RAN;
    if (hasUnreadBody(message)) response.shouldKeepAlive = false;
    await writeAnswer(response, answer, extra);
  } catch (error) {
    stopAcknowledging();
    if (hasUnreadBody(message)) response.shouldKeepAlive = false;
    const refusal = toRefusal(error);
    if (refusal instanceof AttemptError) addLoadHeader(extra, refusal.load);
    if (refusal.retryAfterMs !== undefined) {
      extra[headerNames.PEER_RETRY_AFTER] = String(refusal.retryAfterMs);
    }
    writeRefusal(response, refusal, undefined, extra);
  }
}

/**
 * Whether a part of a body is unread when its answer is written. Behind it, a
 * kept connection would not be read any more.
 */
function hasUnreadBody(message: IncomingMessage): boolean {
  return !message.complete || message.readableLength > 0;
}

/** Sends acknowledgements until the returned function is called. */
function sendAcknowledgements(
  response: ServerResponse,
  intervalMs: number,
): () => void {
  const timer = setInterval(() => sendAcknowledgement(response), intervalMs);
  return () => clearInterval(timer);
}

function sendAcknowledgement(response: ServerResponse): void {
  if (!response.headersSent && !response.destroyed) response.writeProcessing();
}

/** Asks for the rest of the body by a 103 response; its link has no meaning. */
function sendAdmission(response: ServerResponse): void {
  if (response.headersSent || response.destroyed) return;
  response.writeEarlyHints({link: '</>; rel=admitted'});
}

function addLoadHeader(headers: Headers, load: WorkerLoad | undefined): void {
  if (load) headers[headerNames.WORKER_LOAD] = formatWorkerLoad(load);
}

async function readAttempt(message: IncomingMessage): Promise<ReceivedAttempt> {
  const target = parseTarget(
    (message.url ?? '').slice(ATTEMPT_PATH.length - 1),
  );
  const received = message.headers as Headers;
  const find = (name: string): string => findHeader(received, name) ?? '';
  const now = performance.now();
  const remainingMs = Number(find(headerNames.PEER_REMAINING)) || 0;
  const deadline = now + remainingMs;
  const targetMs = find(headerNames.PEER_TARGET);
  const hasBody =
    received['transfer-encoding'] !== undefined ||
    (received['content-length'] ?? '0') !== '0';
  const version = find(headerNames.SERVICE_VERSION);
  const epoch = find(headerNames.KEY_HOME_EPOCH);
  const key = find(headerNames.IDEMPOTENCY_KEY);
  const idempotent = find(headerNames.IDEMPOTENT) === '1';
  const body = hasBody ? await readBodyStart(message) : EMPTY_BODY;
  watchHeldBody(message, body.held.length);
  return {
    id: find(headerNames.ATTEMPT_ID),
    entryNodeId: find(headerNames.ENTRY_NODE),
    incarnation: Number(find(headerNames.GATE_INCARNATION)),
    ...(version ? {version} : {}),
    ...(epoch ? {keyHomeEpoch: Number(epoch)} : {}),
    request: {
      id: find(headerNames.PEER_REQUEST_ID),
      service: target.service,
      method: message.method ?? 'GET',
      path: target.path,
      headers: copyEndToEndHeaders(received),
      caller: find(headerNames.PEER_CALLER),
      deadline,
      route: find(headerNames.ROUTE),
      idempotent,
      rank: Number(find(headerNames.PEER_RANK)) || 0,
      ...(find(headerNames.NESTED) === '1' ? {isNested: true} : {}),
      ...(find(headerNames.BULK) === '1' ? {isBulk: true} : {}),
      ...(targetMs ? {targetAt: now + Number(targetMs)} : {}),
      ...(key && !idempotent ? {key} : {}),
      fingerprint: find(headerNames.FINGERPRINT),
      body,
    },
  };
}

/**
 * Reads the buffered start of a body. Acknowledgements keep the connection
 * active meanwhile, so that a sender that is silent would keep it for good.
 *
 * @throws RefusalError with reason `body-too-slow`.
 */
async function readBodyStart(message: IncomingMessage): Promise<Body> {
  const pauseTimer = new BodyPauseTimer(message, MAX_BODY_PAUSE_MS);
  try {
    return await Promise.race([readHeldBody(message), pauseTimer.failed]);
  } finally {
    pauseTimer.stop();
  }
}
