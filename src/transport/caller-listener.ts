/**
 * Listener for callers, the upstream on this host and operators. The node
 * itself serves paths below `/-/`; requests to other paths go to services.
 */
import {createServer, STATUS_CODES} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import restana from 'restana';
import type {CallerLimits} from '../protocol/configuration.js';
import {MAX_HEADER_BYTES} from '../protocol/configuration.js';
import {
  createProblem,
  Reason,
  RefusalError,
  toRefusal,
} from '../protocol/reasons.js';
import type {
  Headers,
  ServiceAnswer,
  ServiceRequest,
} from '../protocol/service-request.js';
import {writeAnswer, writeRefusal} from './answer-writer.js';
import {CallerConnection} from './caller-connection.js';
import {isWithoutHost, measureHead} from './limits/connection-ledger.js';
import {CountedMessage} from './limits/counted-message.js';
import {readWholeBody} from './message-body.js';
import {runAfterReads, runUnlessClosed} from './run-after-reads.js';

/** Maximum time in which a caller must have sent its request's headers. */
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const TIMEOUT_CHECK_INTERVAL_MS = 2000;
const MAX_NODE_REQUEST_BODY_BYTES = 64 * 1024;

/** A request to a path that the node itself serves. */
export interface NodeRequest {
  /** Path parameters, decoded. */
  readonly params: Readonly<Record<string, string>>;
  /** Parameters of the query string. */
  readonly query: URLSearchParams;
  /** Parsed JSON body; undefined when the request has none. */
  readonly body: unknown;
  readonly remoteAddress: string;
}

/** Answer to a NodeRequest, sent as JSON. */
export interface NodeAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A path that the node itself serves. */
export interface NodeRoute {
  readonly method: 'get' | 'post';
  /** Path pattern, such as `/-/health`. */
  readonly path: string;
  readonly handle: (request: NodeRequest) => NodeAnswer | Promise<NodeAnswer>;
}

/** Maps HTTP messages of callers to service requests, and answers back. */
export interface CallerProtocol {
  /** Returns the id of a request, which logs and explanations show. */
  readId(message: IncomingMessage): string;
  /**
   * Reads a request and finds the service and route it belongs to.
   *
   * @throws RefusalError with verdict `not-run`.
   */
  readRequest(message: IncomingMessage, id: string): Promise<ServiceRequest>;
  /** Builds the headers that the load balancer adds to an answer. */
  buildAnswerHeaders(id: string, answer: ServiceAnswer): Headers;
  writeRefusal(
    response: ServerResponse,
    refusal: RefusalError,
    id: string,
    extra: Headers,
  ): void;
}

/** Handlers that the listener passes requests to. */
export interface CallerHandlers {
  readonly nodeRoutes: readonly NodeRoute[];
  readonly protocol: CallerProtocol;
  handleRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer>;
  /** Called for each refusal, for counters and logs. */
  handleRefusal(refusal: RefusalError, requestId: string): void;
  /** Called for each request that was read after its connection closed. */
  handleDiscarded(requestId: string): void;
  /** Returns the limits on callers; undefined without a configuration. */
  findLimits(): CallerLimits | undefined;
  /** Returns whether connections should close after their current answer. */
  isStopping(): boolean;
}

/** Creates the server without starting to listen. */
export function createCallerServer(handlers: CallerHandlers): Server {
  const server = createServer({
    IncomingMessage: CountedMessage,
    // The limit in force is checked for each request.
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    noDelay: true,
    // Refused here, so that its request is counted like any other.
    requireHostHeader: false,
  });
  const service = restana({
    server,
    prioRequestsProcessing: false,
    defaultRoute: (message, response) => {
      const {maxHeader = MAX_HEADER_BYTES} = handlers.findLimits() ?? {};
      const headBytes = measureHead(message);
      const fault = findHeadFault(message, headBytes > maxHeader);
      const connection = findConnection(message.socket);
      const run = (abort: AbortController): void => {
        if (fault !== undefined) {
          refuseHead(handlers, response, fault);
          return;
        }
        runUnlessClosed(message.socket, () => {
          void serveRequest(handlers, {message, response, connection, abort});
        });
      };
      connection.accept(response, run, headBytes);
    },
  });
  const headLimits = new WeakMap<Socket, number>();
  // Node.js applies the limit in force at the beginning of a connection.
  server.prependListener('connection', (socket: Socket) => {
    const limit = findParserLimit(handlers.findLimits());
    Object.assign(server, {maxHeaderSize: limit});
    headLimits.set(socket, limit);
  });
  const connections = new WeakMap<Socket, CallerConnection>();
  const findConnection = (socket: Socket): CallerConnection => {
    const known = connections.get(socket);
    if (known) return known;
    const connection = new CallerConnection(socket, ({req}) =>
      handlers.handleDiscarded(handlers.protocol.readId(req)),
    );
    connections.set(socket, connection);
    return connection;
  };
  const pending = new WeakMap<Socket, ServerResponse>();
  server.prependListener('request', (message, response) => {
    pending.set(message.socket, response);
  });
  // An expectation that a server doesn't know may be ignored, see RFC 9110.
  server.on('checkExpectation', (message, response) => {
    server.emit('request', message, response);
  });
  server.on('clientError', (error, duplex) => {
    const socket = duplex as Socket;
    const response = pending.get(socket);
    const connection = findConnection(socket);
    const {code} = error as NodeJS.ErrnoException;
    const handle = (): void => {
      const hasHead = pending.get(socket) !== response;
      if (code === HEAD_TIMEOUT && hasHead) return;
      const {maxHeader = 0} = handlers.findLimits() ?? {};
      const isOutdated = (headLimits.get(socket) ?? 0) <= maxHeader;
      const found =
        code === HEADER_OVERFLOW && isOutdated
          ? Object.assign(error, {code: OUTDATED_LIMIT})
          : error;
      handleParseError(handlers, found, {socket, response, connection});
    };
    const schedule = (): void => {
      // Bytes of a refusal would be read as the answer to an earlier request.
      if (response) connection.runAfterEarlier(response, handle);
      else handle();
    };
    if (code === HEAD_TIMEOUT) runAfterReads(schedule);
    else schedule();
  });
  server.on('timeout', socket => {
    const {bytesRead} = socket;
    runAfterReads(() => {
      const isIdle = !findConnection(socket).isBusy;
      if (isIdle && socket.bytesRead === bytesRead) socket.destroy();
    });
  });
  for (const route of handlers.nodeRoutes) {
    service[route.method](route.path, (message, response) => {
      const {params} = message as {params?: Record<string, string>};
      findConnection(message.socket).accept(response, () => {
        void serveNodeRoute(route, message, response, params ?? {});
      });
    });
  }
  return server;
}

/**
 * Bytes by which a head may exceed the limit and still be read, so that its
 * refusal comes after the answers to earlier requests.
 */
const HEADER_MARGIN_BYTES = 16 * 1024;

/**
 * Returns the limit of the HTTP parser, which keeps what it has read of a head.
 * Without a configuration, any limit may be the right one.
 */
function findParserLimit(limits: CallerLimits | undefined): number {
  if (!limits) return MAX_HEADER_BYTES;
  return Math.min(limits.maxHeader + HEADER_MARGIN_BYTES, MAX_HEADER_BYTES);
}

/** Error code of the HTTP parser for a head above its limit. */
const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';
const MISSING_HOST = 'MISSING_HOST_HEADER';
/** For a head within a limit that was raised after the connection began. */
const OUTDATED_LIMIT = 'OUTDATED_HEADER_LIMIT';
/** Error code of the HTTP server for a head that did not come in time. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Time for a caller to read the last answer before its connection is cut. */
const LAST_ANSWER_TIMEOUT_MS = 2000;

/** HTTP status for each error code of the HTTP parser. */
const STATUS_BY_PARSE_ERROR: Readonly<Record<string, number>> = {
  [HEADER_OVERFLOW]: 431,
  // The request has not run, and fits on a new connection.
  [OUTDATED_LIMIT]: 503,
  [HEAD_TIMEOUT]: 408,
};
const DEFAULT_PARSE_ERROR_STATUS = 400;

/** Builds and counts the refusal of a message that was not read whole. */
function buildRefusal(
  handlers: CallerHandlers,
  detail: string,
): {status: number; headers: Record<string, string>; body: string} {
  const refusal = new RefusalError(Reason.MALFORMED_REQUEST, 'not-run', detail);
  handlers.handleRefusal(refusal, '');
  const body = JSON.stringify(createProblem(refusal, undefined));
  return {
    status: STATUS_BY_PARSE_ERROR[detail] ?? DEFAULT_PARSE_ERROR_STATUS,
    headers: {
      connection: 'close',
      'content-type': 'application/problem+json',
      'content-length': String(Buffer.byteLength(body)),
    },
    body,
  };
}

/** Returns the fault of a head that the parser took; undefined if none. */
function findHeadFault(
  message: IncomingMessage,
  isTooLarge: boolean,
): string | undefined {
  if (isTooLarge) return HEADER_OVERFLOW;
  return isWithoutHost(message) ? MISSING_HOST : undefined;
}

/** Refuses a request for its head. */
function refuseHead(
  handlers: CallerHandlers,
  response: ServerResponse,
  fault: string,
): void {
  const {status, headers, body} = buildRefusal(handlers, fault);
  response.shouldKeepAlive = false;
  response.writeHead(status, headers).end(body);
}

/** Where the parser failed, and the last request it read before, if any. */
interface ParseErrorPlace {
  readonly socket: Socket;
  readonly connection: CallerConnection;
  readonly response: ServerResponse | undefined;
}

function handleParseError(
  handlers: CallerHandlers,
  error: NodeJS.ErrnoException,
  {socket, connection, response}: ParseErrorPlace,
): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    // What follows an error fails too, and must not cut off the last answer.
    if (connection.isOpen) socket.destroy();
    return;
  }
  connection.stopAccepting();
  const isAnswering = response?.closed === false;
  const hasStarted = isAnswering && connection.hasStarted(response);
  if (isAnswering && response.req.complete) closeAfterAnswer(response, socket);
  else if (isAnswering && (response.headersSent || hasStarted))
    socket.destroy();
  else refuseMalformed(handlers, error, socket);
}

/**
 * Closes a connection after the answer to a whole request, behind which the
 * parser failed. A refusal would be read as that answer or as a part of it.
 */
function closeAfterAnswer(response: ServerResponse, socket: Socket): void {
  response.shouldKeepAlive = false;
  response.once('close', () => endSocket(socket));
}

/** Answers and counts a message that the HTTP parser rejected; nothing ran. */
function refuseMalformed(
  handlers: CallerHandlers,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  const {status, headers, body} = buildRefusal(
    handlers,
    error.code ?? error.message,
  );
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ];
  endSocket(socket, `${lines.join('\r\n')}\r\n\r\n${body}`);
}

/** Ends a connection, which its caller may keep half open only for some time. */
function endSocket(socket: Socket, bytes = ''): void {
  socket.end(bytes);
  const timer = setTimeout(() => socket.destroy(), LAST_ANSWER_TIMEOUT_MS);
  socket.once('close', () => clearTimeout(timer));
}

/** A request on its connection. */
interface Exchange {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  readonly abort: AbortController;
}

async function serveRequest(
  handlers: CallerHandlers,
  {message, response, connection, abort}: Exchange,
): Promise<void> {
  const {protocol} = handlers;
  const id = protocol.readId(message);
  const extra: Headers = {};
  if (handlers.isStopping()) response.shouldKeepAlive = false;
  response.on('error', () => {});
  try {
    const request = await protocol.readRequest(message, id);
    response.once('close', () => releaseBody(message, request));
    const isBulk = connection.markStarted(response, request.idempotent);
    connection.watchTimeLimit(
      response,
      request.awaitedUntil ?? request.deadline,
    );
    const answer = await handlers.handleRequest(
      isBulk ? {...request, isBulk} : request,
      abort.signal,
    );
    Object.assign(extra, protocol.buildAnswerHeaders(id, answer));
    // The answer came before the whole body was read; the rest stays unread.
    if (!message.complete) response.shouldKeepAlive = false;
    await writeAnswer(response, answer, extra);
  } catch (error) {
    const refusal = toRefusal(error);
    handlers.handleRefusal(refusal, id);
    // On a kept connection, unread body bytes would be parsed as a request.
    if (!message.complete) response.shouldKeepAlive = false;
    protocol.writeRefusal(response, refusal, id, extra);
  }
}

/**
 * Drops what was read ahead of a body whose rest nobody waits for any more. The
 * time limit of its next part would keep it otherwise.
 */
function releaseBody(message: IncomingMessage, {body}: ServiceRequest): void {
  if (!message.complete) body.rest?.destroy(new Error('request has ended'));
}

async function serveNodeRoute(
  route: NodeRoute,
  message: IncomingMessage,
  response: ServerResponse,
  params: Readonly<Record<string, string>>,
): Promise<void> {
  try {
    const body = await readJson(message);
    const remoteAddress = message.socket.remoteAddress ?? '';
    const query = readQuery(message);
    const answer = await route.handle({params, query, body, remoteAddress});
    const text = JSON.stringify(answer.body);
    response.writeHead(answer.status, {'content-type': 'application/json'});
    response.end(text);
  } catch (error) {
    writeRefusal(response, toRefusal(error), undefined, {connection: 'close'});
  }
}

/** Reads the parameters of the query string. */
export function readQuery({url = ''}: IncomingMessage): URLSearchParams {
  const start = url.indexOf('?');
  return new URLSearchParams(start < 0 ? '' : url.slice(start + 1));
}

async function readJson(message: IncomingMessage): Promise<unknown> {
  const body = await readWholeBody(message, MAX_NODE_REQUEST_BODY_BYTES);
  if (body.length === 0) return undefined;
  try {
    return JSON.parse(body.toString()) as unknown;
  } catch {
    throw new RefusalError(
      Reason.MALFORMED_REQUEST,
      'not-run',
      'body is not JSON',
    );
  }
}
