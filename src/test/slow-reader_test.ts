/**
 * A gate whose answer is read slowly, on loopback: what it reads ahead of the
 * reader, how long the worker's slot stays taken, and what the reader sees
 * after the worker has cut off an answer that wasn't read.
 */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect, createServer as createSocketServer} from 'node:net';
import type {AddressInfo, Server as SocketServer, Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {SlotAdmission} from '../coordination/admission/slot-admission.js';
import {UNREAD_TIMEOUT_MS} from '../coordination/admission/unread-answer.js';
import {CrashQuarantine} from '../coordination/crash-quarantine.js';
import {Gate} from '../coordination/gate.js';
import {configurationSchema} from '../protocol/configuration.js';
import {waitFor} from '../measure/wait-for.js';
import {CrashTable} from '../state/crash-table.js';
import {StateStore} from '../state/state-store.js';
import {writeAnswer} from '../transport/answer-writer.js';
import {UpstreamClient} from '../transport/upstream-client.js';
import {measureGrowth} from './stand-ins/endless-sender.js';
import {createLookup} from './stand-ins/lookup.js';

const KIB = 1024;
const MIB = 1024 * KIB;
/** Far above the buffers of the system for two connections. */
const LARGE_BYTES = 256 * MIB;
const CONNECT_TIMEOUT_MS = 1000;
/** A worker cuts off an answer of which nothing is taken for this time. */
const CUT_MS = 500;
const PART = Buffer.alloc(64 * KIB, 'x');

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

async function startServer(server: Server | SocketServer): Promise<number> {
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  closers.push(() => server.close());
  return (server.address() as AddressInfo).port;
}

/** A worker that cuts off an answer which isn't read. */
class Worker {
  written = 0;
  hasCut = false;

  constructor(private readonly sizeBytes: number) {}

  start(): Promise<number> {
    const server = createSocketServer(socket => {
      socket.on('error', () => {});
      socket.once('data', head => {
        if (head.includes('GET /health')) {
          socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
          return;
        }
        socket.write(
          `HTTP/1.1 200 OK\r\ncontent-length: ${this.sizeBytes}\r\n\r\n`,
        );
        this.sendParts(socket);
      });
      closers.push(() => socket.destroy());
    });
    return startServer(server);
  }

  private sendParts(socket: Socket): void {
    while (this.written < this.sizeBytes && !socket.destroyed) {
      const part = PART.subarray(0, this.sizeBytes - this.written);
      this.written += part.length;
      if (socket.write(part)) continue;
      const timer = setTimeout(() => {
        this.hasCut = true;
        socket.resetAndDestroy();
      }, CUT_MS);
      socket.once('drain', () => {
        clearTimeout(timer);
        this.sendParts(socket);
      });
      return;
    }
  }
}

/** Starts a gate and a server that writes its answer to each request. */
async function startNode(
  worker: Worker,
  isOn: boolean,
): Promise<{gate: Gate; port: number}> {
  const address = `127.0.0.1:${await worker.start()}`;
  const configuration = configurationSchema.parse({
    profiles: {desk: {admission: {boundsWorkerBytes: isOn}}},
    services: {'kona-desk': {profile: 'desk'}},
  });
  const gate = new Gate(
    () => new UpstreamClient(address, 1, CONNECT_TIMEOUT_MS),
    new StateStore(configuration),
    'kona',
    new CrashQuarantine(new CrashTable(), async () => {}),
    {createAdmission: ({slots}, limits) => new SlotAdmission(slots, limits)},
  );
  gate.announce({
    service: 'kona-desk',
    version: 'v1',
    address,
    slots: 1,
    state: 'ready',
    ttlMs: 600_000,
  });
  const server = createServer((message, response) => {
    const abort = new AbortController();
    response.once('close', () => abort.abort());
    const request = createLookup(performance.now() + 60_000);
    gate
      .runAttempt(request, 'v1', abort.signal)
      .then(answer => writeAnswer(response, answer, {}))
      .catch(() => response.destroy());
  });
  return {gate, port: await startServer(server)};
}

function countInFlight(gate: Gate): number {
  return gate.findLoad('kona-desk')!.inFlight;
}

/**
 * Sends a request and reads nothing of the answer.
 *
 * @returns A function that reads until the end and returns the bytes read.
 */
function openReader(port: number): () => Promise<number> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n');
  closers.push(() => socket.destroy());
  return () =>
    new Promise(resolve => {
      let size = 0;
      socket.on('data', part => (size += part.length));
      socket.on('close', () => resolve(size));
      socket.resume();
    });
}

describe('an answer that its caller does not read', () => {
  // Guards against a slot that a slow reader of a small answer keeps from
  // others.
  it.each([false, true])('frees the slot if small, key %s', async isOn => {
    const worker = new Worker(60 * KIB);
    const {gate, port} = await startNode(worker, isOn);
    const read = openReader(port);
    await waitFor('the answer', () => worker.written === 60 * KIB);
    await waitFor('the slot to be free', () => countInFlight(gate) === 0);
    expect(await read()).toBeGreaterThan(60 * KIB);
    expect(worker.hasCut).toBe(false);
  });

  // Guards against a node that reads a large answer into its memory, an answer
  // that looks whole after the worker has cut it off, a slot that stays taken
  // after the cut, and a service time that is that of the reader.
  it.each([
    {name: 'keeps it without the key', isOn: false},
    {name: 'frees it with the key', isOn: true},
  ])('is passed on in parts if large, and $name', async ({isOn}) => {
    const worker = new Worker(LARGE_BYTES);
    const {gate, port} = await startNode(worker, isOn);
    const read = openReader(port);
    const startedAt = performance.now();
    const growth = await measureGrowth(() =>
      waitFor('the worker to cut off the answer', () => worker.hasCut),
    );
    expect(growth).toBeLessThan(16 * MIB);
    expect(worker.written).toBeLessThan(LARGE_BYTES / 4);
    expect(countInFlight(gate)).toBe(1);
    await waitFor(
      'the time after which the slot is free',
      () =>
        performance.now() - startedAt > UNREAD_TIMEOUT_MS + 2 * CUT_MS &&
        countInFlight(gate) === (isOn ? 0 : 1),
    );
    expect(await read()).toBeLessThan(LARGE_BYTES);
    await waitFor('the slot to be free', () => countInFlight(gate) === 0);
    const serviceMs = gate.findLoad('kona-desk')!.serviceTimeUs / 1000;
    if (isOn) expect(serviceMs).toBeLessThan(UNREAD_TIMEOUT_MS);
    else expect(serviceMs).toBeGreaterThan(UNREAD_TIMEOUT_MS);
  });
});
