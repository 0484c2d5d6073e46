/**
 * Limits what clients make a node hold: memory, in bounds for each connection
 * and one for all connections of all listeners, and descriptors, in a number of
 * connections for each listener. At the bound of a connection it is closed; at
 * that of the node those that hold most are, until the rest is well within the
 * bound, so that callers that read their answers come last. What requests and
 * bodies hold is checked as they come, since one read can bring some thousands
 * of requests; answers and heads grow with the network and are checked
 * regularly. A connection is also closed once its client has been silent within
 * a request, or has taken nothing of an answer, for too long.
 */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {runAfterReads} from '../run-after-reads.js';
import {startListening} from '../start-listening.js';
import {ConnectionLedger} from './connection-ledger.js';
import {ConnectionSlots} from './connection-slots.js';
import {CountedMessage} from './counted-message.js';
import type {HeldLimits, ProcessSettings} from './process-limits.js';
import {computeHeldLimits} from './process-limits.js';

/**
 * Requests of a connection without an answer. Listeners stop reading at 40, but
 * one read of Node.js can bring more than a thousand.
 */
const MAX_REQUESTS = 128;
const CHECK_INTERVAL_MS = 100;
/**
 * Interval while many heads may be on their way. No event tells of their parts,
 * and those of a peer may have 1 MiB each.
 */
const HEADS_INTERVAL_MS = 10;
/** The largest read of Node.js, which may follow a head within its limit. */
const READ_BYTES = 64 * 1024;
const DEFAULT_HEADER_BYTES = 16 * 1024;
/** Fraction of the node's bound that is left when it was reached. */
const REST_FRACTION = 0.75;
/** Requests lie in the heap, which is a part of the memory of a process. */
const MAX_REQUEST_BYTES = 32 * 1024 * 1024;
/** Fraction of the node's bound that may come between two checks. */
const UNCHECKED_FRACTION = 0.125;
/** Time without progress of a request or of an answer that is not read. */
const SILENCE_LIMIT_MS = 30_000;

/** Number of connections from which on a listener's are logged. */
const FIRST_COUNT = 8;

/** The limit at which a connection is closed. */
type HeldLimit =
  | 'requests'
  | 'connection'
  | 'node'
  | 'between-requests'
  | 'listener'
  | 'silent';

/** Where closed connections are counted and logged. */
export interface HeldReport {
  count(name: string): void;
  log(text: string, context: Readonly<Record<string, string | number>>): void;
}

/** Follows the connections of a node's listeners and closes some of them. */
export class HeldBudget {
  private readonly ledgers = new Map<Socket, ConnectionLedger>();
  private limits: HeldLimits;
  private readonly slots: ConnectionSlots;
  /** Bytes of bodies since the last check. */
  private uncheckedBytes = 0;
  /** Bytes that heads of connections opened since the last check may have. */
  private newHeadBytes = 0;
  private headsTimer: NodeJS.Timeout | undefined;
  /** Bytes of requests, of which some may have been answered since. */
  private requestBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  /** Numbers of connections that were logged, by listener. */
  private readonly reportedCounts = new Map<string, number>();

  constructor(
    settings: ProcessSettings,
    private readonly report: HeldReport,
  ) {
    this.limits = computeHeldLimits(settings);
    this.slots = new ConnectionSlots(listener =>
      this.limits.findMaxConnections(listener),
    );
  }

  /** Computes the limits anew, for what is held or opened from now on. */
  refreshLimits(settings: ProcessSettings): void {
    this.limits = computeHeldLimits(settings);
  }

  /** Starts a server whose connections are within the limits. */
  async startServer(
    server: Server,
    listener: string,
    address: string,
  ): Promise<void> {
    this.watch(server, listener);
    this.watchSilence(server);
    await startListening(server, address);
    // Without a listener, a connection that can't be accepted ends the process.
    server.on('error', error => {
      this.report.count('connections.not-accepted');
      this.report.log('connection not accepted', {listener, error: `${error}`});
    });
  }

  private watch(server: Server, listener: string): void {
    server.on('connection', (socket: Socket) => {
      const {maxHeaderSize = DEFAULT_HEADER_BYTES} = server as {
        maxHeaderSize?: number;
      };
      this.open(new ConnectionLedger(socket, listener, maxHeaderSize));
    });
    server.prependListener('request', (message, response) => {
      const ledger = this.ledgers.get(message.socket);
      if (!ledger) return;
      this.slots.recordRequest(ledger);
      if (this.slots.isToClose(ledger)) response.shouldKeepAlive = false;
      if (message instanceof CountedMessage)
        message.handleBytes = this.handleBodyBytes;
      this.requestBytes += ledger.add(message, response);
      const {requestCount, requestBytes} = ledger;
      if (requestCount > MAX_REQUESTS)
        this.close(ledger, 'requests', requestBytes);
      else if (requestBytes > this.limits.heldPerConnection)
        this.close(ledger, 'connection', requestBytes);
      else if (this.requestBytes > this.maxRequestBytes) this.check();
      if (message.socket.destroyed) stopParser(message.socket);
    });
  }

  /** Closes connections whose clients are silent within a request. */
  private watchSilence(server: Server): void {
    server.setTimeout(SILENCE_LIMIT_MS);
    server.on('timeout', socket => {
      const {bytesRead} = socket;
      runAfterReads(() => {
        const ledger = this.ledgers.get(socket);
        if (!ledger || socket.bytesRead !== bytesRead) return;
        const waitsForNode = ledger.isAwaitingAnswer || socket.isPaused();
        if (waitsForNode && socket.writableLength === 0) return;
        // Between requests, the end of the time is no fault of the client.
        if (ledger.requestCount === 0 && ledger.hasRequest) socket.destroy();
        else this.close(ledger, 'silent', ledger.measure());
      });
    });
  }

  private get maxRequestBytes(): number {
    return Math.min(this.limits.heldPerNode, MAX_REQUEST_BYTES);
  }

  private readonly handleBodyBytes = (bytes: number): void => {
    this.uncheckedBytes += bytes;
    const {heldPerNode} = this.limits;
    if (this.uncheckedBytes > heldPerNode * UNCHECKED_FRACTION) this.check();
  };

  private open(ledger: ConnectionLedger): void {
    this.ledgers.set(ledger.socket, ledger);
    const closed = this.slots.add(ledger);
    if (closed) this.close(closed, 'listener', closed.measure());
    this.reportCount(ledger);
    ledger.socket.once('close', () => this.remove(ledger));
    this.newHeadBytes += ledger.maxHeadBytes;
    if (this.newHeadBytes > this.limits.heldPerNode) this.checkSoon();
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  /** Logs the number of a listener's connections each time that it doubles. */
  private reportCount(ledger: ConnectionLedger): void {
    const {listener} = ledger;
    const count = this.slots.count(ledger);
    const reported = this.reportedCounts.get(listener) ?? FIRST_COUNT / 2;
    if (count < 2 * reported) return;
    this.reportedCounts.set(listener, count);
    const max = this.limits.findMaxConnections(listener);
    this.report.log('most connections so far', {listener, count, max});
  }

  private remove(ledger: ConnectionLedger): void {
    const {socket, requestBytes} = ledger;
    if (!this.ledgers.delete(socket)) return;
    this.slots.remove(ledger);
    this.requestBytes -= requestBytes;
    if (this.ledgers.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private close(
    ledger: ConnectionLedger,
    limit: HeldLimit,
    bytes: number,
  ): void {
    const {socket, listener, requestCount, hasRequest} = ledger;
    const {remoteAddress = ''} = socket;
    this.remove(ledger);
    // Clients that keep a connection can tell its end from a fault. A reset also
    // drops what the system still holds for a client that doesn't read.
    if (hasRequest && requestCount === 0) socket.destroy();
    else socket.resetAndDestroy();
    this.report.count(`connections.closed-${limit}`);
    this.report.log('connection closed at a limit', {
      listener,
      remoteAddress,
      limit,
      bytes,
    });
  }

  private checkSoon(): void {
    this.headsTimer ??= setTimeout(() => {
      this.headsTimer = undefined;
      this.check();
    }, HEADS_INTERVAL_MS).unref();
  }

  /** Measures all connections and closes those beyond the limits. */
  private check(): void {
    const {heldPerConnection, heldPerNode} = this.limits;
    this.uncheckedBytes = 0;
    this.newHeadBytes = 0;
    let heldHeads = 0;
    const held: Array<[ConnectionLedger, number]> = [];
    let total = 0;
    this.requestBytes = 0;
    for (const ledger of this.ledgers.values()) {
      const bytes = ledger.measure();
      this.requestBytes += ledger.requestBytes;
      const {socket, headBytes, maxHeadBytes} = ledger;
      if (bytes > heldPerConnection) this.close(ledger, 'connection', bytes);
      else if (headBytes > maxHeadBytes + READ_BYTES && !socket.writableEnded)
        this.close(ledger, 'between-requests', headBytes);
      else {
        held.push([ledger, bytes]);
        total += bytes;
        heldHeads += Math.min(headBytes, maxHeadBytes);
      }
    }
    if (heldHeads > heldPerNode * UNCHECKED_FRACTION) this.checkSoon();
    if (total <= heldPerNode) return;
    held.sort(([, one], [, other]) => other - one);
    for (const [ledger, bytes] of held) {
      if (total <= heldPerNode * REST_FRACTION) return;
      this.close(ledger, 'node', bytes);
      total -= bytes;
    }
  }
}

/** Tells the parser of Node.js that no further request follows. */
const NO_MORE_REQUESTS = 2;

/**
 * Ends the reading of what came with the last request of a closed connection.
 * Node.js would make messages of all of it and keep them until the system has
 * closed the connection, after it has read from all others. The parser is not
 * part of its documented interface; without it, only memory is lost.
 */
function stopParser(socket: Socket): void {
  const {parser} = socket as {parser?: {onIncoming?: () => number} | null};
  if (parser?.onIncoming) parser.onIncoming = () => NO_MORE_REQUESTS;
}
