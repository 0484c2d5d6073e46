/**
 * The end of a connection is noticed while bytes of its answer wait for a
 * reader. The answer goes on, or fails, and nothing else does.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {UpstreamClient} from '../transport/upstream-client.js';
import {createLookup} from './stand-ins/lookup.js';

const CONNECT_TIMEOUT_MS = 1000;
const DEADLINE_MS = 30_000;
const KIB = 1024;
const OK = 'HTTP/1.1 200 OK\r\n';
/** Time for the client to read what it takes before it waits for its reader. */
const FULL_MS = 50;

/** Sizes around the buffers of the client, which wait with any rest unread. */
const SIZES = [80, 96, 112, 128, 144, 160, 192, 256, 320, 1024];

const HEADS: Readonly<Record<string, (bytes: number) => string>> = {
  'no length': () => `${OK}\r\n`,
  'a length, closing': bytes =>
    `${OK}Connection: close\r\nContent-Length: ${bytes}\r\n\r\n`,
};

type EndConnection = (socket: Socket) => void;

const ENDS: Readonly<Record<string, EndConnection>> = {
  'a FIN': socket => void socket.end(),
  'a reset': socket => void socket.resetAndDestroy(),
};

const ROWS = Object.keys(HEADS).flatMap(head =>
  Object.keys(ENDS).map(end => ({head, end})),
);

let server: Server | undefined;

afterEach(() => server?.close());

// Guards against an assertion of the HTTP client that ended the process: the
// connection had ended while the answer was paused.
describe('an answer that waits for its reader', () => {
  it.each(ROWS)('$head, then $end', async ({head, end}) => {
    for (const kib of SIZES) {
      const bytes = kib * KIB;
      let isEnded = false;
      server = createServer(socket => {
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.write(HEADS[head]!(bytes));
          socket.write('x'.repeat(bytes));
          setTimeout(() => {
            ENDS[end]!(socket);
            isEnded = true;
          }, FULL_MS);
        });
      });
      await new Promise<void>(resolve =>
        server!.listen(0, '127.0.0.1', resolve),
      );
      const {port} = server.address() as AddressInfo;
      const client = new UpstreamClient(
        `127.0.0.1:${port}`,
        1,
        CONNECT_TIMEOUT_MS,
      );
      const {signal} = new AbortController();
      const lookup = createLookup(performance.now() + DEADLINE_MS);
      const {body} = await client.sendRequest(lookup, signal);
      let size = body.held.length;
      let isFailed = false;
      const rest = body.rest!;
      rest.on('error', () => (isFailed = true));
      await waitFor('the end of the connection', () => isEnded);
      await new Promise(resolve => setTimeout(resolve, FULL_MS));
      rest.on('data', (chunk: Buffer) => (size += chunk.length));
      rest.resume();
      await waitFor('the end of the answer', () => rest.closed, 5000);
      const isCut = end === 'a reset' && head === 'no length';
      if (isCut) expect(isFailed, `${kib}`).toBe(true);
      else if (end === 'a FIN') expect(isFailed, `${kib}`).toBe(false);
      if (!isFailed) expect(size).toBe(bytes);
      await client.close();
      server.close();
    }
  });
});
