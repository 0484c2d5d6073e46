/**
 * Bodies in short chunks: whatever their sizes, however slowly they are read
 * and whatever follows on the connection, each body arrives as it was sent.
 */
import {createHash} from 'node:crypto';
import type {IncomingMessage, RequestListener, Server} from 'node:http';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import seedrandom from 'seedrandom';
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {waitMs} from '../protocol/backoff.js';
import {CountedMessage} from '../transport/limits/counted-message.js';

const SEED = 'short chunks';
const KB = 1000;

let server: Server;
let socket: Socket;

afterEach(() => {
  socket.destroy();
  server.closeAllConnections();
  server.close();
});

async function openConnection(serve: RequestListener): Promise<void> {
  server = createServer({IncomingMessage: CountedMessage}, serve);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('error', () => {});
}

function computeDigest(bytes: Buffer): string {
  return createHash('sha1').update(bytes).digest('hex');
}

/** Formats a request whose body is framed in chunks of the given sizes. */
function formatRequest(body: Buffer, chooseSize: () => number): Buffer {
  const parts: Buffer[] = [
    Buffer.from(
      'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n',
    ),
  ];
  for (let start = 0; start < body.length;) {
    const part = body.subarray(start, start + chooseSize());
    parts.push(Buffer.from(`${part.length.toString(16)}\r\n`), part);
    parts.push(Buffer.from('\r\n'));
    start += part.length;
  }
  return Buffer.concat([...parts, Buffer.from('0\r\n\r\n')]);
}

type ReadBody = (message: IncomingMessage) => Promise<Buffer>;

/** Ways to read a body, some of which let it wait. */
const READERS: Readonly<Record<string, ReadBody>> = {
  'as it comes': readAll,
  'after a while': async message => {
    await waitMs(50);
    return readAll(message);
  },
  'with pauses': async message => {
    const chunks: Buffer[] = [];
    for await (const chunk of message) {
      chunks.push(chunk as Buffer);
      if (chunks.length % 8 === 0) await waitMs(1);
    }
    return Buffer.concat(chunks);
  },
};

async function readAll(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

const random = seedrandom(SEED);

/** Sizes of chunks, which may vary within one body. */
const SIZES: Readonly<Record<string, () => number>> = {
  'of one byte': () => 1,
  'of up to 9 bytes': () => 1 + Math.floor(random() * 9),
  'of up to 400 bytes': () => 1 + Math.floor(random() * 400),
  'some of 5 KB between those of one byte': () =>
    random() < 0.001 ? 5 * KB : 1,
};

const ROWS = Object.keys(SIZES).flatMap(size =>
  Object.keys(READERS).map(reader => [size, reader] as const),
);

// Guards against bytes that are lost, doubled or out of order where a connection
// passes from the server's reading to turns and back.
describe('three requests in chunks, sent ahead', () => {
  it.each(ROWS)('%s, read %s, arrive whole', async (size, reader) => {
    const received: string[] = [];
    await openConnection((message, response) => {
      void READERS[reader]!(message).then(body => {
        received.push(computeDigest(body));
        response.end();
      });
    });
    const bodies = [60, 1, 90].map(kilobytes =>
      Buffer.from(Array.from({length: kilobytes * KB}, () => random() * 256)),
    );
    for (const body of bodies) socket.write(formatRequest(body, SIZES[size]!));
    socket.resume();
    await waitFor('three bodies', () => received.length === bodies.length);
    expect(received.sort()).toEqual(bodies.map(computeDigest).sort());
  });
});

describe('a body in chunks of one byte', () => {
  it('is left by a handler that answers at once, and the next is served', async () => {
    let served = 0;
    await openConnection((message, response) => {
      served += 1;
      response.end();
    });
    const body = Buffer.alloc(50 * KB);
    for (let count = 0; count < 2; count++)
      socket.write(formatRequest(body, () => 1));
    socket.resume();
    await waitFor('both to be served', () => served === 2);
  });

  it('that its sender cuts off ends with an error', async () => {
    let error: unknown;
    let size = 0;
    await openConnection(message => {
      message.on('data', (chunk: Buffer) => (size += chunk.length));
      message.on('error', caught => (error = caught));
    });
    const bytes = formatRequest(Buffer.alloc(50 * KB), () => 1);
    socket.write(bytes.subarray(0, bytes.length / 2));
    await waitFor('some of the body', () => size > 20 * KB);
    socket.destroy();
    await waitFor('the error', () => error !== undefined);
  });

  it('that ends in bytes that are no chunk is refused', async () => {
    await openConnection(message => message.on('error', () => {}).resume());
    const bytes = formatRequest(Buffer.alloc(50 * KB), () => 1);
    socket.write(bytes.subarray(0, -5));
    socket.write('no chunk\r\n');
    const [answer] = await new Promise<Buffer[]>(resolve => {
      socket.once('data', (...parts: Buffer[]) => resolve(parts));
    });
    expect(String(answer)).toMatch(/^HTTP\/1.1 400 /);
  });

  // Guards against an event for each chunk, which costs some microseconds.
  it('reaches its reader in far fewer parts than chunks', async () => {
    let parts = 0;
    await openConnection((message, response) => {
      message.on('data', () => (parts += 1));
      message.on('end', () => response.end());
    });
    socket.write(formatRequest(Buffer.alloc(50 * KB), () => 1));
    await new Promise(resolve => socket.once('data', resolve));
    expect(parts).toBeLessThan(5000);
  });
});
