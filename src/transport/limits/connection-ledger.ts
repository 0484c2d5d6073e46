/**
 * Bytes that a node holds for one connection: requests without an answer, of
 * which Node.js keeps the messages until the answer is read, their bodies,
 * answers that wait for their receiver, the part of a head that has arrived, and
 * what the system may have received while the connection isn't read. Counting
 * costs a few additions for each request; the rest is measured when a budget
 * asks.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {CountedMessage} from './counted-message.js';

/**
 * Memory of a request without an answer, besides its head. Measured are 1.5 KB
 * of heap for the two messages alone, 2.6 KB of resident memory; the rest is
 * what a listener keeps with them.
 */
export const REQUEST_COST_BYTES = 4096;
/**
 * Bytes that the system receives for a connection that isn't read: a usual
 * window. They are no memory of the process, but some hosts count them.
 */
const UNREAD_WINDOW_BYTES = 64 * 1024;

interface OpenRequest {
  readonly response: ServerResponse;
  readonly bytes: number;
}

/** What one connection holds. */
export class ConnectionLedger {
  /** Requests that had no complete answer when they were last looked at. */
  private open: OpenRequest[] = [];
  private openBytes = 0;
  /** The message that is being read, while its end has not been seen. */
  private current: IncomingMessage | undefined;
  /** Bytes read up to the end of the last message, or a little later. */
  private readUpTo = 0;
  private requestTotal = 0;

  constructor(
    readonly socket: Socket,
    /** Name of the listener, for logs. */
    readonly listener: string,
    /** Bytes between two messages above which no head can be on its way. */
    readonly maxHeadBytes: number,
  ) {}

  /** Bytes of the requests without an answer. */
  get requestBytes(): number {
    return this.openBytes;
  }

  /** Number of requests without an answer. */
  get requestCount(): number {
    return this.open.length;
  }

  /** Whether its client has sent a whole request and waits for the answer. */
  get isAwaitingAnswer(): boolean {
    this.removeAnswered();
    const last = this.open.at(-1);
    return last?.response.req.complete === true;
  }

  /** Whether a request has been read. */
  get hasRequest(): boolean {
    return this.requestTotal > 0;
  }

  /** Bytes since the last message: a part of a head, or empty lines. */
  get headBytes(): number {
    return this.current ? 0 : this.socket.bytesRead - this.readUpTo;
  }

  /** Adds a request; returns by how many bytes the requests have grown. */
  add(message: IncomingMessage, response: ServerResponse): number {
    const before = this.openBytes;
    this.requestTotal += 1;
    this.removeAnswered();
    const bytes = REQUEST_COST_BYTES + measureHead(message);
    this.open.push({response, bytes});
    this.openBytes += bytes;
    this.current = message;
    return this.openBytes - before;
  }

  /** Measures all that is held now. */
  measure(): number {
    this.removeAnswered();
    if (this.current) {
      this.readUpTo = this.socket.bytesRead;
      if (this.current.complete) this.current = undefined;
    }
    const messageBytes = this.open.reduce(
      (sum, {response}) =>
        sum + response.writableLength + measureBody(response.req),
      0,
    );
    const heldHead = Math.min(this.headBytes, this.maxHeadBytes);
    const {socket} = this;
    const unread =
      socket.readableLength + (socket.isPaused() ? UNREAD_WINDOW_BYTES : 0);
    return this.openBytes + messageBytes + heldHead + unread;
  }

  /** Removes requests whose answers were read; answers leave in order. */
  private removeAnswered(): void {
    let count = 0;
    while (this.open[count]?.response.closed) {
      this.openBytes -= this.open[count]!.bytes;
      count += 1;
    }
    if (count > 0) this.open.splice(0, count);
  }
}

/**
 * Whether a request lacks the header that HTTP demands. Node.js refuses such a
 * request by itself, but announces it to nobody who would count it.
 */
export function isWithoutHost(message: IncomingMessage): boolean {
  return message.httpVersion === '1.1' && message.headers.host === undefined;
}

function measureBody(message: IncomingMessage): number {
  return message instanceof CountedMessage ? message.heldBytes : 0;
}

/** Measures a request's target and headers, as the HTTP parser does. */
export function measureHead({url = '', rawHeaders}: IncomingMessage): number {
  let bytes = url.length;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}
