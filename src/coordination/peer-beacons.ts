/**
 * Datagrams by which a node publishes its load and its description. Load goes
 * to subscribed nodes at each change and at least twice a second, which also
 * serves as a heartbeat. An introduction carries the full description and is
 * several times as long. It goes at least once a second to the gates in the
 * subset of the local entry, and to all others at an interval that grows with
 * the number of nodes, so that the traffic per node is about the same in a
 * cluster of any size. Any datagram may be lost; the next one replaces it.
 */
import type {
  LoadBeacon,
  NodeNews,
  ServiceLoad,
} from '../protocol/peer-messages.js';
import type {WorkerRow} from '../state/worker-table.js';

/** Minimum interval between two load datagrams. */
export const BEACON_PAUSE_MS = 60;
/** Maximum interval between two datagrams to a load subscriber. */
const LOAD_INTERVAL_MS = 500;
/** Maximum interval between introductions that renew a load subscription. */
const WISH_INTERVAL_MS = 1000;
/** Lifetime of a load subscription, which survives two lost introductions. */
export const WISH_MS = 3.5 * WISH_INTERVAL_MS;
/** Minimum interval between two introductions to a node outside the subset. */
const LEAST_INTERVAL_MS = 500;
/** The same interval per known node, for a total of 20 a second. */
const INTERVAL_PER_NODE_MS = 50;
/**
 * Interval between two checks for due datagrams. Each check sends an equal part
 * of the introductions; otherwise nodes that started together would send them
 * all at once.
 */
export const CHECK_INTERVAL_MS = 250;
/** Delay before the introductions after a change are repeated. */
const REPEAT_MS = 120;

/** State kept of another node for sending it datagrams. */
export interface BeaconPeer {
  readonly name: {readonly nodeId: string};
  /** Its latest description; undefined until one was received. */
  readonly news: NodeNews | undefined;
  /** Time of the last introduction sent to it, in milliseconds. */
  introducedAt: number;
  /** Time of the last datagram sent to it, in milliseconds. */
  toldAt: number;
  /** End of its subscription to the load of this node, in milliseconds. */
  wantsLoadUntil: number;
}

/** Dependencies of the datagram sender. */
export interface PeerBeaconsOptions {
  readonly describe: () => NodeNews;
  readonly listPeers: () => readonly BeaconPeer[];
  /** Returns the workers in the current subset of this node's entry. */
  readonly listWatched: () => readonly WorkerRow[];
  readonly listLoads: () => readonly ServiceLoad[];
  readonly findRecordsEnd: () => number;
  readonly send: (addresses: readonly string[], beacon: LoadBeacon) => void;
}

/** Sends the datagrams of one node. */
export class PeerBeacons {
  private loadTimer: NodeJS.Timeout | undefined;
  private repeatTimer: NodeJS.Timeout | undefined;
  private lastLoadAt = -Infinity;
  private isStopped = false;

  constructor(private readonly options: PeerBeaconsOptions) {}

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.loadTimer);
    clearTimeout(this.repeatTimer);
  }

  /** Schedules a load datagram to the subscribers. */
  schedule(): void {
    if (this.loadTimer || this.isStopped) return;
    const dueAt = this.lastLoadAt + BEACON_PAUSE_MS;
    const pauseMs = Math.max(0, dueAt - performance.now());
    this.loadTimer = setTimeout(() => this.sendLoad(), pauseMs);
  }

  /** Introduces the changed node to all others, twice in case of loss. */
  sendChange(): void {
    this.sendIntroductions(this.options.listPeers());
    clearTimeout(this.repeatTimer);
    this.repeatTimer = setTimeout(
      () => this.sendIntroductions(this.options.listPeers()),
      REPEAT_MS,
    );
  }

  /** Sends introductions; each starts, renews or ends a load subscription. */
  sendIntroductions(
    peers: readonly BeaconPeer[],
    watched: ReadonlySet<string> = this.listWatchedNodes(),
  ): void {
    const now = performance.now();
    for (const wantsLoad of [true, false]) {
      const addresses: string[] = [];
      for (const peer of peers) {
        const isWatched = watched.has(peer.name.nodeId);
        if (!peer.news || isWatched !== wantsLoad) continue;
        peer.introducedAt = now;
        peer.toldAt = now;
        addresses.push(peer.news.beaconAddress);
      }
      this.sendIntroduction(addresses, wantsLoad, false);
    }
  }

  /** Introduces this node to an unknown one and requests its introduction. */
  sendQuestion(beaconAddress: string): void {
    this.sendIntroduction([beaconAddress], false, true);
  }

  /** Returns the ids of the nodes whose workers are in the entry's subset. */
  listWatchedNodes(): Set<string> {
    return new Set(this.options.listWatched().map(row => row.target.nodeId));
  }

  /** Sends due introductions and loads; called each `CHECK_INTERVAL_MS`. */
  sendDue(watched: ReadonlySet<string>): void {
    const now = performance.now();
    // Nodes whose description is unknown are contacted by calls instead.
    const peers = this.options.listPeers().filter(({news}) => news);
    const isWatched = ({name}: BeaconPeer): boolean => watched.has(name.nodeId);
    const due = peers.filter(
      peer =>
        now - peer.introducedAt >
        computeIntroductionInterval(isWatched(peer), peers.length),
    );
    const intervalMs = computeIntroductionInterval(false, peers.length);
    const toOthers = due
      .filter(peer => !isWatched(peer))
      .sort((one, other) => one.introducedAt - other.introducedAt)
      .slice(0, Math.ceil((peers.length * CHECK_INTERVAL_MS) / intervalMs));
    this.sendIntroductions([...due.filter(isWatched), ...toOthers], watched);
    const toWanting = this.listWanting(now).filter(
      ({toldAt}) => now - toldAt > LOAD_INTERVAL_MS,
    );
    this.sendLoadTo(toWanting);
  }

  private sendLoad(): void {
    this.loadTimer = undefined;
    const now = performance.now();
    this.lastLoadAt = now;
    this.sendLoadTo(this.listWanting(now));
  }

  private listWanting(now: number): BeaconPeer[] {
    return this.options
      .listPeers()
      .filter(({news, wantsLoadUntil}) => news && wantsLoadUntil > now);
  }

  private sendLoadTo(peers: readonly BeaconPeer[]): void {
    if (peers.length === 0) return;
    const now = performance.now();
    const addresses = peers.map(peer => {
      peer.toldAt = now;
      return peer.news!.beaconAddress;
    });
    this.options.send(addresses, this.buildBeacon(this.options.describe()));
  }

  private sendIntroduction(
    addresses: readonly string[],
    wantsLoad: boolean,
    wantsReply: boolean,
  ): void {
    if (addresses.length === 0 || this.isStopped) return;
    const node = this.options.describe();
    this.options.send(addresses, {
      ...this.buildBeacon(node),
      introduction: {node, wantsLoad, wantsReply},
    });
  }

  private buildBeacon({nodeId, incarnation, revision}: NodeNews): LoadBeacon {
    const {listLoads, findRecordsEnd} = this.options;
    return {
      nodeId,
      incarnation,
      revision,
      recordsEnd: findRecordsEnd(),
      loads: listLoads(),
    };
  }
}

/** Returns the longest regular interval between datagrams of a node, in ms. */
export function computeHeardInterval(
  peer: BeaconPeer,
  isWatched: boolean,
  peerCount: number,
): number {
  if (isWatched) return LOAD_INTERVAL_MS;
  const isChosenByIt = peer.wantsLoadUntil > performance.now();
  return computeIntroductionInterval(isChosenByIt, peerCount);
}

/** Returns the interval between two introductions to a node, in ms. */
function computeIntroductionInterval(
  isChosen: boolean,
  peerCount: number,
): number {
  const intervalMs = Math.max(
    LEAST_INTERVAL_MS,
    peerCount * INTERVAL_PER_NODE_MS,
  );
  return isChosen ? Math.min(WISH_INTERVAL_MS, intervalMs) : intervalMs;
}
