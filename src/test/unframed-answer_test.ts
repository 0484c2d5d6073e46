/**
 * A body without a length is complete only if its connection ends regularly. A
 * reset must not be taken for the end of the body.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import type {AttemptError} from '../protocol/attempt.js';
import {UpstreamClient} from '../transport/upstream-client.js';
import {createLookup} from './stand-ins/lookup.js';

const CONNECT_TIMEOUT_MS = 1000;
const DEADLINE_MS = 5000;
/** Time for the first data to arrive before the connection ends. */
const END_DELAY_MS = 50;
const NO_DELAY_MS = 0;

interface EndCase {
  readonly name: string;
  readonly head: string;
  readonly end: (socket: Socket) => void;
  readonly pauseMs: number;
  readonly idempotent: boolean;
  readonly expected: string;
}

const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\nfirst part';
const CLOSING = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst part';

const CASES: readonly EndCase[] = [UNFRAMED, CLOSING].flatMap(head =>
  [true, false].flatMap(idempotent => [
    {
      name: 'ended',
      head,
      pauseMs: END_DELAY_MS,
      idempotent,
      end: (socket: Socket) => void socket.end(),
      expected: 'first part',
    },
    {
      name: 'reset',
      head,
      pauseMs: END_DELAY_MS,
      idempotent,
      end: (socket: Socket) => void socket.resetAndDestroy(),
      expected: 'truncated-answer may-have-run',
    },
    {
      name: 'ended at once',
      head,
      pauseMs: NO_DELAY_MS,
      idempotent,
      end: (socket: Socket) => void socket.end(),
      expected: 'first part',
    },
  ]),
);

let server: Server | undefined;

afterEach(() => server?.close());

function startServer({head, end, pauseMs}: EndCase): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(head);
      setTimeout(() => end(socket), pauseMs);
    });
  });
  return new Promise(resolve => {
    server!.listen(0, '127.0.0.1', () => {
      const {port} = server!.address() as AddressInfo;
      resolve(`127.0.0.1:${port}`);
    });
  });
}

describe('a body without a length', () => {
  it.each(CASES)('$name, idempotent $idempotent: $expected', async endCase => {
    const address = await startServer(endCase);
    const client = new UpstreamClient(address, 1, CONNECT_TIMEOUT_MS);
    const {signal} = new AbortController();
    const {idempotent} = endCase;
    const lookup = createLookup(performance.now() + DEADLINE_MS);
    const request = {...lookup, idempotent};
    const outcome = await client.sendRequest(request, signal).then(
      answer => answer.body.held.toString(),
      (error: AttemptError) => `${error.reason} ${error.verdict}`,
    );
    expect(outcome).toBe(endCase.expected);
    await client.close();
  });
});
