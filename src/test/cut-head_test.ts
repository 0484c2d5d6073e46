/**
 * A worker stops in the head of its answer and closes its connection. No caller
 * may get an answer that looks complete.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import type {AttemptError} from '../protocol/attempt.js';
import {UpstreamClient} from '../transport/upstream-client.js';
import {createLookup} from './stand-ins/lookup.js';

const CONNECT_TIMEOUT_MS = 1000;
const DEADLINE_MS = 5000;
const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone';

/** Answers; the body of each is `done`. */
const ANSWERS: Readonly<Record<string, string>> = {
  'with a length': WHOLE,
  'with a length, last on its connection':
    'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone',
  'in chunks':
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n',
  'of HTTP/1.0 with a length':
    'HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone',
  'after an interim one': `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${WHOLE}`,
  'after an interim one that closes': `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${WHOLE}`,
  'with its length repeated':
    'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone',
  'without a length': 'HTTP/1.1 200 OK\r\nserver: a\r\n\r\ndone',
};

type EndConnection = (socket: Socket) => void;
const ENDS: Readonly<Record<string, EndConnection>> = {
  'an end': socket => void socket.end(),
  'a reset': socket => void socket.resetAndDestroy(),
};

interface CutCase {
  readonly name: string;
  readonly text: string;
  readonly how: string;
  readonly isKept: boolean;
}

const CASES: readonly CutCase[] = Object.entries(ANSWERS).flatMap(
  ([name, text]) =>
    Object.keys(ENDS).flatMap(how =>
      [false, true].map(isKept => ({name, text, how, isKept})),
    ),
);

/** What the server sends to the next request, and how it ends after it. */
let next: {readonly bytes: string; readonly end: EndConnection} | undefined;
let server: Server;
let address: string;
let client: UpstreamClient | undefined;

beforeAll(async () => {
  server = createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', () => {
      if (!next) {
        socket.write(WHOLE);
        return;
      }
      const {bytes, end} = next;
      if (bytes === '') end(socket);
      else socket.write(bytes, () => setTimeout(() => end(socket), 1));
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  address = `127.0.0.1:${port}`;
});

afterAll(() => void server.close());

afterEach(async () => {
  await client?.close();
  client = undefined;
});

async function send(idempotent: boolean): Promise<string> {
  const lookup = createLookup(performance.now() + DEADLINE_MS);
  const {signal} = new AbortController();
  return client!.sendRequest({...lookup, idempotent}, signal).then(
    ({status, body}) => `${status} ${body.held.toString()}`,
    (error: AttemptError) => `${error.reason} ${error.verdict}`,
  );
}

describe('an answer cut at each byte', () => {
  it.each(CASES)(
    '$name, by $how, kept $isKept: never looks complete',
    async ({text, how, isKept}) => {
      const isUnframed = !/length|chunked/i.test(text);
      for (let size = 0; size < text.length; size++) {
        client = new UpstreamClient(address, 1, CONNECT_TIMEOUT_MS);
        next = undefined;
        if (isKept) expect(await send(true)).toBe('200 done');
        next = {bytes: text.slice(0, size), end: ENDS[how]!};
        const outcome = await send(true);
        const isBodyBegun =
          isUnframed && text.slice(0, size).includes('\r\n\r\n');
        // Nothing but the end of its connection ends such a body.
        if (isBodyBegun && how === 'an end') {
          expect(outcome).toBe(
            `200 ${text.slice(0, size).split('\r\n\r\n')[1]}`,
          );
        } else {
          expect(outcome, text.slice(0, size)).toMatch(
            /^(connection-lost|truncated-answer) may-have-run$/,
          );
        }
        await client.close();
        client = undefined;
      }
    },
  );
});
