/**
 * Sends requests of the gate to the local worker. Idempotent requests use kept
 * connections. Each other request gets a new connection, because the worker may
 * close a kept one just as the request is sent, which would leave the outcome
 * unknown of a request that must not run twice.
 *
 * A worker does not acknowledge requests, so a connection that went silent
 * looks like a slow worker; hedging at the entry covers both.
 */
import type {Readable} from 'node:stream';
import {Client, Pool} from 'undici';
import type {AttemptAnswer} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import {buildSentBody} from '../protocol/body-rest.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {Headers, ServiceRequest} from '../protocol/service-request.js';
import {readHeldBody} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {ProbeAnswer, UpstreamLoadReport} from '../protocol/worker-load.js';
import type {ExchangeRequest, ExchangeResponse} from './http-exchange.js';
import {createConnector, ExchangeError, runExchange} from './http-exchange.js';
import {copyEndToEndHeaders, findHeader} from './message-headers.js';
import type {AnswerFault, UpstreamProtocol} from './upstream-protocol.js';
import {DEFAULT_UPSTREAM_PROTOCOL} from './upstream-protocol.js';

/** A refusal's connection is kept if its body is within these limits. */
const MAX_REFUSAL_BODY_BYTES = 16 * 1024;
const REFUSAL_BODY_TIMEOUT_MS = 500;
/** Highest status that HTTP assigns a class to. */
const MAX_STATUS = 599;
/** Maximum number of informational (1xx) responses to one request. */
const MAX_INFORMATIONAL_RESPONSES = 20;
/**
 * Maximum idle time of a kept connection; after longer ones, the upstream may
 * close the connection just as a request is sent.
 */
const IDLE_TIMEOUT_MS = 10_000;

/** Optional settings of an UpstreamClient. */
export interface UpstreamClientOptions {
  readonly protocol?: UpstreamProtocol;
  readonly idleTimeoutMs?: number;
}

/** Connections to one worker. */
export class UpstreamClient {
  private handleLoadReport: (loadReport: UpstreamLoadReport) => void = () => {};
  private readonly pool: Pool;
  private readonly probeClient: Client;
  private readonly origin: string;
  private readonly protocol: UpstreamProtocol;

  constructor(
    address: string,
    slots: number,
    private readonly connectTimeoutMs: number,
    options: UpstreamClientOptions = {},
  ) {
    this.origin = `http://${address}`;
    this.protocol = options.protocol ?? DEFAULT_UPSTREAM_PROTOCOL;
    const connection = {
      pipelining: 1,
      keepAliveTimeout: options.idleTimeoutMs ?? IDLE_TIMEOUT_MS,
      connect: createConnector(connectTimeoutMs),
    };
    this.pool = new Pool(this.origin, {connections: slots, ...connection});
    this.probeClient = new Client(this.origin, connection);
  }

  /**
   * Runs a request on the worker.
   *
   * @throws AttemptError with verdict `not-run` only if no byte was sent or the
   *     worker reported so in the upstream protocol.
   */
  async sendRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    if (request.idempotent) return this.send(this.pool, request, signal);
    const client = this.createSingleUseClient();
    try {
      return await this.send(client, request, signal);
    } finally {
      void client.close();
    }
  }

  /**
   * Requests the worker's health path.
   *
   * @throws AttemptError if there is no answer.
   */
  async sendProbe(path: string, signal: AbortSignal): Promise<ProbeAnswer> {
    try {
      const response = await runExchange(
        this.probeClient,
        {
          method: 'GET',
          path,
          headers: this.protocol.buildProbeHeaders(),
          body: null,
          ...createInformationLimit(),
        },
        signal,
      );
      response.body.on('error', () => {}).resume();
      this.readLoadReport(response);
      return this.protocol.readProbe(response.status, response.headers);
    } catch (error) {
      throw buildUpstreamError(error);
    }
  }

  /** Sets the handler of load reports from the worker. */
  watchLoadReports(handler: (loadReport: UpstreamLoadReport) => void): void {
    this.handleLoadReport = handler;
  }

  /** Closes kept connections once their requests have ended. */
  async close(): Promise<void> {
    await Promise.all([this.pool.close(), this.probeClient.close()]);
  }

  private readLoadReport(response: ExchangeResponse): void {
    const loadReport = this.protocol.readLoadReport(response.headers);
    if (loadReport) this.handleLoadReport(loadReport);
  }

  private createSingleUseClient(): Client {
    return new Client(this.origin, {
      pipelining: 1,
      connect: createConnector(this.connectTimeoutMs),
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
          headers: this.protocol.buildHeaders(request),
          body: buildSentBody(request.body),
          ...createInformationLimit(),
        },
        signal,
      );
      this.readLoadReport(response);
      return await readUpstreamAnswer(this.protocol, request, response);
    } catch (error) {
      if (error instanceof AttemptError) throw error;
      throw buildUpstreamError(error);
    }
  }
}

/**
 * Discards a body. Closes the connection after a wrong answer, whose end can't
 * be trusted, and after a refusal whose body is too long or too slow.
 */
function closeBody(body: Readable, fault: AnswerFault): void {
  body.on('error', () => {});
  if (fault.reason === Reason.WRONG_ANSWER) {
    body.destroy();
    return;
  }
  const timer = setTimeout(() => body.destroy(), REFUSAL_BODY_TIMEOUT_MS);
  body.once('close', () => clearTimeout(timer));
  let size = 0;
  body.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_REFUSAL_BODY_BYTES) body.destroy();
  });
}

/** Cancels an exchange that gets too many informational responses. */
function createInformationLimit(): Pick<
  ExchangeRequest,
  'onInformation' | 'onCancelable'
> {
  let cancelExchange: (reason: Error) => void = () => {};
  let count = 0;
  return {
    onCancelable: cancel => (cancelExchange = cancel),
    onInformation: () => {
      count += 1;
      if (count <= MAX_INFORMATIONAL_RESPONSES) return;
      cancelExchange(new Error('too many informational responses'));
    },
  };
}

/** Detects a status of no class, which tells a caller nothing. */
function findUnknownStatus(status: number): AnswerFault | undefined {
  if (status <= MAX_STATUS) return undefined;
  return {
    reason: Reason.WRONG_ANSWER,
    verdict: Verdict.MAY_HAVE_RUN,
    detail: `worker answered with status ${status}`,
  };
}

/**
 * Detects a body with a coding other than chunks. It would be passed on as it
 * is but without its header, so that a caller couldn't decode it.
 */
function findUnknownCoding(headers: Headers): AnswerFault | undefined {
  const coding = findHeader(headers, 'transfer-encoding');
  if (coding === undefined || coding.toLowerCase() === 'chunked')
    return undefined;
  return {
    reason: Reason.WRONG_ANSWER,
    verdict: Verdict.MAY_HAVE_RUN,
    detail: `worker answered with transfer coding ${coding}`,
  };
}

async function readUpstreamAnswer(
  protocol: UpstreamProtocol,
  request: ServiceRequest,
  response: ExchangeResponse,
): Promise<AttemptAnswer> {
  const {headers, status} = response;
  const isKeptConnection = request.idempotent;
  const fault =
    findUnknownStatus(status) ??
    findUnknownCoding(headers) ??
    protocol.findFault(request, status, headers, isKeptConnection);
  if (fault) {
    closeBody(response.body, fault);
    throw new AttemptError(fault.reason, fault.verdict, fault.detail);
  }
  const signature = protocol.readSignature(headers);
  try {
    const body = await readHeldBody(response.body);
    return {
      status,
      headers: copyEndToEndHeaders(headers),
      body,
      ...(signature === undefined ? {} : {signature}),
    };
  } catch (error) {
    throw new AttemptError(
      Reason.TRUNCATED_ANSWER,
      Verdict.MAY_HAVE_RUN,
      `worker cut its answer: ${String(error)}`,
    );
  }
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
