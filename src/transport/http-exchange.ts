/**
 * One HTTP exchange over undici. It uses the dispatch interface, because only
 * that reports whether a byte of the request may have been written, which
 * decides whether a failed exchange is safe to repeat.
 */
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

/**
 * Creates the function with which a client connects. Undici takes a reset for
 * the regular end of a body without a length, so listeners on the socket detect
 * it just before undici is notified: by an `error` event or, when the error was
 * lost, by an `end` event at which the socket no longer has a remote port.
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
      socket?.prependListener('error', markReset);
      socket?.prependListener('end', () => {
        if (socket.remotePort === undefined) markReset();
      });
      callback(...result);
    });
}

/** Body of a response; destroying it closes the connection. */
class ResponseBody extends Readable {
  constructor(private readonly controller: Dispatcher.DispatchController) {
    super();
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- stream API
  override _read(): void {
    this.controller.resume();
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
        body = new ResponseBody(dispatchController);
        resolve({status, headers: headers as Headers, body});
      },
      onResponseData: (dispatchController, chunk) => {
        if (body && !body.push(chunk)) dispatchController.pause();
      },
      onResponseEnd: () => {
        removeAbortListener();
        if (isConnectionReset)
          body?.destroy(new Error('connection reset in the body'));
        else body?.push(null);
      },
      onResponseError: (dispatchController, error) => {
        removeAbortListener();
        if (body) body.destroy(error);
        else reject(new ExchangeError(sent, error));
      },
    });
  });
}
