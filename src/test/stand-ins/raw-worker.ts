/**
 * Stand-in for a worker that writes bytes to its connections. It answers
 * lookups itself; a script takes over the connection of each other request, so
 * that a test decides when and how the answer ends.
 */
import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';

const HEAD_END = '\r\n\r\n';
const BODY = 'ok';

/** A request whose head was read, and the connection it came on. */
export interface RawExchange {
  readonly socket: Socket;
  readonly head: string;
  /** All bytes that came behind the head so far. */
  rest: string;
  /** Whether the worker takes what follows the body for another request. */
  readsOn?: boolean;
}

/** Answers a request, or part of it, and ends its connection, or not. */
export type RawScript = (exchange: RawExchange) => void;

/** Finds a header in the head of a message. */
export function findRawHeader(head: string, name: string): string {
  const pattern = new RegExp(`^${name}: *([^\\r\\n]*)`, 'im');
  return pattern.exec(head)?.[1] ?? '';
}

/** A worker whose answers are scripts. */
export class RawWorker {
  readonly server: Server;
  /** Exchanges of scripts, newest last. */
  readonly exchanges: RawExchange[] = [];
  /** Answers requests whose path contains `scriptedPath`. */
  script: RawScript | undefined;
  private readonly sockets = new Set<Socket>();

  /**
   * @param buildHeaders builds the headers of the answer to a lookup.
   */
  constructor(
    private readonly scriptedPath: string,
    private readonly buildHeaders: (head: string) => string,
  ) {
    this.server = createServer({allowHalfOpen: true}, socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      this.serve(socket);
    });
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private serve(socket: Socket): void {
    let text = '';
    let exchange: RawExchange | undefined;
    socket.on('error', () => {});
    socket.on('end', () => {
      if (!exchange) socket.end();
    });
    socket.on('data', chunk => {
      if (exchange) {
        exchange.rest += chunk.toString('latin1');
        const size = Number(findRawHeader(exchange.head, 'content-length'));
        if (!exchange.readsOn || exchange.rest.length < size) return;
        text = exchange.rest.slice(size);
        exchange.rest = exchange.rest.slice(0, size);
        exchange = undefined;
      } else {
        text += chunk.toString('latin1');
      }
      const end = text.indexOf(HEAD_END);
      if (end < 0) return;
      const head = text.slice(0, end + HEAD_END.length);
      text = text.slice(head.length);
      const isScripted = head
        .slice(0, head.indexOf('\r'))
        .includes(this.scriptedPath);
      if (isScripted && this.script) {
        exchange = {socket, head, rest: text};
        this.exchanges.push(exchange);
        this.script(exchange);
        return;
      }
      const headers = `content-length: ${BODY.length}\r\n${this.buildHeaders(head)}`;
      socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${BODY}`);
    });
  }
}
