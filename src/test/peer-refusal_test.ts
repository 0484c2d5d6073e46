/**
 * All fields of a gate's refusal reach the entry. Under high load, the time
 * until a gate has capacity differs between gates, so the entry passes the
 * gate's own retry delay on to the caller.
 */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import type {Attempt, AttemptError} from '../protocol/attempt.js';
import {REASON_DETAILS, Reason, RefusalError} from '../protocol/reasons.js';
import {Verdict} from '../protocol/verdict.js';
import {GateClient} from '../transport/gate-client.js';
import {createPeerServer} from '../transport/peer-listener.js';
import {createLookup} from './stand-ins/lookup.js';

const LONG_TIMEOUT_MS = 10_000;
const DEFAULT_RETRY_AFTER_MS =
  REASON_DETAILS[Reason.QUEUE_TIMEOUT].retryAfterMs;

let server: Server | undefined;
let client: GateClient | undefined;

afterEach(async () => {
  await client?.close();
  server?.close();
});

function sendRefused(refusal: RefusalError): Promise<AttemptError> {
  const peerServer = createPeerServer({
    handleAttempt: async () => {
      throw refusal;
    },
    handleCall: (message, response) => void response.end(),
    acknowledgeIntervalMs: LONG_TIMEOUT_MS,
  });
  return sendTo(peerServer);
}

/** Sends an attempt to a server and resolves with its failure. */
async function sendTo(listening: Server): Promise<AttemptError> {
  server = listening;
  await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve));
  const {port} = listening.address() as AddressInfo;
  client = new GateClient('desk-0', {
    maxPerNode: 1,
    connectTimeout: LONG_TIMEOUT_MS,
    acknowledgeTimeout: LONG_TIMEOUT_MS,
    acknowledgeInterval: LONG_TIMEOUT_MS,
    idleTimeout: LONG_TIMEOUT_MS,
  });
  const attempt: Attempt = {
    id: 'attempt-1',
    target: {
      nodeId: 'desk-1',
      incarnation: 1,
      peerAddress: `127.0.0.1:${port}`,
    },
    request: createLookup(performance.now() + LONG_TIMEOUT_MS),
  };
  const {signal} = new AbortController();
  return client
    .sendAttempt(attempt, signal, () => true)
    .then(
      () => expect.fail('was answered'),
      (error: AttemptError) => error,
    );
}

it.each([
  {name: 'a delay', retryAfterMs: 45, expected: 45},
  {name: 'no delay', retryAfterMs: 0, expected: 0},
  {
    name: 'the default',
    retryAfterMs: undefined,
    expected: DEFAULT_RETRY_AFTER_MS,
  },
])('the entry receives the retry delay of a refusal: $name', async testCase => {
  const {retryAfterMs, expected} = testCase;
  const refusal = new RefusalError(
    Reason.QUEUE_TIMEOUT,
    Verdict.NOT_RUN,
    'running 4 of 4',
    retryAfterMs,
  );
  const error = await sendRefused(refusal);
  expect(error).toMatchObject({
    reason: 'queue-timeout',
    verdict: 'not-run',
    detail: 'running 4 of 4',
    retryAfterMs: expected,
  });
});

it.each([400, 408, 413, 417, 421, 429, 431, 503])(
  'a %i of the HTTP layer of another node is not for the caller',
  async status => {
    const failing = createServer((message, response) => {
      response.writeHead(status, {connection: 'close'}).end();
    });
    expect(await sendTo(failing)).toMatchObject({
      reason: 'wrong-answer',
      verdict: 'may-have-run',
    });
  },
);
