/**
 * An HTTP server that runs one request of a connection at a time and leaves
 * unread what a client sent far ahead. Without this, Node.js reads on until
 * unread answers fill its buffer, and a handler that answers later has by then
 * begun thousands of them.
 */
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import {CallerConnection} from '../caller-connection.js';
import {isWithoutHost, measureHead} from './connection-ledger.js';
import {CountedMessage} from './counted-message.js';

const STATUS_BAD_REQUEST = 400;
/** Time for the head of a request, and for a whole request. */
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const TIMEOUT_CHECK_INTERVAL_MS = 2000;

/** Creates the server without starting to listen. */
export function createOrderedServer(
  options: ServerOptions,
  serve: RequestListener,
): Server {
  const connections = new WeakMap<Socket, CallerConnection>();
  return createServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      ...options,
      IncomingMessage: CountedMessage,
      requireHostHeader: false,
    },
    (message: IncomingMessage, response: ServerResponse) => {
      const {socket} = message;
      let connection = connections.get(socket);
      if (!connection) {
        connection = new CallerConnection(socket, () => {}, 1);
        connections.set(socket, connection);
      }
      const run = (): void => {
        if (isWithoutHost(message))
          response.writeHead(STATUS_BAD_REQUEST, {connection: 'close'}).end();
        else void serve(message, response);
      };
      connection.accept(response, run, measureHead(message));
    },
  );
}
