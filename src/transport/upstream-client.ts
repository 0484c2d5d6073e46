/**
 * Sends requests of the gate to the worker beside it. Idempotent requests use
 * kept connections; others get a connection of their own, because a kept one
 * may be closed by the worker at the very moment of sending, which would leave
 * doubt about a request that must not run twice.
 *
 * A worker does not acknowledge requests, so a connection that went silent
 * looks like a slow worker; hedging at the entry covers both.
 */
import {Client, Pool} from 'undici';
import type {AttemptAnswer} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import * as headerNames from '../protocol/headers.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {Headers, ServiceRequest} from '../protocol/service-request.js';
import {readHeldBody} from '../protocol/service-request.js';
import {readVerdict, Verdict} from '../protocol/verdict.js';
import type {ExchangeResponse} from './http-exchange.js';
import {ExchangeError, runExchange} from './http-exchange.js';
import {copyEndToEndHeaders, findHeader} from './message-headers.js';

const SERVICE_UNAVAILABLE = 503;
const IDLE_TIMEOUT_MS = 10_000;

/** Connections to one worker. */
export class UpstreamClient {
  private readonly pool: Pool;
  private readonly origin: string;

  constructor(
    address: string,
    slots: number,
    private readonly connectTimeoutMs: number,
  ) {
    this.origin = `http://${address}`;
    this.pool = new Pool(this.origin, {
      connections: slots,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connect: {timeout: connectTimeoutMs},
    });
  }

  /**
   * Runs a request on the worker.
   *
   * @throws AttemptError; `not-run` only when no byte was sent or the worker
   *     said so in the agreed form.
   */
  async sendRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    if (request.idempotent) return this.send(this.pool, request, signal);
    const client = this.openClient();
    try {
      return await this.send(client, request, signal);
    } finally {
      void client.close();
    }
  }

  /**
   * Asks the worker's health path. Resolves with the HTTP status.
   *
   * @throws AttemptError when no answer came.
   */
  async sendProbe(path: string, signal: AbortSignal): Promise<number> {
    const client = this.openClient();
    try {
      const response = await runExchange(
        client,
        {
          method: 'GET',
          path,
          headers: {[headerNames.PROBE]: '1'},
          body: null,
        },
        signal,
      );
      response.body.on('error', () => {}).resume();
      return response.status;
    } catch (error) {
      throw buildUpstreamError(error);
    } finally {
      void client.close();
    }
  }

  /** Closes kept connections once their requests have ended. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  private openClient(): Client {
    return new Client(this.origin, {
      pipelining: 1,
      connect: {timeout: this.connectTimeoutMs},
    });
  }

  private async send(
    dispatcher: Client | Pool,
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    try {
      const response = await runExchange(
        dispatcher,
        {
          method: request.method,
          path: request.path,
          headers: buildHeaders(request),
          body: buildBody(request),
        },
        signal,
      );
      return await readUpstreamAnswer(request, response);
    } catch (error) {
      if (error instanceof AttemptError) throw error;
      throw buildUpstreamError(error);
    }
  }
}

function buildHeaders(request: ServiceRequest): Headers {
  const remainingMs = Math.max(1, request.deadline - performance.now());
  return {
    ...request.headers,
    [headerNames.TIME_LIMIT]: String(Math.round(remainingMs)),
  };
}

function buildBody(
  request: ServiceRequest,
): Buffer | AsyncIterable<Buffer> | null {
  const {held, rest} = request.body;
  if (!rest) return held.length > 0 ? held : null;
  return (async function* sendBody() {
    yield held;
    yield* rest as AsyncIterable<Buffer>;
  })();
}

async function readUpstreamAnswer(
  request: ServiceRequest,
  response: ExchangeResponse,
): Promise<AttemptAnswer> {
  const {headers, status} = response;
  checkOwner(request, response);
  const isShed =
    status === SERVICE_UNAVAILABLE &&
    readVerdict(findHeader(headers, headerNames.VERDICT)) === Verdict.NOT_RUN;
  if (isShed) {
    response.body.on('error', () => {}).resume();
    throw new AttemptError(Reason.WORKER_SHED, Verdict.NOT_RUN, 'worker shed');
  }
  try {
    const body = await readHeldBody(response.body);
    return {status, headers: copyEndToEndHeaders(headers), body};
  } catch (error) {
    throw new AttemptError(
      Reason.TRUNCATED_ANSWER,
      Verdict.MAY_HAVE_RUN,
      `worker cut its answer: ${String(error)}`,
    );
  }
}

/**
 * A worker that answers out of turn would hand one caller's answer to another;
 * one that echoes the request id can be caught at it.
 */
function checkOwner(request: ServiceRequest, response: ExchangeResponse): void {
  const echoed = findHeader(response.headers, headerNames.REQUEST_ID);
  if (echoed === undefined || echoed === request.id) return;
  response.body.on('error', () => {}).destroy();
  throw new AttemptError(
    Reason.WRONG_ANSWER,
    Verdict.MAY_HAVE_RUN,
    `worker answered request ${echoed}`,
  );
}

function buildUpstreamError(error: unknown): AttemptError {
  const sent = !(error instanceof ExchangeError) || error.sent;
  const detail = `worker: ${String(error)}`;
  if (error instanceof ExchangeError && error.cause instanceof RefusalError) {
    const verdict = error.sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    return new AttemptError(error.cause.reason, verdict, detail);
  }
  return sent
    ? new AttemptError(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, detail)
    : new AttemptError(Reason.UNREACHABLE, Verdict.NOT_RUN, detail);
}
