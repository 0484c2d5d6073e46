/**
 * Callers that close their connection, by the place at which their request waits
 * then. What has been passed on is cancelled; the rest is not passed on.
 */
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {waitMs} from '../protocol/backoff.js';
import {profileSchema} from '../protocol/configuration.js';
import {createCallerServer} from '../transport/caller-listener.js';
import {createDefaultCallerProtocol} from '../transport/default-caller-protocol.js';
import {createPeerServer} from '../transport/peer-listener.js';

const PAUSE_MS = 100;
/** Time in which the users want work for a caller that has left to end. */
const MAX_CANCEL_MS = 500;
const GET = 'GET /desk/1 HTTP/1.1\r\nhost: node\r\n\r\n';
const ATTEMPT = 'GET /attempts/desk/1 HTTP/1.1\r\nhost: gate\r\n\r\n';
const LARGE_BODY = 'x'.repeat(360_000);

function buildPost(length: number): string {
  return `POST /desk/1 HTTP/1.1\r\nhost: node\r\ncontent-length: ${length}\r\n\r\n`;
}

let server: Server | undefined;
let caller: Socket | undefined;

afterEach(() => {
  caller?.destroy();
  server?.closeAllConnections();
  server?.close();
});

/** Work that was passed on and waits for a slot, and what was cancelled. */
interface Work {
  started: number;
  cancelled: number;
}

function waitForSlot(work: Work, signal: AbortSignal): Promise<never> {
  work.started += 1;
  return new Promise((resolve, reject) => {
    signal.addEventListener('abort', () => {
      work.cancelled += 1;
      reject(signal.reason as Error);
    });
  });
}

function createEntry(work: Work): Server {
  const profile = profileSchema.parse({});
  return createCallerServer({
    nodeRoutes: [],
    protocol: createDefaultCallerProtocol({
      findProfile: () => profile,
      findRoute: () => undefined,
      chooseService: () => 'desk',
    }),
    handleRequest: (request, signal) => waitForSlot(work, signal),
    handleRefusal: () => {},
    handleDiscarded: () => {},
    findLimits: () => undefined,
    isStopping: () => false,
  });
}

function createGate(work: Work): Server {
  return createPeerServer({
    handleAttempt: (attempt, signal) => waitForSlot(work, signal),
    handleCall: () => {},
    acknowledgeIntervalMs: PAUSE_MS,
  });
}

/** Stops the event loop, so that what arrives is read in one turn. */
function pauseEventLoop(): void {
  const endsAt = performance.now() + PAUSE_MS;
  while (performance.now() < endsAt);
}

interface LeaveCase {
  readonly name: string;
  readonly createServer: (work: Work) => Server;
  readonly bytes: string;
  /** Whether the request and the close are read in one turn. */
  readonly inOneTurn?: boolean;
  readonly started: number;
}

const CASES: readonly LeaveCase[] = [
  {
    name: 'while it waits for a slot',
    createServer: createEntry,
    bytes: GET,
    started: 1,
  },
  {
    name: 'while it waits for a slot, its large body half read',
    createServer: createEntry,
    bytes: buildPost(LARGE_BODY.length) + LARGE_BODY,
    started: 1,
  },
  {
    name: 'in the midst of its large body',
    createServer: createEntry,
    bytes: buildPost(2 * LARGE_BODY.length) + LARGE_BODY,
    started: 1,
  },
  {
    name: 'in the midst of its small body',
    createServer: createEntry,
    bytes: `${buildPost(10)}x`,
    started: 0,
  },
  {
    name: 'before the node reads it',
    createServer: createEntry,
    bytes: GET,
    inOneTurn: true,
    started: 0,
  },
  {
    name: 'before the gate reads it',
    createServer: createGate,
    bytes: ATTEMPT,
    inOneTurn: true,
    started: 0,
  },
  {
    name: 'while it waits at the gate',
    createServer: createGate,
    bytes: ATTEMPT,
    started: 1,
  },
  {
    name: 'behind pipelined ones that wait',
    createServer: createEntry,
    bytes: GET.repeat(12),
    started: 8,
  },
];

// Guards against work for callers that have left, because their close waited in
// the socket behind bytes that nobody read, or was read with the request.
describe('a request whose caller leaves', () => {
  it.each(CASES)('$name', async row => {
    const work: Work = {started: 0, cancelled: 0};
    server = row.createServer(work);
    await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    caller = connect(port, '127.0.0.1');
    caller.on('error', () => {});
    await new Promise<void>(resolve => caller!.once('connect', resolve));
    await waitMs(PAUSE_MS);
    if (row.inOneTurn) {
      caller.write(row.bytes, () => {
        caller!.destroy();
        pauseEventLoop();
      });
    } else {
      caller.write(row.bytes);
      await waitFor('the start', () => work.started === row.started);
      await waitMs(PAUSE_MS);
      caller.destroySoon();
    }
    await waitMs(MAX_CANCEL_MS);
    expect(work).toEqual({started: row.started, cancelled: row.started});
  });
});
