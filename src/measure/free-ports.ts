/**
 * Finds free ports on loopback. They are below the ephemeral port range, so no
 * outgoing connection takes one between finding and use. Tests run in parallel
 * processes, and a port that one process has found but not yet used looks free
 * to the others. Therefore each process claims a range of ports by listening
 * on the first port of the range until it exits.
 */
import type {Server} from 'node:net';
import {createServer} from 'node:net';

/** `fetch` connects to all ports from here on, but not to 10080. */
export const FIRST_PORT = 10_100;
const RANGE_COUNT = 50;
/** Ports per process, far more than it uses at once. */
const RANGE_SIZE = 400;
const LOOPBACK = '127.0.0.1';

/** Hands out the ports of a range that no other process hands out. */
export class PortPool {
  private claim: Promise<number> | undefined;
  private next = 1;

  /**
   * Finds ports that no process listens on.
   *
   * @throws Error when all ranges are claimed.
   */
  async find(count: number): Promise<number[]> {
    this.claim ??= claimRange();
    const first = await this.claim;
    const found: number[] = [];
    while (found.length < count) {
      const port = first + this.next;
      // The first port is the claim itself.
      this.next = (this.next % (RANGE_SIZE - 1)) + 1;
      if (await isFree(port)) found.push(port);
    }
    return found;
  }
}

const pool = new PortPool();

/** Finds ports that no process listens on. */
export function findFreePorts(count: number): Promise<number[]> {
  return pool.find(count);
}

/** Claims a range until the process exits and returns its first port. */
async function claimRange(): Promise<number> {
  for (let index = 0; index < RANGE_COUNT; index++) {
    const rangeIndex = (process.pid + index) % RANGE_COUNT;
    const first = FIRST_PORT + rangeIndex * RANGE_SIZE;
    const server = await openServer(first);
    if (!server) continue;
    server.unref();
    return first;
  }
  throw new Error('no port range is free: all are claimed by other processes');
}

async function isFree(port: number): Promise<boolean> {
  const server = await openServer(port);
  if (!server) return false;
  await new Promise(resolve => server.close(resolve));
  return true;
}

/** Listens on a port; resolves with undefined when the port is in use. */
function openServer(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}
