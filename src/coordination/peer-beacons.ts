/**
 * The datagrams by which a node tells others of itself. Load goes at each
 * change to those that want it; an introduction goes to each partner twice a
 * second, and to all others the more rarely the more nodes there are, so that
 * a node sends and hears about as much in a fleet of any size. Any datagram
 * may be lost: the next one makes up for it.
 */
import type {
  LoadBeacon,
  NodeNews,
  ServiceLoad,
} from '../protocol/peer-messages.js';
import type {WorkerRow} from '../state/worker-table.js';

/** Least pause between two datagrams about the load. */
const BEACON_PAUSE_MS = 60;
/** Pause between two introductions to a partner. */
const PARTNER_INTERVAL_MS = 500;
/** The same for all others, for each node of the fleet: 40 a second in all. */
const INTERVAL_PER_NODE_MS = 25;
/** Time for which a wish to hear of the load holds: some introductions. */
export const WISH_MS = 5 * PARTNER_INTERVAL_MS;
/** Pause before the datagram about a change is repeated. */
const REPEAT_MS = 120;

/** What is kept of another node to send it datagrams. */
export interface BeaconPeer {
  readonly name: {readonly nodeId: string};
  readonly news: NodeNews | undefined;
  /** Time of the last introduction to it. */
  introducedAt: number;
  /** Until when it wants to hear of each change of the load here. */
  wantsLoadUntil: number;
}

/** What the datagrams are made of. */
export interface PeerBeaconsOptions {
  readonly describe: () => NodeNews;
  readonly listPeers: () => readonly BeaconPeer[];
  /** Workers that this node's entry chooses among now. */
  readonly listWatched: () => readonly WorkerRow[];
  readonly listLoads: () => readonly ServiceLoad[];
  readonly findRecordsEnd: () => number;
  readonly send: (addresses: readonly string[], beacon: LoadBeacon) => void;
}

/** The datagrams of one node. */
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

  /** Sends the load soon to the nodes that want it. */
  schedule(): void {
    if (this.loadTimer || this.isStopped) return;
    const dueAt = this.lastLoadAt + BEACON_PAUSE_MS;
    const pauseMs = Math.max(0, dueAt - performance.now());
    this.loadTimer = setTimeout(() => this.sendLoad(), pauseMs);
  }

  /** Tells all nodes of a change of this one, and once more. */
  sendChange(): void {
    this.sendIntroductions(this.options.listPeers());
    clearTimeout(this.repeatTimer);
    this.repeatTimer = setTimeout(
      () => this.sendIntroductions(this.options.listPeers()),
      REPEAT_MS,
    );
  }

  /** Introduces this node to others. */
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
        addresses.push(peer.news.beaconAddress);
      }
      this.sendIntroduction(addresses, wantsLoad, false);
    }
  }

  /** Introduces this node to one of which little is known, and asks it to. */
  sendQuestion(beaconAddress: string): void {
    this.sendIntroduction([beaconAddress], false, true);
  }

  /** Nodes beside the workers that this node's entry chooses among. */
  listWatchedNodes(): Set<string> {
    return new Set(this.options.listWatched().map(row => row.target.nodeId));
  }

  /** Pause between introductions to a node; both sides count it alike. */
  computeInterval(
    peer: BeaconPeer,
    isWatched: boolean,
    fleetSize: number,
  ): number {
    const isPartner = isWatched || peer.wantsLoadUntil > performance.now();
    if (isPartner) return PARTNER_INTERVAL_MS;
    return Math.max(PARTNER_INTERVAL_MS, fleetSize * INTERVAL_PER_NODE_MS);
  }

  private sendLoad(): void {
    this.loadTimer = undefined;
    const now = performance.now();
    this.lastLoadAt = now;
    const wanting = this.options
      .listPeers()
      .filter(({news, wantsLoadUntil}) => news && wantsLoadUntil > now);
    if (wanting.length === 0) return;
    const addresses = wanting.map(({news}) => news!.beaconAddress);
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
