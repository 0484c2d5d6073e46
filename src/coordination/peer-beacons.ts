/**
 * Datagrams by which a node publishes its load and its description. Load goes
 * to subscribed nodes at each change and at least once a second, which also
 * serves as a heartbeat. An introduction carries the full description and is
 * several times as long. It goes at least every two seconds to the gates in the
 * subset of the local entry, and to all others at an interval that grows with
 * the number of nodes, so that the traffic per node is about the same in a
 * cluster of any size. Any datagram may be lost; the next one replaces it.
 */
import type {
  LoadBeacon,
  NodeInfo,
  ServiceLoad,
  StoreAnswer,
} from '../protocol/peer-messages.js';
import type {RecordPosition} from '../protocol/record-position.js';
import type {WorkerRow} from '../state/worker-table.js';
import {pickRandom} from './member-order.js';

/** Minimum interval between two load datagrams. */
export const MIN_LOAD_INTERVAL_MS = 60;
/**
 * The same interval per subscriber, for a total of 200 datagrams a second at
 * most: a service with few workers has many entries for each of them.
 */
const LOAD_INTERVAL_PER_SUBSCRIBER_MS = 5;
/**
 * The same two for subscribers in other data centres, where workers of the
 * local one come first. Their figures move a share in steps of 100 ms, and are
 * used for that up to an age of 1 s.
 */
const MIN_FAR_LOAD_INTERVAL_MS = 500;
const FAR_LOAD_INTERVAL_PER_SUBSCRIBER_MS = 25;
/** Bound of that interval; it leaves 0.2 s for a busy node or a slow link. */
const MAX_FAR_LOAD_INTERVAL_MS = 800;
/** Maximum interval between two datagrams to a load subscriber. */
const MAX_LOAD_INTERVAL_MS = 1000;
/** Maximum interval between introductions that renew a load subscription. */
const SUBSCRIPTION_RENEWAL_MS = 2000;
/** Lifetime of a load subscription, which survives two lost introductions. */
export const SUBSCRIPTION_LIFETIME_MS = 3.5 * SUBSCRIPTION_RENEWAL_MS;
/** Minimum interval between two introductions to a node outside the subset. */
const MIN_INTRODUCTION_INTERVAL_MS = 500;
/** The same interval per known node, for a total of 10 a second. */
const INTRODUCTION_INTERVAL_PER_NODE_MS = 100;
/**
 * Interval between two checks for due datagrams. Each check sends an equal part
 * of the introductions; otherwise nodes that started together would send them
 * all at once.
 */
export const CHECK_INTERVAL_MS = 500;
/**
 * Nodes to which a node passes on what it has learnt of the store: enough for
 * an epidemic to reach nearly all nodes in a few steps, at a cost per node that
 * does not grow with the cluster. Regular datagrams reach the others.
 */
const NEAR_SPREAD_COUNT = 3;
const FAR_SPREAD_COUNT = 1;
/** Time over which answers of the store are passed on together. */
const SPREAD_DELAY_MS = 25;
/** Delay before the introductions after a change are repeated. */
const REPEAT_DELAY_MS = 120;

/** State kept of another node for sending it datagrams. */
export interface BeaconPeer {
  readonly name: {readonly nodeId: string};
  /** Its latest description; undefined until one was received. */
  readonly info: NodeInfo | undefined;
  /** Time of the last introduction sent to it, in milliseconds. */
  lastIntroductionAt: number;
  /** Time of the last datagram sent to it, in milliseconds. */
  lastSentAt: number;
  /** End of its subscription to the load of this node, in milliseconds. */
  subscribedUntil: number;
}

/** Dependencies of the datagram sender. */
export interface PeerBeaconsOptions {
  readonly describe: () => NodeInfo;
  readonly listPeers: () => readonly BeaconPeer[];
  /** Returns the workers in the current subset of this node's entry. */
  readonly listSubset: () => readonly WorkerRow[];
  readonly listLoads: () => readonly ServiceLoad[];
  readonly findRecordsEnd: () => RecordPosition;
  /** Returns the last answer of the store. */
  readonly findStoreAnswer: () => StoreAnswer;
  readonly send: (addresses: readonly string[], beacon: LoadBeacon) => void;
  readonly dataCentre: string;
  /**
   * Whether entries send requests for this node's workers to their own data
   * centre first, so that other data centres need fewer load datagrams.
   */
  readonly isOwnPreferred: () => boolean;
  readonly random: () => number;
}

/** Load datagrams to some of the subscribers, sent together. */
interface LoadSchedule {
  timer: NodeJS.Timeout | undefined;
  lastAt: number;
  lastCount: number;
  readonly isReceiver: (peer: BeaconPeer) => boolean;
}

/** Sends the datagrams of one node. */
export class PeerBeacons {
  private readonly toAll = createLoadSchedule(() => true);
  private readonly toNear = createLoadSchedule(peer => this.isNear(peer));
  private readonly toFar = createLoadSchedule(peer => !this.isNear(peer));
  private spreadTimer: NodeJS.Timeout | undefined;
  private repeatTimer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: PeerBeaconsOptions) {}

  stop(): void {
    this.isStopped = true;
    for (const {timer} of [this.toAll, this.toNear, this.toFar])
      clearTimeout(timer);
    clearTimeout(this.spreadTimer);
    clearTimeout(this.repeatTimer);
  }

  /**
   * Schedules a datagram to a few random nodes, most of them in the same data
   * centre, so that an answer of the store or a later record spreads.
   */
  scheduleSpread(): void {
    if (this.spreadTimer || this.isStopped) return;
    this.spreadTimer = setTimeout(() => this.spread(), SPREAD_DELAY_MS);
  }

  /** Schedules a load datagram to the subscribers. */
  schedule(): void {
    if (this.isStopped) return;
    if (!this.options.isOwnPreferred()) {
      this.scheduleLoad(this.toAll, computeLoadInterval(this.toAll.lastCount));
      return;
    }
    const far = this.toFar.lastCount;
    const farIntervalMs = computeFarLoadInterval(far);
    this.scheduleLoad(this.toFar, farIntervalMs);
    const near = this.toNear.lastCount;
    this.scheduleLoad(
      this.toNear,
      computeNearLoadInterval(near, far / farIntervalMs),
    );
  }

  /**
   * Introduces the changed node to all others, and once more to those that send
   * it requests, in case of loss. A regular datagram tells the rest later.
   */
  sendChangedDescription(): void {
    this.sendIntroductions(this.options.listPeers());
    this.scheduleRepeat(() => this.listLoadSubscribers(performance.now()));
  }

  /** Sends all nodes what this one knows of the store, twice in case of loss. */
  sendRecordsEnd(): void {
    this.sendIntroductions(this.options.listPeers());
    this.scheduleRepeat(() => this.options.listPeers());
  }

  /** Sends introductions; each starts, renews or ends a load subscription. */
  sendIntroductions(
    peers: readonly BeaconPeer[],
    subsetNodeIds: ReadonlySet<string> = this.listSubsetNodeIds(),
  ): void {
    const now = performance.now();
    for (const wantsLoad of [true, false]) {
      const addresses: string[] = [];
      for (const peer of peers) {
        const isInSubset = subsetNodeIds.has(peer.name.nodeId);
        if (!peer.info || isInSubset !== wantsLoad) continue;
        peer.lastIntroductionAt = now;
        peer.lastSentAt = now;
        addresses.push(peer.info.beaconAddress);
      }
      this.sendIntroduction(addresses, wantsLoad, false);
    }
  }

  /** Introduces this node to an unknown one and requests its introduction. */
  sendIntroductionRequest(beaconAddress: string): void {
    this.sendIntroduction([beaconAddress], false, true);
  }

  /** Returns the ids of the nodes whose workers are in the entry's subset. */
  listSubsetNodeIds(): Set<string> {
    return new Set(this.options.listSubset().map(row => row.target.nodeId));
  }

  /** Sends due introductions and loads; called each `CHECK_INTERVAL_MS`. */
  sendDue(subsetNodeIds: ReadonlySet<string>): void {
    const now = performance.now();
    // Nodes whose description is unknown are contacted by calls instead.
    const peers = this.options.listPeers().filter(({info: node}) => node);
    const isInSubset = ({name}: BeaconPeer): boolean =>
      subsetNodeIds.has(name.nodeId);
    const due = peers.filter(
      peer =>
        now - peer.lastIntroductionAt >
        computeIntroductionInterval(isInSubset(peer), peers.length),
    );
    const intervalMs = computeIntroductionInterval(false, peers.length);
    const dueOthers = due
      .filter(peer => !isInSubset(peer))
      .sort((one, other) => one.lastIntroductionAt - other.lastIntroductionAt)
      .slice(0, Math.ceil((peers.length * CHECK_INTERVAL_MS) / intervalMs));
    this.sendIntroductions(
      [...due.filter(isInSubset), ...dueOthers],
      subsetNodeIds,
    );
    const dueSubscribers = this.listLoadSubscribers(now).filter(
      ({lastSentAt: sentAt}) => now - sentAt > MAX_LOAD_INTERVAL_MS,
    );
    this.sendLoadTo(dueSubscribers);
  }

  private scheduleLoad(load: LoadSchedule, intervalMs: number): void {
    if (load.timer) return;
    const pauseMs = Math.max(0, load.lastAt + intervalMs - performance.now());
    load.timer = setTimeout(() => this.sendLoad(load), pauseMs);
  }

  private sendLoad(load: LoadSchedule): void {
    load.timer = undefined;
    const now = performance.now();
    load.lastAt = now;
    const subscribers = this.listLoadSubscribers(now).filter(load.isReceiver);
    load.lastCount = subscribers.length;
    this.sendLoadTo(subscribers);
  }

  private isNear({info}: BeaconPeer): boolean {
    return info?.dataCentre === this.options.dataCentre;
  }

  private scheduleRepeat(listReceivers: () => readonly BeaconPeer[]): void {
    clearTimeout(this.repeatTimer);
    this.repeatTimer = setTimeout(
      () => this.sendIntroductions(listReceivers()),
      REPEAT_DELAY_MS,
    );
  }

  private spread(): void {
    this.spreadTimer = undefined;
    const {listPeers, dataCentre, random} = this.options;
    const known = listPeers().filter(({info: node}) => node);
    const near = known.filter(({info}) => info!.dataCentre === dataCentre);
    const far = known.filter(({info}) => info!.dataCentre !== dataCentre);
    const picked = [
      ...pickRandom(near, NEAR_SPREAD_COUNT, random),
      ...pickRandom(far, FAR_SPREAD_COUNT, random),
    ];
    const beacon = this.buildBeacon(this.options.describe());
    this.options.send(
      picked.map(({info}) => info!.beaconAddress),
      beacon,
    );
  }

  private listLoadSubscribers(now: number): BeaconPeer[] {
    return this.options
      .listPeers()
      .filter(({info: node, subscribedUntil: until}) => node && until > now);
  }

  private sendLoadTo(peers: readonly BeaconPeer[]): void {
    if (peers.length === 0) return;
    const now = performance.now();
    const addresses = peers.map(peer => {
      peer.lastSentAt = now;
      return peer.info!.beaconAddress;
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

  private buildBeacon({nodeId, incarnation, revision}: NodeInfo): LoadBeacon {
    const {listLoads, findRecordsEnd, findStoreAnswer} = this.options;
    return {
      nodeId,
      incarnation,
      revision,
      recordsEnd: findRecordsEnd(),
      storeAnswer: findStoreAnswer(),
      loads: listLoads(),
    };
  }
}

function createLoadSchedule(
  isReceiver: LoadSchedule['isReceiver'],
): LoadSchedule {
  return {timer: undefined, lastAt: -Infinity, lastCount: 0, isReceiver};
}

/** Returns the least interval between load datagrams to all, in ms. */
function computeLoadInterval(subscribers: number): number {
  return Math.max(
    MIN_LOAD_INTERVAL_MS,
    subscribers * LOAD_INTERVAL_PER_SUBSCRIBER_MS,
  );
}

/** Returns the same for subscribers in other data centres. */
function computeFarLoadInterval(subscribers: number): number {
  const intervalMs = subscribers * FAR_LOAD_INTERVAL_PER_SUBSCRIBER_MS;
  return Math.min(
    MAX_FAR_LOAD_INTERVAL_MS,
    Math.max(MIN_FAR_LOAD_INTERVAL_MS, intervalMs),
  );
}

/**
 * Returns the same for subscribers in this data centre. They get what the
 * others leave of the datagrams per second, but at least half of all.
 */
function computeNearLoadInterval(
  subscribers: number,
  farPerMs: number,
): number {
  const allPerMs = 1 / LOAD_INTERVAL_PER_SUBSCRIBER_MS;
  const perMs = Math.max(allPerMs / 2, allPerMs - farPerMs);
  return Math.max(MIN_LOAD_INTERVAL_MS, subscribers / perMs);
}

/** Returns the longest regular interval between datagrams of a node, in ms. */
export function computeDatagramInterval(
  peer: BeaconPeer,
  isInSubset: boolean,
  peerCount: number,
): number {
  if (isInSubset) return MAX_LOAD_INTERVAL_MS;
  const isSubscribed = peer.subscribedUntil > performance.now();
  return computeIntroductionInterval(isSubscribed, peerCount);
}

/** Returns the interval between two introductions to a node, in ms. */
function computeIntroductionInterval(
  isRenewal: boolean,
  peerCount: number,
): number {
  const intervalMs = Math.max(
    MIN_INTRODUCTION_INTERVAL_MS,
    peerCount * INTRODUCTION_INTERVAL_PER_NODE_MS,
  );
  return isRenewal ? Math.min(SUBSCRIPTION_RENEWAL_MS, intervalMs) : intervalMs;
}
