/**
 * The datagrams by which a node tells others of itself. Load goes to those that
 * want it, at each change and at least twice a second, which also shows them
 * that the node lives. An introduction is several times as long and goes once a
 * second to the gates that the entry here chooses among, and to all others the
 * more rarely the more nodes there are, so that a node sends and hears about as
 * much in a fleet of any size. Any datagram may be lost: the next one makes up
 * for it.
 */
import type {
  LoadBeacon,
  NodeNews,
  ServiceLoad,
} from '../protocol/peer-messages.js';
import type {WorkerRow} from '../state/worker-table.js';

/** Least pause between two datagrams about the load. */
export const BEACON_PAUSE_MS = 60;
/** Longest pause between two words to a node that wants to hear of the load. */
const LOAD_INTERVAL_MS = 500;
/** Pause between two introductions that repeat such a wish. */
const WISH_INTERVAL_MS = 1000;
/** Time for which a wish holds: two lost introductions don't end it. */
export const WISH_MS = 3.5 * WISH_INTERVAL_MS;
/** Least pause between two introductions to any other node. */
const LEAST_INTERVAL_MS = 500;
/** The same for each node of the fleet: 20 a second in all. */
const INTERVAL_PER_NODE_MS = 50;
/**
 * Pause between two looks at what is due. Each sends a like part of the
 * introductions: after a common start all nodes would otherwise speak at once.
 */
export const CHECK_INTERVAL_MS = 250;
/** Pause before the datagram about a change is repeated. */
const REPEAT_MS = 120;

/** What is kept of another node to send it datagrams. */
export interface BeaconPeer {
  readonly name: {readonly nodeId: string};
  readonly news: NodeNews | undefined;
  /** Time of the last introduction to it. */
  introducedAt: number;
  /** Time of the last datagram to it. */
  toldAt: number;
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
        peer.toldAt = now;
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

  /** Sends what is due; to be called each `CHECK_INTERVAL_MS`. */
  sendDue(watched: ReadonlySet<string>): void {
    const now = performance.now();
    // The others are asked by calls until they have told who they are.
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

/** Longest usual pause between two datagrams from a node, in milliseconds. */
export function computeHeardInterval(
  peer: BeaconPeer,
  isWatched: boolean,
  peerCount: number,
): number {
  if (isWatched) return LOAD_INTERVAL_MS;
  const isChosenByIt = peer.wantsLoadUntil > performance.now();
  return computeIntroductionInterval(isChosenByIt, peerCount);
}

/** Pause between two introductions from a node to one that it chooses or not. */
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
