/**
 * Closes an HTTP server without interrupting requests: an active connection
 * closes after its answer, an idle one when no request can be on its way.
 */
import type {Server} from 'node:http';
import {waitMs} from '../protocol/backoff.js';

const POLL_MS = 20;

/** Waits until the server has no connections; returns false on timeout. */
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
 * requests on the others. Returns false if the timeout expired, after which the
 * remaining connections are closed.
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

/** Stops listening and closes all connections, none of which may be in use. */
export async function closeServer(server: Server): Promise<void> {
  await stopListening(server);
  server.closeAllConnections();
}

/** Accepts pending connections first, since closing would reset them. */
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
