/**
 * Finds free ports on loopback. They lie below the range that the system uses
 * for outgoing connections, so that none is taken between finding and use.
 * Tests run in processes side by side, and a port that one has found and not
 * used yet looks free to the others: so each process claims a part of the
 * range by listening on its first port as long as it lives.
 */
import type {Server} from 'node:net';
import {createServer} from 'node:net';

const FIRST_PORT = 10_000;
const PART_COUNT = 50;
/** Ports of one process, far more than it uses at once. */
const PART_SIZE = 400;
const LOOPBACK = '127.0.0.1';

/** The ports of one part of the range, which nobody else hands out. */
export class PortPool {
  private claim: Promise<number> | undefined;
  private next = 1;

  /**
   * Finds ports that nobody listens on.
   *
   * @throws Error when all parts are claimed.
   */
  async find(count: number): Promise<number[]> {
    this.claim ??= claimPart();
    const first = await this.claim;
    const found: number[] = [];
    while (found.length < count) {
      const port = first + this.next;
      // The first port is the claim itself.
      this.next = (this.next % (PART_SIZE - 1)) + 1;
      if (await isFree(port)) found.push(port);
    }
    return found;
  }
}

const pool = new PortPool();

/** Finds ports that nobody listens on. */
export function findFreePorts(count: number): Promise<number[]> {
  return pool.find(count);
}

/** Claims a part until the process ends; its first port. */
async function claimPart(): Promise<number> {
  for (let index = 0; index < PART_COUNT; index++) {
    const part = (process.pid + index) % PART_COUNT;
    const first = FIRST_PORT + part * PART_SIZE;
    const server = await openServer(first);
    if (!server) continue;
    server.unref();
    return first;
  }
  throw new Error('all parts of the port range are claimed');
}

async function isFree(port: number): Promise<boolean> {
  const server = await openServer(port);
  if (!server) return false;
  await new Promise(resolve => server.close(resolve));
  return true;
}

/** A server on a port; undefined when somebody listens there. */
function openServer(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}
