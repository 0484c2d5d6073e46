/**
 * Numbers of connections of each listener. When a listener has too many, that
 * one is closed that has waited longest without a whole request: first of those
 * that never sent one, then of those that did, then of those that don't read
 * their answer. A connection that waits for an answer of the node is never
 * closed for this; if all do, the newest one is.
 *
 * Another node may be sending its next request on an idle connection, whose
 * outcome would be unknown if the connection closed under it. So idle
 * connections of nodes don't yield; once the listener is crowded, their answers
 * announce the close instead, which keeps room for new connections.
 */
import type {ConnectionLedger} from './connection-ledger.js';

/** The listener whose clients are other nodes. */
const PEERS = 'peers';
/** Fraction of its connections from which on a listener is crowded. */
const CROWDED_FRACTION = 0.75;

/** Connections of one listener, those that waited longest first. */
interface ListenerConnections {
  /** Without a request so far. */
  readonly unused: Set<ConnectionLedger>;
  /** In the order of their latest requests. */
  readonly used: Set<ConnectionLedger>;
}

/** Follows the connections of all listeners. */
export class ConnectionSlots {
  private readonly listeners = new Map<string, ListenerConnections>();

  constructor(
    private readonly findMaxConnections: (listener: string) => number,
  ) {}

  /** Adds a connection; returns one that must be closed in its place, if any. */
  add(ledger: ConnectionLedger): ConnectionLedger | undefined {
    const connections = this.findListener(ledger);
    const max = this.findMaxConnections(ledger.listener);
    const isFull = this.count(ledger) >= max;
    const closed = isFull
      ? (findLongestWaiting(connections, ledger.listener !== PEERS) ?? ledger)
      : undefined;
    connections.unused.add(ledger);
    return closed;
  }

  /** Counts the connections of a ledger's listener. */
  count(ledger: ConnectionLedger): number {
    const {unused, used} = this.findListener(ledger);
    return unused.size + used.size;
  }

  /** Whether a connection is to close after its current answer. */
  isToClose(ledger: ConnectionLedger): boolean {
    if (ledger.listener !== PEERS) return false;
    const max = this.findMaxConnections(ledger.listener);
    return this.count(ledger) > max * CROWDED_FRACTION;
  }

  /** Records that a connection brought a request. */
  recordRequest(ledger: ConnectionLedger): void {
    const {unused, used} = this.findListener(ledger);
    unused.delete(ledger);
    used.delete(ledger);
    used.add(ledger);
  }

  remove(ledger: ConnectionLedger): void {
    const {unused, used} = this.findListener(ledger);
    unused.delete(ledger);
    used.delete(ledger);
  }

  private findListener({listener}: ConnectionLedger): ListenerConnections {
    const known = this.listeners.get(listener);
    if (known) return known;
    const connections = {
      unused: new Set<ConnectionLedger>(),
      used: new Set<ConnectionLedger>(),
    };
    this.listeners.set(listener, connections);
    return connections;
  }
}

function findLongestWaiting(
  {unused, used}: ListenerConnections,
  mayBeIdle: boolean,
): ConnectionLedger | undefined {
  for (const ledger of unused) return ledger;
  for (const ledger of used) {
    if (ledger.isAwaitingAnswer) continue;
    if (mayBeIdle || ledger.requestCount > 0) return ledger;
  }
  for (const ledger of used)
    if (ledger.socket.writableLength > 0) return ledger;
  return undefined;
}
