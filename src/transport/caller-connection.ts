/**
 * Order of the requests that one caller sends on one connection, some of them
 * before earlier ones are answered (pipelining). Several run at a time, and
 * their answers are sent in the order of the requests. A caller sends again
 * what it sent behind an answer that closes the connection, as if that had not
 * been read, so nothing behind such an answer may run.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Reason, RefusalError} from '../protocol/reasons.js';
import {runInTurn} from './limits/work-turns.js';

/** Requests of a connection that run, or whose answers wait for earlier ones. */
const MAX_RUNNING = 8;
/**
 * Requests that wait behind them. What comes after these is left unread, so that
 * a caller can't fill the memory of the node. As long as a connection is read,
 * the node notices at once that its caller has left.
 */
const MAX_WAITING = 32;
/** Unanswered requests that any caller may have without yielding to others. */
const MAX_SINGLE = 4;
/** Bytes of their heads; with requests that wait, no more are read then. */
const MAX_HEAD_BYTES = 256 * 1024;

/**
 * Time before a caller's time limit at which a request is given up that others
 * wait behind: enough for its refusal to reach the caller in time.
 */
const GIVE_UP_MARGIN_MS = 40;

/** Runs one request; the signal aborts when its caller has left. */
export type RunRequest = (abort: AbortController) => void;

interface PipelinedRequest {
  readonly response: ServerResponse;
  readonly run: RunRequest;
  readonly headBytes: number;
  abort: AbortController | undefined;
}

/** One connection of a caller. */
export class CallerConnection {
  /** Unanswered requests in the order in which they were sent. */
  private readonly requests: PipelinedRequest[] = [];
  private headBytes = 0;
  private readonly started = new WeakSet<ServerResponse>();
  /** Those that were sent before an earlier one was answered. */
  private readonly sentAhead = new WeakSet<ServerResponse>();
  /** Whether a request that isn't idempotent was among them. */
  private sendsUnsafeAhead = false;
  private isPaused = false;
  private isPauseScheduled = false;
  private isAccepting = true;
  /** Whether an answer that closes the connection has been written. */
  private isClosing = false;
  private isRunScheduled = false;

  constructor(
    private readonly socket: Socket,
    /** Called for each request that is read too late to run. */
    private readonly handleDiscarded: (response: ServerResponse) => void,
    private readonly maxRunning = MAX_RUNNING,
  ) {
    socket.once('close', () => this.cancelAll());
  }

  /** Whether any request is unanswered. */
  get isBusy(): boolean {
    return this.requests.length > 0;
  }

  /** Whether the next request that is read may run. */
  get isOpen(): boolean {
    return this.isAccepting;
  }

  /**
   * Runs a request now, once earlier ones are answered, or never. Once the
   * connection closes, a request is read and discarded: unread bytes would reset
   * the connection, and with it the last answer.
   *
   * @param headBytes size of the request's target and headers.
   */
  accept(response: ServerResponse, run: RunRequest, headBytes = 0): void {
    // One read can bring thousands more after the connection was closed.
    if (this.socket.destroyed) return;
    if (!this.isAccepting) {
      response.req.resume();
      this.handleDiscarded(response);
      return;
    }
    const request: PipelinedRequest = {
      response,
      run,
      headBytes,
      abort: undefined,
    };
    if (this.requests.length > 0) this.sentAhead.add(response);
    this.requests.push(request);
    this.headBytes += headBytes;
    response.once('close', () => this.remove(request));
    if (this.requests.length === 1) this.runNext();
    else this.scheduleRun();
    if (this.isFull()) this.schedulePause();
  }

  /**
   * Marks a request as passed on, so that it may have run.
   *
   * @returns whether it is a bulk request, which yields to those of others: its
   *     connection has many unanswered ones, and requests that may not be
   *     repeated are sent on it without waiting. Callers may send idempotent
   *     requests ahead and yield to nobody for that.
   */
  markStarted(response: ServerResponse, isIdempotent: boolean): boolean {
    this.started.add(response);
    if (!isIdempotent && this.sentAhead.has(response)) {
      this.sendsUnsafeAhead = true;
    }
    return this.sendsUnsafeAhead && this.requests.length > MAX_SINGLE;
  }

  /** Whether a request was passed on, so that it may have run. */
  hasStarted(response: ServerResponse): boolean {
    return this.started.has(response);
  }

  /** Discards what is read from now on; what was accepted goes on. */
  stopAccepting(): void {
    this.isAccepting = false;
  }

  /**
   * Gives up a running request shortly before its caller does if others were
   * sent behind it. A caller that gives up the first request closes the
   * connection, and the answers to all others are lost.
   *
   * @param awaitedUntil time at which the caller gives up, in milliseconds on
   *     the clock of `performance.now()`.
   */
  watchTimeLimit(response: ServerResponse, awaitedUntil: number): void {
    const giveUp = (): void => {
      const index = this.requests.findIndex(
        request => request.response === response,
      );
      const isLast = index === this.requests.length - 1;
      if (index < 0 || isLast || response.headersSent) return;
      const reason = new RefusalError(Reason.DEADLINE_EXCEEDED);
      this.requests[index]!.abort?.abort(reason);
    };
    const delayMs = awaitedUntil - GIVE_UP_MARGIN_MS - performance.now();
    const timer = setTimeout(giveUp, Math.max(0, delayMs));
    response.once('close', () => clearTimeout(timer));
  }

  /**
   * Calls a function once all requests sent before a response's request have
   * been answered.
   */
  runAfterEarlier(response: ServerResponse, handle: () => void): void {
    const index = this.requests.findIndex(
      request => request.response === response,
    );
    const earlier = this.requests[index - 1];
    if (earlier) earlier.response.once('close', handle);
    else handle();
  }

  private isFull(): boolean {
    const {length} = this.requests;
    if (length >= this.maxRunning + MAX_WAITING) return true;
    // A request that runs may still need its body.
    return length > this.maxRunning && this.headBytes >= MAX_HEAD_BYTES;
  }

  /**
   * Pauses reading behind what was read at once. Node.js resumes the connection
   * at the end of each message, in the next tick, so that a pause while the
   * message is being read, or in that tick, has no effect.
   */
  private schedulePause(): void {
    this.isPaused = true;
    if (this.isPauseScheduled) return;
    this.isPauseScheduled = true;
    process.nextTick(() => {
      process.nextTick(() => {
        this.isPauseScheduled = false;
        if (this.isPaused) this.socket.pause();
      });
    });
  }

  /** Runs what was sent ahead in turns with that of other connections. */
  private scheduleRun(): void {
    if (this.isRunScheduled || !this.findNext()) return;
    this.isRunScheduled = true;
    runInTurn(() => {
      this.isRunScheduled = false;
      this.runNext();
      this.scheduleRun();
    });
  }

  /** Runs the next request, if one may run. */
  private runNext(): void {
    const request = this.findNext();
    if (!request) return;
    request.abort = new AbortController();
    request.run(request.abort);
  }

  /** Returns the next request that may run now; undefined if none may. */
  private findNext(): PipelinedRequest | undefined {
    if (this.socket.destroyed || this.isClosing) return undefined;
    for (const request of this.requests.slice(0, this.maxRunning)) {
      if (request.abort === undefined) return request;
      if (isClosing(request.response)) return undefined;
    }
    return undefined;
  }

  private remove(request: PipelinedRequest): void {
    const index = this.requests.indexOf(request);
    if (index < 0) return;
    this.requests.splice(index, 1);
    this.headBytes -= request.headBytes;
    if (!request.response.writableFinished) cancel(request);
    if (isClosing(request.response)) {
      this.isClosing = true;
      this.stopAccepting();
    }
    this.scheduleRun();
    if (this.socket.destroyed || !this.isAccepting) return;
    if (!this.isPaused || this.isFull()) return;
    this.isPaused = false;
    this.socket.resume();
  }

  private cancelAll(): void {
    for (const request of this.requests.splice(0)) cancel(request);
  }
}

function cancel({abort}: PipelinedRequest): void {
  abort?.abort(new RefusalError(Reason.CALLER_GONE));
}

/** Whether an answer whose head is written closes its connection. */
function isClosing(response: ServerResponse): boolean {
  return response.headersSent && !response.shouldKeepAlive;
}
