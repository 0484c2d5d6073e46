/**
 * A caller that reads the bytes of its connection, so that a test can tell a
 * complete answer from one that ended early.
 */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {parseAddress} from '../../protocol/node-identity.js';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = /^0\r\n(?:[^\r\n]+\r\n)*\r\n/;

/** What a caller has read as the answer to its one request. */
export interface RawAnswer {
  /** Status of the final answer; 0 when its head has not come whole. */
  readonly status: number;
  readonly body: string;
  /** Whether the protocol says that the answer is whole. */
  readonly isComplete: boolean;
}

/** How a connection ended. */
export type RawEnd = 'open' | 'end' | 'reset';

/** Reads an answer that may have ended early. */
export function parseRawAnswer(bytes: string, end: RawEnd): RawAnswer {
  let text = bytes;
  for (;;) {
    const size = text.indexOf(HEAD_END);
    if (size < 0) return {status: 0, body: '', isComplete: false};
    const head = text.slice(0, size);
    text = text.slice(size + HEAD_END.length);
    const status = Number(/^HTTP\/1\.[01] (\d{3}) /.exec(`${head} `)?.[1]);
    if (status >= 200 || !(status >= 100)) {
      return {status, ...parseBody(head, text, end)};
    }
  }
}

function parseBody(
  head: string,
  text: string,
  end: RawEnd,
): Pick<RawAnswer, 'body' | 'isComplete'> {
  if (/^transfer-encoding: *chunked/im.test(head)) return parseChunks(text);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  if (length === undefined) return {body: text, isComplete: end === 'end'};
  const body = text.slice(0, Number(length));
  return {body, isComplete: body.length === Number(length)};
}

function parseChunks(text: string): Pick<RawAnswer, 'body' | 'isComplete'> {
  const parts: string[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    const size = parseInt(text.slice(at, lineEnd), 16);
    if (lineEnd < 0 || !(size > 0)) {
      const isComplete = LAST_CHUNK.test(text.slice(at));
      return {body: parts.join(''), isComplete};
    }
    const start = lineEnd + 2;
    parts.push(text.slice(start, start + size));
    at = start + size + 2;
  }
}

/** A connection with one request. */
export class RawCaller {
  end: RawEnd = 'open';
  private readonly socket: Socket;
  private readonly parts: string[] = [];
  private writeTimer: NodeJS.Timeout | undefined;

  constructor(address: string, request: string) {
    this.socket = connect(parseAddress(address));
    this.socket.on('data', part => this.parts.push(part.toString('latin1')));
    this.socket.on('error', () => (this.end = 'reset'));
    this.socket.on('end', () => {
      // libuv reports a reset behind data as an end; only a connection that
      // ended regularly still has a peer.
      const isReset = this.socket.remotePort === undefined;
      if (this.end === 'open') this.end = isReset ? 'reset' : 'end';
    });
    this.socket.on('close', () => {
      clearInterval(this.writeTimer);
      if (this.end === 'open') this.end = 'reset';
    });
    this.socket.write(request);
  }

  get answer(): RawAnswer {
    return parseRawAnswer(this.parts.join(''), this.end);
  }

  /** Whether nothing more can change the answer. */
  get isDone(): boolean {
    return this.end !== 'open' || this.answer.isComplete;
  }

  get bytesRead(): number {
    return this.socket.bytesRead;
  }

  write(text: string): void {
    if (!this.socket.destroyed) this.socket.write(text);
  }

  /** Writes a part of an upload at each interval, a limited number of times. */
  writeRegularly(part: string, intervalMs: number, count: number): void {
    let left = count;
    this.writeTimer = setInterval(() => {
      left -= 1;
      if (left < 0) clearInterval(this.writeTimer);
      else this.write(part);
    }, intervalMs);
  }

  /** Leaves what comes unread. */
  pause(): void {
    this.socket.pause();
  }

  /** Reads again. */
  release(): void {
    this.socket.resume();
  }

  close(): void {
    clearInterval(this.writeTimer);
    this.socket.destroy();
  }
}
