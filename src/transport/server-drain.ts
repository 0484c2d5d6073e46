/**
 * Closes an HTTP server without interrupting requests: an active connection
 * closes after its answer, an idle one when no request can be on its way.
 */
import type {Server} from 'node:http';
import {waitMs} from '../protocol/backoff.js';
import {runAfterReads} from './run-after-reads.js';

const POLL_INTERVAL_MS = 20;

/** Waits until the server has no connections; returns false on timeout. */
export async function waitForNoConnections(
  server: Server,
  timeoutMs: number,
): Promise<boolean> {
  const deadline = performance.now() + timeoutMs;
  while ((await countConnections(server)) > 0) {
    if (performance.now() >= deadline) return false;
    await waitMs(POLL_INTERVAL_MS);
  }
  return true;
}

/**
 * Stops listening, closes connections as they become idle, and waits for the
 * requests on the others. Returns false if the timeout expired, after which the
 * remaining connections are closed.
 *
 * @param handleTimeout called when the timeout has expired, before that.
 */
export async function drainServer(
  server: Server,
  timeoutMs: number,
  handleTimeout: () => void = () => {},
): Promise<boolean> {
  await stopListening(server);
  const idleTimer = setInterval(
    () => runAfterReads(() => server.closeIdleConnections()),
    POLL_INTERVAL_MS,
  );
  const hasEnded = await waitForNoConnections(server, timeoutMs);
  clearInterval(idleTimer);
  if (!hasEnded) handleTimeout();
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
