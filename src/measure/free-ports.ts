/**
 * Finds free ports on loopback. They lie below the range that the system uses
 * for outgoing connections, so that none is taken between finding and use.
 */
import {createServer} from 'node:net';

const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/** Finds ports that nobody listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  let candidate = Math.floor(Math.random() * PORT_COUNT);
  while (found.length < count) {
    candidate = (candidate + 1) % PORT_COUNT;
    const port = FIRST_PORT + candidate;
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
