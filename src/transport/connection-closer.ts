/**
 * Tells the peers of an HTTP server how long an idle connection may be used,
 * and from the beginning of a stop that each connection ends after its answer.
 * Both ride on the answers, so that no connection is closed under a request.
 */
import type {Server, ServerResponse} from 'node:http';
import {waitMs} from '../protocol/backoff.js';

const MS_PER_SECOND = 1000;
const POLL_MS = 20;

/** The connections of one server. */
export class ConnectionCloser {
  private readonly active = new Set<ServerResponse>();
  private readonly idleHint: string | undefined;
  private isClosing = false;

  /**
   * @param idleTimeMs time for which peers may keep an idle connection; longer
   *     ones are not used again, so that after this time none can carry a
   *     request any more. Without it the server's own timeout is told.
   */
  constructor(server: Server, idleTimeMs = 0) {
    const seconds = Math.floor(idleTimeMs / MS_PER_SECOND);
    if (seconds > 0) this.idleHint = `timeout=${seconds}`;
    server.prependListener('request', (message, response) =>
      this.handleResponse(response),
    );
  }

  /** Begins to end each connection after its answer. */
  start(): void {
    this.isClosing = true;
    for (const response of this.active) endAfterAnswer(response);
  }

  /**
   * Waits until no request has been here for a while, whatever connections
   * are open: one that never carried a request does not count as idle to the
   * server, and would hold up a stop for nothing.
   *
   * @param quietMs time without a request, above what one is on its way.
   * @returns false when time ran out.
   */
  async waitUntilQuiet(quietMs: number, limitMs: number): Promise<boolean> {
    const startedAt = performance.now();
    let busyAt = startedAt;
    for (;;) {
      const now = performance.now();
      if (this.active.size > 0) busyAt = now;
      if (now - busyAt >= quietMs) return true;
      if (now - startedAt >= limitMs) return false;
      await waitMs(POLL_MS);
    }
  }

  private handleResponse(response: ServerResponse): void {
    this.active.add(response);
    response.once('close', () => this.active.delete(response));
    if (this.isClosing) endAfterAnswer(response);
    else if (this.idleHint) response.setHeader('keep-alive', this.idleHint);
  }
}

function endAfterAnswer(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  if (!response.headersSent) response.removeHeader('keep-alive');
}
