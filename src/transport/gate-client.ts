/**
 * Sends attempts to the gates of other nodes. Each connection carries one
 * attempt at a time and is closed when that attempt is cancelled, so that a
 * late answer can't reach another request. A gate acknowledges an attempt
 * repeatedly while it runs, so a missing acknowledgement points to a failed
 * connection or gate, however long the service takes.
 */
import {Client, Pool} from 'undici';
import type {Attempt, AttemptAnswer} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import {buildSentBody} from '../protocol/body-rest.js';
import * as headerNames from '../protocol/headers.js';
import {readReason, Reason, RefusalError} from '../protocol/reasons.js';
import type {Body, Headers} from '../protocol/service-request.js';
import {readHeldBody} from '../protocol/service-request.js';
import type {NodeSettings} from '../protocol/settings.js';
import {readVerdict, Verdict} from '../protocol/verdict.js';
import {parseWorkerLoad} from '../protocol/worker-load.js';
import type {ExchangeResponse} from './http-exchange.js';
import {createConnector, ExchangeError, runExchange} from './http-exchange.js';
import {copyEndToEndHeaders, findHeader} from './message-headers.js';
import {SilenceTimer} from './silence-timer.js';

/** Path prefix of attempts on the peer listener. */
export const ATTEMPT_PATH = '/attempts/';
/** Informational status with which a gate asks for the rest of a body. */
const ADMITTED_STATUS = 103;

/**
 * Called when a sent attempt was not acknowledged in time. Returns whether to
 * cancel the exchange.
 */
export type HandleAckTimeout = (attempt: Attempt) => boolean;

/** Client with one connection pool for the gate of each other node. */
export class GateClient {
  private readonly pools = new Map<string, Pool>();
  private readonly connection: Pick<Client.Options, 'connect'>;

  constructor(
    private readonly nodeId: string,
    private readonly settings: NodeSettings['connections'],
  ) {
    const {connectTimeout, localAddress} = settings;
    this.connection = {connect: createConnector(connectTimeout, localAddress)};
  }

  /**
   * Sends one attempt.
   *
   * @param handleAckTimeout called at most once, when nothing was received
   *     within the acknowledge timeout; the exchange continues if it returns
   *     false.
   * @throws AttemptError
   */
  async sendAttempt(
    attempt: Attempt,
    signal: AbortSignal,
    handleAckTimeout: HandleAckTimeout,
  ): Promise<AttemptAnswer> {
    let resolveAdmitted: () => void = () => {};
    const admitted = new Promise<void>(resolve => (resolveAdmitted = resolve));
    let cancelExchange: (reason: Error) => void = () => {};
    const {peerAddress} = attempt.target;
    const pool = this.findPool(peerAddress);
    const dispatcher = attempt.needsNewConnection
      ? this.createSingleUseClient(peerAddress)
      : pool;
    const silenceTimer = new SilenceTimer(
      this.settings.acknowledgeTimeout,
      () => {
        // Its other connections may be silent too; new requests get new ones.
        if (this.pools.get(peerAddress) === pool)
          void this.removeNode(peerAddress);
        if (!handleAckTimeout(attempt)) return;
        cancelExchange(new RefusalError(Reason.CONNECTION_SILENT));
      },
    );
    try {
      const response = await runExchange(
        dispatcher,
        {
          method: attempt.request.method,
          path: `${ATTEMPT_PATH}${attempt.request.service}${attempt.request.path}`,
          headers: this.buildHeaders(attempt),
          body: buildSentBody(attempt.request.body, {
            admitted,
            handleEnd: attempt.handleBodyEnd,
          }),
          onCancelable: cancel => (cancelExchange = cancel),
          onSent: () => silenceTimer.start(),
          onInformation: status => {
            silenceTimer.start();
            if (status === ADMITTED_STATUS) resolveAdmitted();
          },
        },
        signal,
      );
      silenceTimer.stop();
      return await readAttemptAnswer(attempt, response);
    } catch (error) {
      if (error instanceof AttemptError) throw error;
      throw buildAttemptError(attempt, error);
    } finally {
      silenceTimer.stop();
      if (dispatcher !== pool) void dispatcher.close();
    }
  }

  /** Removes the pool of a node and closes its idle connections. */
  async removeNode(peerAddress: string): Promise<void> {
    const pool = this.pools.get(peerAddress);
    this.pools.delete(peerAddress);
    await pool?.close();
  }

  /** Closes all connections once their attempts have ended. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.close()));
    this.pools.clear();
  }

  private createSingleUseClient(peerAddress: string): Client {
    return new Client(`http://${peerAddress}`, {
      pipelining: 1,
      ...this.connection,
    });
  }

  private findPool(peerAddress: string): Pool {
    let pool = this.pools.get(peerAddress);
    if (!pool) {
      pool = new Pool(`http://${peerAddress}`, {
        connections: this.settings.maxPerNode,
        pipelining: 1,
        keepAliveTimeout: this.settings.idleTimeout,
        ...this.connection,
      });
      this.pools.set(peerAddress, pool);
    }
    return pool;
  }

  private buildHeaders(attempt: Attempt): Headers {
    const {request} = attempt;
    const remainingMs = Math.max(1, request.deadline - performance.now());
    const headers: Headers = {
      ...request.headers,
      [headerNames.PEER_REQUEST_ID]: request.id,
      [headerNames.PEER_REMAINING]: String(Math.round(remainingMs)),
      [headerNames.PEER_CALLER]: request.caller,
      [headerNames.PEER_RANK]: String(request.rank),
      [headerNames.ATTEMPT_ID]: attempt.id,
      [headerNames.ENTRY_NODE]: this.nodeId,
      [headerNames.GATE_INCARNATION]: String(attempt.target.incarnation),
      [headerNames.FINGERPRINT]: request.fingerprint,
      [headerNames.ROUTE]: request.route,
    };
    if (request.targetAt !== undefined) {
      const targetMs = Math.round(request.targetAt - performance.now());
      headers[headerNames.PEER_TARGET] = String(targetMs);
    }
    if (request.idempotent) headers[headerNames.IDEMPOTENT] = '1';
    if (request.isNested) headers[headerNames.NESTED] = '1';
    if (request.isBulk) headers[headerNames.BULK] = '1';
    if (request.body.rest) headers[headerNames.STREAMED] = '1';
    if (attempt.version) headers[headerNames.SERVICE_VERSION] = attempt.version;
    if (attempt.keyHomeEpoch !== undefined) {
      headers[headerNames.KEY_HOME_EPOCH] = String(attempt.keyHomeEpoch);
    }
    return headers;
  }
}

/** Reads a gate's response; throws if it belongs to another attempt. */
async function readAttemptAnswer(
  attempt: Attempt,
  response: ExchangeResponse,
): Promise<AttemptAnswer> {
  const {headers, status} = response;
  if (findHeader(headers, headerNames.ATTEMPT_ID) !== attempt.id) {
    response.body.on('error', () => {}).destroy();
    throw new AttemptError(
      Reason.WRONG_ANSWER,
      Verdict.MAY_HAVE_RUN,
      `answer of another attempt from gate ${attempt.target.nodeId}`,
    );
  }
  const load = parseWorkerLoad(findHeader(headers, headerNames.WORKER_LOAD));
  const reason = findHeader(headers, headerNames.REASON);
  const body = await readBody(response, attempt, load);
  if (reason !== undefined) {
    const verdict =
      readVerdict(findHeader(headers, headerNames.VERDICT)) ??
      Verdict.MAY_HAVE_RUN;
    const retryAfterMs = readRetryAfter(headers);
    const detail = readDetail(body);
    body.rest?.on('error', () => {}).destroy();
    throw new AttemptError(
      readReason(reason),
      verdict,
      detail,
      load,
      retryAfterMs,
    );
  }
  const version = findHeader(headers, headerNames.SERVICE_VERSION);
  const signature = findHeader(headers, headerNames.PEER_SIGNATURE);
  return {
    status,
    headers: copyEndToEndHeaders(headers),
    body,
    ...(load ? {load} : {}),
    ...(version ? {version} : {}),
    ...(signature === undefined ? {} : {signature}),
  };
}

async function readBody(
  response: ExchangeResponse,
  attempt: Attempt,
  load: AttemptError['load'],
): Promise<Body> {
  try {
    return await readHeldBody(response.body);
  } catch (error) {
    throw new AttemptError(
      Reason.TRUNCATED_ANSWER,
      Verdict.MAY_HAVE_RUN,
      `answer of ${attempt.target.nodeId} was cut: ${String(error)}`,
      load,
    );
  }
}

/** Returns the gate's estimate; if undefined, the reason's default applies. */
function readRetryAfter(headers: Headers): number | undefined {
  const text = findHeader(headers, headerNames.PEER_RETRY_AFTER);
  const retryAfterMs = Number(text);
  return text !== undefined && retryAfterMs >= 0 ? retryAfterMs : undefined;
}

function readDetail(body: Body): string {
  try {
    const problem = JSON.parse(body.held.toString()) as {detail?: unknown};
    return typeof problem.detail === 'string' ? problem.detail : '';
  } catch {
    return '';
  }
}

function buildAttemptError(attempt: Attempt, error: unknown): AttemptError {
  if (!(error instanceof ExchangeError)) {
    return new AttemptError(
      Reason.INTERNAL,
      Verdict.MAY_HAVE_RUN,
      String(error),
    );
  }
  const detail = `${attempt.target.nodeId}: ${error.message}`;
  // The entry cancelled the exchange: report its reason for doing so.
  const {cause} = error;
  if (cause instanceof RefusalError) {
    const verdict = error.sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    return new AttemptError(cause.reason, verdict, detail);
  }
  return error.sent
    ? new AttemptError(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, detail)
    : new AttemptError(Reason.UNREACHABLE, Verdict.NOT_RUN, detail);
}
