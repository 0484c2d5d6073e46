/**
 * Tests each fault of the fault proxy, on which tests of other behaviour
 * depend.
 */
import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {parseAddress} from '../protocol/node-identity.js';
import {createLinkFaults, FaultProxy} from './stand-ins/fault-proxy.js';
import {startOnLoopback} from './stand-ins/json-http.js';

/** A client that records the data it receives. */
class TestClient {
  received = '';
  hasEnded = false;
  errorCode = '';
  readonly socket: Socket;

  constructor(address: string, localAddress = '127.0.0.1') {
    this.socket = connect({...parseAddress(address), localAddress});
    this.socket.on('data', part => (this.received += part.toString()));
    this.socket.on('end', () => (this.hasEnded = true));
    this.socket.on('error', error => {
      this.errorCode = (error as NodeJS.ErrnoException).code ?? '';
    });
  }

  async sendAndReceive(text: string): Promise<void> {
    const expected = this.received + text;
    this.socket.write(text);
    await waitFor(`echo of ${text}`, () => this.received === expected);
  }
}

let echo: Server;
let proxy: FaultProxy;

beforeEach(async () => {
  echo = createServer(socket => {
    socket.on('error', () => {}).pipe(socket);
  });
  // A net server has the same `listen` as an HTTP server.
  proxy = new FaultProxy(await startOnLoopback(echo as never));
  await proxy.start();
});

afterEach(async () => {
  await proxy.stop();
  echo.close();
});

interface FaultCase {
  readonly name: string;
  readonly run: (client: TestClient) => Promise<void>;
}

const cases: FaultCase[] = [
  {
    name: 'without faults bytes and the end of the stream pass',
    run: async client => {
      client.socket.end('bye');
      await waitFor('end', () => client.hasEnded);
      expect(client.received).toBe('onebye');
    },
  },
  {
    name: 'a delay holds back each chunk',
    run: async client => {
      proxy.faults.toClient.delayMs = 50;
      const startedAt = performance.now();
      await client.sendAndReceive('two');
      expect(performance.now() - startedAt).toBeGreaterThan(45);
    },
  },
  {
    name: 'a stall holds back bytes until it ends',
    run: async client => {
      proxy.faults.toTarget.isStalled = true;
      client.socket.write('two');
      const other = new TestClient(proxy.address);
      await waitFor('connect', () => proxy.openCount === 2);
      expect(client.received).toBe('one');
      proxy.faults.toTarget.isStalled = false;
      await waitFor('echo', () => client.received === 'onetwo');
      other.socket.destroy();
    },
  },
  {
    name: 'silent connections stay silent and new ones work',
    run: async client => {
      proxy.holdConnections();
      client.socket.write('two');
      const other = new TestClient(proxy.address);
      await other.sendAndReceive('three');
      expect(client.received).toBe('one');
      expect(client.errorCode).toBe('');
      other.socket.destroy();
    },
  },
  {
    name: 'a cut passes the bytes before it and no others',
    run: async client => {
      proxy.faults.toClient.cutAfterBytes = 5;
      client.socket.write('twenty');
      // libuv reports a reset directly after data as the end of the stream.
      await waitFor('close', () => client.socket.destroyed);
      expect(client.received).toBe('onetw');
    },
  },
  {
    name: 'a reset reaches the client',
    run: async client => {
      proxy.resetConnections();
      await waitFor('reset', () => client.errorCode === 'ECONNRESET');
    },
  },
  {
    name: 'refused connects do not affect open connections',
    run: async client => {
      await proxy.refuse();
      const other = new TestClient(proxy.address);
      await waitFor('refusal', () => other.errorCode === 'ECONNREFUSED');
      await client.sendAndReceive('two');
      await proxy.accept();
      const third = new TestClient(proxy.address);
      await third.sendAndReceive('three');
      third.socket.destroy();
    },
  },
  {
    name: 'faults of one source do not affect the others',
    run: async client => {
      const faults = createLinkFaults();
      faults.toTarget.isStalled = true;
      proxy.faultsBySource.set('127.0.0.9', faults);
      const other = new TestClient(proxy.address, '127.0.0.9');
      other.socket.write('two');
      await waitFor('connect', () => proxy.openCount === 2);
      await client.sendAndReceive('three');
      expect(other.received).toBe('');
      other.socket.destroy();
    },
  },
];

describe('faults of the proxy', () => {
  it.each(cases)('$name', async ({run}) => {
    const client = new TestClient(proxy.address);
    await client.sendAndReceive('one');
    await run(client);
    client.socket.destroy();
  });
});
