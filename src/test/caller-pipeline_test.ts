/**
 * Requests that a caller sends on one connection before earlier ones are
 * answered: their order, their bound, and the end of the connection.
 */
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {profileSchema} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {ServiceAnswer} from '../protocol/service-request.js';
import {createCallerServer} from '../transport/caller-listener.js';
import {ConnectionCloser} from '../transport/connection-closer.js';
import {createDefaultCallerProtocol} from '../transport/default-caller-protocol.js';

/** Requests of one connection that may run at a time. */
const MAX_RUNNING = 8;
const SMALL_HEADER_BYTES = 4096;

/** A request that runs at the stand-in of the entry, until the test ends it. */
interface Run {
  readonly path: string;
  isCancelled: boolean;
  answer(): void;
  refuse(): void;
}

let server: Server;
let closer: ConnectionCloser;
let runs: Run[] = [];
let received = '';
let caller: Socket | undefined;

afterEach(() => {
  caller?.destroy();
  server.closeAllConnections();
  server.close();
});

async function startServer(): Promise<void> {
  runs = [];
  received = '';
  const profile = profileSchema.parse({});
  server = createCallerServer({
    nodeRoutes: [],
    protocol: createDefaultCallerProtocol({
      findProfile: () => profile,
      findRoute: () => undefined,
      chooseService: () => 'desk',
    }),
    handleRequest: (request, signal) =>
      new Promise<ServiceAnswer>((resolve, reject) => {
        const {path} = request;
        const run: Run = {
          path,
          isCancelled: false,
          answer: () =>
            resolve({
              status: 200,
              headers: {},
              body: {held: Buffer.from(`<answer to ${path}>`)},
            }),
          refuse: () => reject(new RefusalError(Reason.QUEUE_FULL)),
        };
        signal.addEventListener('abort', () => (run.isCancelled = true));
        runs.push(run);
      }),
    handleRefusal: () => {},
    handleDiscarded: () => {},
    findLimits: () => ({
      maxHeader: SMALL_HEADER_BYTES,
      headerTimeout: 10_000,
      idleTimeout: 10_000,
    }),
    isStopping: () => false,
  });
  closer = new ConnectionCloser(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  caller = connect(port, '127.0.0.1');
  caller.on('data', chunk => (received += chunk.toString()));
  caller.on('error', () => {});
}

function formatGet(index: number, headers = ''): string {
  return `GET /desk/${index} HTTP/1.1\r\nhost: node\r\n${headers}\r\n`;
}

function send(...texts: readonly string[]): void {
  caller!.write(texts.join(''));
}

function sendGets(count: number): void {
  send(...Array.from({length: count}, (unused, index) => formatGet(index)));
}

function findRun(index: number): Run | undefined {
  return runs.find(({path}) => path === `/${index}`);
}

async function waitForRuns(count: number): Promise<void> {
  await waitFor(`${count} runs`, () => Promise.resolve(runs.length === count));
}

async function waitForText(text: string): Promise<void> {
  await waitFor(text, () => Promise.resolve(received.includes(text)));
}

async function waitForEnd(): Promise<void> {
  await waitFor('the end', () => Promise.resolve(caller!.readableEnded));
}

/** Lists statuses, bodies of answers and closing headers as received. */
function listReceived(): string[] {
  const pattern = /HTTP\/1\.1 (\d+)|<answer to \/(\d+)>|connection: (close)/gi;
  return [...received.matchAll(pattern)].map(
    ([, status, answer, close]) => status ?? answer ?? close!.toLowerCase(),
  );
}

describe('pipelined requests', () => {
  it('run at the same time and are answered in their order', async () => {
    await startServer();
    sendGets(3);
    await waitForRuns(3);
    for (const index of [2, 1, 0]) findRun(index)!.answer();
    await waitForText('answer to /2');
    expect(listReceived()).toEqual(['200', '0', '200', '1', '200', '2']);
  });

  it('run only so many at a time, and all are answered', async () => {
    await startServer();
    const count = 100;
    sendGets(count);
    let most = 0;
    for (let index = 0; index < count; index++) {
      await waitFor(`run ${index}`, () =>
        Promise.resolve(findRun(index) !== undefined),
      );
      most = Math.max(most, runs.length - index);
      findRun(index)!.answer();
    }
    await waitForText(`answer to /${count - 1}>`);
    expect(most).toBeLessThanOrEqual(MAX_RUNNING);
  });

  it('keep their order around one that is refused', async () => {
    await startServer();
    sendGets(3);
    await waitForRuns(3);
    findRun(1)!.refuse();
    findRun(2)!.answer();
    findRun(0)!.answer();
    await waitForText('answer to /2');
    expect(listReceived()).toEqual(['200', '0', '503', '200', '2']);
  });

  // Guards against work that goes on for a caller that has left, since only the
  // first unanswered request of a connection noticed that it was closed.
  it('are all cancelled when the caller leaves', async () => {
    await startServer();
    sendGets(4);
    await waitForRuns(4);
    findRun(2)!.answer();
    caller!.destroy();
    await waitFor('all to be cancelled', () =>
      Promise.resolve([0, 1, 3].every(index => findRun(index)!.isCancelled)),
    );
  });

  interface CloseCase {
    readonly name: string;
    /** Sent behind three requests that run. */
    readonly behind: string;
    /** Sent once the others are answered. */
    readonly later: string;
    readonly expected: readonly string[];
  }
  const closes: readonly CloseCase[] = [
    {
      name: 'bytes that are no request',
      behind: 'rubbish\r\n\r\n',
      later: '',
      expected: ['200', '0', '200', '1', '200', '2'],
    },
    {
      name: 'a head above the limit',
      behind: formatGet(3, `x-long: ${'x'.repeat(SMALL_HEADER_BYTES)}\r\n`),
      later: formatGet(4),
      expected: ['200', '0', '200', '1', '200', '2', '431', 'close'],
    },
    {
      name: 'a head above the fixed limit',
      behind: formatGet(3, `x-long: ${'x'.repeat(80 * 1024)}\r\n`),
      later: '',
      expected: ['200', '0', '200', '1', '200', '2'],
    },
    {
      name: 'a request that asks to close',
      behind: formatGet(3, 'connection: close\r\n'),
      later: formatGet(4),
      expected: ['200', '0', '200', '1', '200', '2', '200', '3', 'close'],
    },
  ];
  // Guards against a refusal that is sent before, or in place of, the answers
  // to earlier requests: callers take it for the answer to the first of them.
  it.each(closes)('are answered before $name', async row => {
    await startServer();
    sendGets(3);
    send(row.behind);
    await waitFor('the runs', () => Promise.resolve(runs.length >= 3));
    await waitFor('the last to be read', () =>
      Promise.resolve(row.name !== closes[3]!.name || runs.length === 4),
    );
    for (const run of [...runs].reverse()) run.answer();
    send(row.later);
    await waitForEnd();
    const others = listReceived().filter(text => text !== 'close');
    const expected = row.expected.filter(text => text !== 'close');
    expect(others.slice(0, expected.length)).toEqual(expected);
    expect(findRun(4)).toBeUndefined();
  });

  const stops = [
    {name: 'while all run', answeredBefore: [], sentAfter: 0},
    {name: 'while the later ones wait', answeredBefore: [1, 2], sentAfter: 0},
    {name: 'before another one arrives', answeredBefore: [], sentAfter: 1},
  ];
  // Guards against a planned stop that cuts off requests at which workers are at
  // work, because the answer to an earlier one closes the connection.
  it.each(stops)('are all answered by a stop $name', async row => {
    const {answeredBefore, sentAfter} = row;
    await startServer();
    sendGets(3);
    await waitForRuns(3);
    for (const index of answeredBefore) findRun(index)!.answer();
    closer.start();
    for (let index = 0; index < sentAfter; index++) {
      send(formatGet(3 + index));
      await waitForRuns(4 + index);
    }
    for (const run of runs) run.answer();
    await waitForEnd();
    const count = 3 + sentAfter;
    const answers = listReceived().filter(text => /^\d$/.test(text));
    expect(answers).toEqual(
      Array.from({length: count}, (unused, index) => String(index)),
    );
  });

  it('that come behind the last answer of a stop do not run', async () => {
    await startServer();
    sendGets(2);
    await waitForRuns(2);
    closer.start();
    findRun(1)!.answer();
    await new Promise(resolve => setImmediate(resolve));
    send(formatGet(2));
    await new Promise(resolve => setTimeout(resolve, 50));
    findRun(0)!.answer();
    await waitForEnd();
    expect(findRun(2)).toBeUndefined();
    expect(listReceived()).toEqual(['200', '0', '200', 'close', '1']);
  });
});
