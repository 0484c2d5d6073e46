/**
 * Finds free ports on loopback. They lie below the range that the system uses
 * for outgoing connections, and each process looks in a part of its own and
 * goes on from where it last looked, so that none is taken between finding
 * and use by a test that runs beside.
 */
import {createServer} from 'node:net';

const FIRST_PORT = 10_000;
/** Ports of one process, far more than it uses at once. */
const PART_SIZE = 400;
/** Parts; processes that run beside each other have ids near to each other. */
const PART_COUNT = 50;
const FIRST_OF_PART = FIRST_PORT + (process.pid % PART_COUNT) * PART_SIZE;

let nextInPart = 0;

/** Finds ports that nobody listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  while (found.length < count) {
    const port = FIRST_OF_PART + nextInPart;
    nextInPart = (nextInPart + 1) % PART_SIZE;
    if (await isFree(port)) found.push(port);
  }
  return found;
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
