/**
 * Closing an HTTP server without cutting a request: its connections end by
 * themselves, one after the answer that told the peer so, an idle one when
 * nothing can be on its way any more.
 */
import type {Server} from 'node:http';
import {waitMs} from '../protocol/backoff.js';

const POLL_MS = 20;

/** Waits until the server has no connections; false when time ran out. */
export async function waitForNoConnections(
  server: Server,
  limitMs: number,
): Promise<boolean> {
  const until = performance.now() + limitMs;
  while ((await countConnections(server)) > 0) {
    if (performance.now() >= until) return false;
    await waitMs(POLL_MS);
  }
  return true;
}

/**
 * Stops listening, closes connections as they become idle, and waits for the
 * requests on the others; false when some had to be cut at the limit.
 */
export async function drainServer(
  server: Server,
  limitMs: number,
): Promise<boolean> {
  await stopListening(server);
  const idleTimer = setInterval(() => server.closeIdleConnections(), POLL_MS);
  const hasEnded = await waitForNoConnections(server, limitMs);
  clearInterval(idleTimer);
  server.closeAllConnections();
  return hasEnded;
}

/** Stops listening and closes all connections, which carry nothing more. */
export async function closeServer(server: Server): Promise<void> {
  await stopListening(server);
  server.closeAllConnections();
}

/** Stops right after pending connects were accepted: a close resets them. */
function stopListening(server: Server): Promise<void> {
  return new Promise(resolve => {
    setImmediate(() => {
      server.close();
      resolve();
    });
  });
}

function countConnections(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.getConnections((error, count) => {
      if (error) reject(error);
      else resolve(count);
    });
  });
}
