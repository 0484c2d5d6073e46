/**
 * Announces to the clients of an HTTP server how long they may reuse an idle
 * connection and, while the server stops, that each connection closes after its
 * current answer. Both are announced in answer headers, so that no connection
 * is closed while a request is on its way.
 */
import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {waitMs} from '../protocol/backoff.js';

const MS_PER_SECOND = 1000;
const POLL_INTERVAL_MS = 20;

/** Controls keep-alive of the connections of one server. */
export class ConnectionCloser {
  /**
   * Responses without an end, by connection. Node.js emits no event for those
   * that still wait for earlier ones when their connection closes.
   */
  private readonly active = new Map<Socket, Set<ServerResponse>>();
  /** The latest request of each connection; earlier ones may be unanswered. */
  private readonly lastResponses = new WeakMap<Socket, ServerResponse>();
  private keepAliveHeader: string | undefined;
  private isClosing = false;

  /**
   * @param idleTimeMs time for which clients may keep an idle connection.
   *     Clients don't reuse connections that were idle for longer, so after
   *     this time no idle connection can carry a request. If 0, the server
   *     announces its own keep-alive timeout.
   */
  constructor(server: Server, idleTimeMs = 0) {
    this.setIdleTime(idleTimeMs);
    server.prependListener('request', (message, response) =>
      this.handleResponse(message.socket, response),
    );
  }

  /** Sets the time that later answers announce. */
  setIdleTime(idleTimeMs: number): void {
    const seconds = Math.floor(idleTimeMs / MS_PER_SECOND);
    this.keepAliveHeader = seconds > 0 ? `timeout=${seconds}` : undefined;
  }

  /** Starts to close each connection after the last answer it waits for. */
  start(): void {
    this.isClosing = true;
    for (const [socket, responses] of this.active) {
      const last = this.lastResponses.get(socket);
      if (last && responses.has(last)) endAfterAnswer(last);
    }
  }

  /**
   * Waits until no request has been active for some time. Open connections
   * are not considered: Node.js does not count a connection that never carried
   * a request as idle, so waiting for it would delay a stop needlessly.
   *
   * @param quietMs time without requests; must exceed the time that a request
   *     spends on the network.
   * @returns false when the timeout expired first.
   */
  async waitUntilQuiet(quietMs: number, timeoutMs: number): Promise<boolean> {
    const startedAt = performance.now();
    let lastBusyAt = startedAt;
    for (;;) {
      const now = performance.now();
      if (this.isBusy()) lastBusyAt = now;
      if (now - lastBusyAt >= quietMs) return true;
      if (now - startedAt >= timeoutMs) return false;
      await waitMs(POLL_INTERVAL_MS);
    }
  }

  /**
   * Waits until the requests that are active now have ended; later ones are not
   * waited for.
   *
   * @returns false when the timeout expired first.
   */
  async waitForActive(timeoutMs: number): Promise<boolean> {
    const deadline = performance.now() + timeoutMs;
    const responses = this.listActive();
    while (responses.some(isActive)) {
      if (performance.now() >= deadline) return false;
      await waitMs(POLL_INTERVAL_MS);
    }
    return true;
  }

  /** Lists the responses that are not complete, also those that must wait. */
  listActive(): ServerResponse[] {
    return [...this.active.values()].flatMap(responses => [...responses]);
  }

  private isBusy(): boolean {
    for (const {size} of this.active.values()) if (size > 0) return true;
    return false;
  }

  private findResponses(socket: Socket): Set<ServerResponse> {
    const known = this.active.get(socket);
    if (known) return known;
    const responses = new Set<ServerResponse>();
    // Also later ones of a read that goes on after the close are let go.
    if (socket.destroyed) return responses;
    this.active.set(socket, responses);
    socket.once('close', () => this.active.delete(socket));
    return responses;
  }

  private handleResponse(socket: Socket, response: ServerResponse): void {
    const responses = this.findResponses(socket);
    responses.add(response);
    response.once('close', () => responses.delete(response));
    const previous = this.lastResponses.get(socket);
    this.lastResponses.set(socket, response);
    if (this.isClosing) {
      // Closing after an earlier answer would cut off this one.
      if (previous && !previous.headersSent) previous.shouldKeepAlive = true;
      endAfterAnswer(response);
    } else if (this.keepAliveHeader)
      response.setHeader('keep-alive', this.keepAliveHeader);
  }
}

/** Also a response that waits for an earlier one ends with its connection. */
function isActive({closed, req}: ServerResponse): boolean {
  return !closed && !req.socket.destroyed;
}

function endAfterAnswer(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  if (!response.headersSent) response.removeHeader('keep-alive');
}
