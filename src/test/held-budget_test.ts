/**
 * Bodies that are not whole count toward the bounds of their connection and of
 * the node, whichever way they are read.
 */
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {findFreePorts} from '../measure/free-ports.js';
import {waitFor} from '../measure/wait-for.js';
import {readBody} from '../transport/request-reader.js';
import {profileSchema} from '../protocol/configuration.js';
import {readWholeBody} from '../transport/message-body.js';
import {HeldBudget} from '../transport/limits/held-budget.js';
import {createOrderedServer} from '../transport/limits/ordered-server.js';

const MIB = 1024 * 1024;
const PROFILE = profileSchema.parse({limits: {maxBody: '64MiB'}});

let server: Server;
let sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  sockets = [];
  server.close();
});

type Reader = (message: IncomingMessage) => Promise<unknown>;

const READERS: Readonly<Record<string, Reader>> = {
  'read whole': message => readWholeBody(message, 16 * MIB),
  'read ahead': message => readBody(message, PROFILE),
  'not read': () => new Promise(() => {}),
};

/** Starts a server with a bound of 4 MiB, 2 for a connection; counts events. */
async function startServer(read: Reader): Promise<{
  counts: Map<string, number>;
  openHalf: (size: number) => void;
}> {
  const counts = new Map<string, number>();
  const budget = new HeldBudget(
    {heldPerNode: 4 * MIB},
    {
      count: name => counts.set(name, (counts.get(name) ?? 0) + 1),
      log: () => {},
    },
  );
  server = createOrderedServer({}, message => {
    read(message).catch(() => {});
  });
  const [port] = await findFreePorts(1);
  await budget.startServer(server, 'callers', `127.0.0.1:${port}`);
  const openHalf = (size: number): void => {
    const socket = connect(port!, '127.0.0.1');
    socket.on('error', () => {});
    socket.write(
      `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${2 * size}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(size));
    sockets.push(socket);
  };
  return {counts, openHalf};
}

interface Case {
  readonly reader: string;
  readonly size: number;
  readonly connections: number;
  readonly limit: string;
  readonly closed: number;
}

const CASES: readonly Case[] = [
  // 16 x 0.5 MiB: down to three quarters of 4 MiB.
  {
    reader: 'read whole',
    size: MIB / 2,
    connections: 16,
    limit: 'node',
    closed: 8,
  },
  {
    reader: 'read ahead',
    size: MIB / 2,
    connections: 16,
    limit: 'node',
    closed: 8,
  },
  // Each counts with a window of 64 KiB.
  {
    reader: 'not read',
    size: MIB / 2,
    connections: 100,
    limit: 'node',
    closed: 36,
  },
  {
    reader: 'read whole',
    size: 3 * MIB,
    connections: 1,
    limit: 'connection',
    closed: 1,
  },
];

// Guards against a node that keeps the begun bodies of all its clients.
describe('halves of bodies beyond a bound', () => {
  it.each(CASES)(
    '$connections of $size bytes, $reader, are closed for the $limit',
    async ({reader, size, connections, limit, closed}) => {
      const {counts, openHalf} = await startServer(READERS[reader]!);
      for (let count = 0; count < connections; count++) openHalf(size);
      const name = `connections.closed-${limit}`;
      await waitFor(
        'closed connections',
        () => (counts.get(name) ?? 0) >= closed,
      );
    },
  );
});

describe('halves of bodies within the bounds', () => {
  it.each(Object.keys(READERS))('%s, stay', async reader => {
    const {counts, openHalf} = await startServer(READERS[reader]!);
    for (let count = 0; count < 8; count++) openHalf(MIB / 4);
    await waitFor('all bytes', () =>
      sockets.every(one => one.bytesWritten > MIB / 4),
    );
    expect([...counts]).toEqual([]);
  });
});
