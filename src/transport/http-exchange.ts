/**
 * One HTTP exchange over undici. It uses the dispatch interface, because only
 * that reports whether a byte of the request may have been written, which
 * decides whether a failed exchange is safe to repeat.
 */
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {buildConnector} from 'undici';
import type {Headers} from '../protocol/service-request.js';

/** A request as written to the wire. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Buffer | AsyncIterable<Buffer> | null;
  /** Called once when the first byte may be written. */
  readonly onSent?: () => void;
  /** Called with the status of each informational (1xx) response. */
  readonly onInformation?: (status: number) => void;
  /** Called before anything is sent, with a function to cancel the exchange. */
  readonly onCancelable?: (cancel: (reason: Error) => void) => void;
}

/** Response head and body; the body fails if the response is truncated. */
export interface ExchangeResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Readable;
}

/** A failed exchange. */
export class ExchangeError extends Error {
  constructor(
    /** Whether a byte of the request may have been written. */
    readonly sent: boolean,
    override readonly cause: unknown,
  ) {
    super(cause instanceof Error ? cause.message : String(cause));
    this.name = 'ExchangeError';
  }
}

/** Whether the listeners of a connection that was reset are being called. */
let isConnectionReset = false;

function markReset(): void {
  isConnectionReset = true;
  queueMicrotask(() => (isConnectionReset = false));
}

/** First bytes of each response, behind empty lines that the parser skips. */
const RESPONSE_START = 'HTTP/1.';
/** Bytes of a part in which the first bytes of a response are looked for. */
const MAX_START_BYTES = 64;

/** The connection whose bytes are being parsed. */
let parsedConnection: ResponseConnection | undefined;

function markParsed(connection: ResponseConnection): void {
  parsedConnection = connection;
}

/**
 * Reading of one connection. Undici's parser must not be paused: when the
 * connection ends meanwhile, an assertion fails in a listener of the socket,
 * which ends the process. So its bytes are held back before they reach the
 * parser.
 */
class ResponseConnection {
  private isHeld = false;
  /** The start of the response that is due, as far as it was read. */
  private start = '';

  constructor(private readonly socket: Socket) {
    const read = socket.read.bind(socket);
    socket.read = (size?: number): unknown => {
      // Node.js reads no bytes in order to notice the end of the connection.
      if (this.isHeld && size !== 0) return null;
      markParsed(this);
      const part = read(size) as Buffer | null;
      if (part === null || this.isResponse(part)) return part;
      socket.destroy(new Error('bytes that are no response of HTTP/1'));
      return null;
    };
  }

  /** Holds back what has not been parsed. */
  hold(): void {
    this.isHeld = true;
  }

  /** Goes on with what was held back. */
  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.socket.emit('readable');
  }

  /** Lets the parser go on by itself at the end of a response. */
  reset(): void {
    this.isHeld = false;
    this.start = '';
  }

  /** Checks the first bytes of a response; undici's parser takes any version. */
  private isResponse(part: Buffer): boolean {
    const missing = RESPONSE_START.length - this.start.length;
    if (missing === 0) return true;
    const text = this.start + part.toString('latin1', 0, MAX_START_BYTES);
    this.start = text.trimStart().slice(0, RESPONSE_START.length);
    return RESPONSE_START.startsWith(this.start);
  }
}

/**
 * Creates the function with which a client connects; exchanges need it. Undici
 * takes a reset for the regular end of a body without a length, so listeners on
 * the socket detect it just before undici is notified: by an `error` event or,
 * when the error was lost, by an `end` event at which the socket no longer has
 * a remote port.
 */
export function createConnector(
  timeoutMs: number,
  localAddress?: string,
): buildConnector.connector {
  const connect = buildConnector({
    timeout: timeoutMs,
    ...(localAddress === undefined ? {} : {localAddress}),
  });
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      if (socket) watchSocket(socket);
      callback(...result);
    });
}

function watchSocket(socket: Socket): void {
  new ResponseConnection(socket);
  socket.prependListener('error', markReset);
  socket.prependListener('end', () => {
    if (socket.remotePort === undefined) markReset();
  });
}

/** Body of a response; destroying it closes the connection. */
class ResponseBody extends Readable {
  constructor(
    private readonly controller: Dispatcher.DispatchController,
    private readonly connection: ResponseConnection | undefined,
  ) {
    super();
  }

  /** Adds a part; holds the connection when the reader is behind. */
  append(part: Buffer): void {
    if (!this.push(part)) this.connection?.hold();
  }

  /** Ends the body, of which nothing more is parsed. */
  end(error?: Error): void {
    this.connection?.reset();
    if (error) this.destroy(error);
    else this.push(null);
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- stream API
  override _read(): void {
    this.connection?.release();
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- stream API
  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    if (!this.readableEnded && !this.controller.aborted) {
      this.controller.abort(error ?? new Error('response body discarded'));
    }
    callback(error);
  }
}

/**
 * Runs one exchange and resolves when the response's head was received.
 *
 * @throws ExchangeError; its `sent` tells whether the request may have been
 *     written.
 */
export function runExchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
  signal: AbortSignal,
): Promise<ExchangeResponse> {
  return new Promise((resolve, reject) => {
    let sent = false;
    let body: ResponseBody | undefined;
    let controller: Dispatcher.DispatchController | undefined;
    let cancelled: Error | undefined;
    const cancel = (reason: Error): void => {
      cancelled = reason;
      controller?.abort(reason);
      reject(new ExchangeError(sent, reason));
    };
    const handleAbort = (): void => cancel(signal.reason as Error);
    request.onCancelable?.(cancel);
    if (signal.aborted) {
      handleAbort();
      return;
    }
    signal.addEventListener('abort', handleAbort, {once: true});
    const removeAbortListener = (): void =>
      signal.removeEventListener('abort', handleAbort);
    const options: Dispatcher.DispatchOptions = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body as Dispatcher.DispatchOptions['body'],
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    dispatcher.dispatch(options, {
      onRequestStart: dispatchController => {
        controller = dispatchController;
        if (cancelled) {
          dispatchController.abort(cancelled);
          return;
        }
        sent = true;
        request.onSent?.();
      },
      onResponseStart: (dispatchController, status, headers) => {
        if (status < 200) {
          request.onInformation?.(status);
          return;
        }
        body = new ResponseBody(dispatchController, parsedConnection);
        resolve({status, headers: headers as Headers, body});
      },
      onResponseData: (dispatchController, chunk) => body?.append(chunk),
      onResponseEnd: () => {
        removeAbortListener();
        const isCut = isConnectionReset;
        body?.end(
          isCut ? new Error('connection reset in the body') : undefined,
        );
      },
      onResponseError: (dispatchController, error) => {
        removeAbortListener();
        if (body) body.end(error);
        else reject(new ExchangeError(sent, error));
      },
    });
  });
}
