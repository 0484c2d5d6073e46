/**
 * Discovers the other nodes through the node list in the platform's store and
 * keeps their descriptions. The store is read at the start and while no other
 * node answers; all else goes from node to node, so that the cost of the store
 * does not grow with the cluster. Nodes introduce themselves by datagrams,
 * periodically and on changes; an entry gets each change of load from the gates
 * in its subset. Other nodes get datagrams at an interval that grows with the
 * cluster, so that the traffic of a node stays bounded. The directory affects
 * routing only, not safety: a gate that gets an attempt by mistake refuses it
 * or does not reply.
 */
import {Backoff} from '../protocol/backoff.js';
import type {
  Introduction,
  LoadBeacon,
  NodeNews,
  PeerName,
  PeerNews,
  ServiceLoad,
} from '../protocol/peer-messages.js';
import type {WorkerDescription} from '../state/worker-table.js';
import {recordLoad} from '../state/worker-table.js';
import {StoreUnavailableError} from './keyed-follower.js';
import {pickRandom} from './member-order.js';
import type {BeaconPeer} from './peer-beacons.js';
import type {PeerDirectoryOptions} from './peer-directory-options.js';
import {
  CHECK_INTERVAL_MS,
  computeHeardInterval,
  PeerBeacons,
  WISH_MS,
} from './peer-beacons.js';

interface Peer extends BeaconPeer {
  name: PeerName;
  news: NodeNews | undefined;
  /** Time of the last message from it, in milliseconds. */
  heardAt: number;
  isAsked: boolean;
  /** Time of the last call or introduction request to it, in milliseconds. */
  askedAt: number;
  /** Number of failed exchanges since the last message from it. */
  failures: number;
}

/** Intervals without a datagram after which a node is contacted by a call. */
const SILENT_INTERVALS = 2.8;
/** Exchanges with new nodes at the start; more would return the same peers. */
const ENOUGH_EXCHANGES = 3;
/** Maximum backoff between two exchanges with a node that does not reply. */
const MOST_ASK_PAUSE_MS = 2000;
const LEAST_ASK_PAUSE_MS = 250;
/** Time within which the store usually delivers a new record to all nodes. */
const BEHIND_MS = 250;
/** Minimum silence after which a node is removed; the store still lists it. */
const FORGET_MS = 20_000;
/** The same in datagram intervals, for large clusters. */
const FORGET_INTERVALS = 12;
/** Silence after which a leaving node is removed. */
const LEFT_MS = 3000;
/** Minimum interval between two reads of the list while no node answers. */
const LONELY_LIST_MS = 1000;
const LEAST_BACKOFF_MS = 200;
const MOST_BACKOFF_MS = 1000;

/** Maximum silence of the nodes that are named to others. */
const TOLD_MS = 1400;
/** Maximum nodes named per message; enough for a new node to find all soon. */
const MAX_TOLD_PEERS = 8;

/** Directory of the other nodes, as known to one node. */
export class PeerDirectory {
  private readonly peers = new Map<string, Peer>();
  private readonly abort = new AbortController();
  private workersHere: readonly WorkerDescription[] = [];
  private revision = 1;
  private isLeaving = false;
  private hasListed = false;
  private checkTimer: NodeJS.Timeout | undefined;
  private behindTimer: NodeJS.Timeout | undefined;
  private isBehind = false;
  private exchanges = 0;
  private listedAt = -Infinity;

  private readonly beacons: PeerBeacons;

  constructor(private readonly options: PeerDirectoryOptions) {
    this.beacons = new PeerBeacons({
      describe: () => this.describe(),
      listPeers: () => [...this.peers.values()],
      listWatched: options.listWatched,
      listLoads: options.listLoads,
      findRecordsEnd: () => options.records.end,
      send: (addresses, beacon) => options.calls.sendBeacon(addresses, beacon),
    });
  }

  /** Whether the store's list was read or another node described itself. */
  get hasJoined(): boolean {
    return this.hasListed || [...this.peers.values()].some(peer => peer.news);
  }

  /** Registers in the store and contacts the nodes that it lists. */
  start(): void {
    void this.register();
    this.checkTimer = setInterval(() => this.checkPeers(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    this.abort.abort();
    clearInterval(this.checkTimer);
    this.beacons.stop();
    clearTimeout(this.behindTimer);
  }

  /** Announces to all nodes that this one accepts no more attempts. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    this.revision += 1;
    await this.push();
  }

  /** Replaces the local workers and announces them when they have changed. */
  updateWorkers(workers: readonly WorkerDescription[]): void {
    const isSame = JSON.stringify(workers) === JSON.stringify(this.workersHere);
    if (isSame) return;
    this.workersHere = workers;
    this.revision += 1;
    this.options.workers.update({...this.describe(), isSuspect: false});
    this.beacons.sendChange();
  }

  /** Pushes changed moves and records to all known nodes. */
  async push(): Promise<void> {
    const known = [...this.peers.values()];
    await Promise.all(known.map(peer => this.ask(peer)));
  }

  /** Records the local load and schedules a datagram to its subscribers. */
  scheduleBeacon(): void {
    const {identity, listLoads} = this.options;
    this.recordLoads(identity.nodeId, listLoads());
    this.beacons.schedule();
  }

  /** Applies another node's update and returns this node's own. */
  handleNews(news: PeerNews): PeerNews {
    this.recordNews(news);
    return this.buildNews(news.wantsRecords ? news.recordsEnd : undefined);
  }

  /** Handles a datagram of another node. */
  handleBeacon(beacon: LoadBeacon): void {
    const {introduction} = beacon;
    if (introduction) this.recordIntroduction(introduction);
    const peer = this.peers.get(beacon.nodeId);
    const isKnown =
      peer?.news?.incarnation === beacon.incarnation &&
      peer.news.revision >= beacon.revision;
    if (!peer || peer.name.incarnation > beacon.incarnation) return;
    this.recordHeard(peer);
    this.checkRecords(peer, beacon.recordsEnd);
    if (!isKnown) {
      void this.ask(peer);
      return;
    }
    this.recordLoads(beacon.nodeId, beacon.loads);
  }

  private recordIntroduction(introduction: Introduction): void {
    const {node, wantsLoad, wantsReply} = introduction;
    const isNew = !this.peers.get(node.nodeId)?.news;
    const peer = this.recordNode(node);
    if (!peer) return;
    peer.wantsLoadUntil = wantsLoad ? performance.now() + WISH_MS : -Infinity;
    if (wantsReply) this.beacons.sendIntroductions([peer]);
    if (isNew && this.exchanges < ENOUGH_EXCHANGES) void this.ask(peer);
  }

  private async register(): Promise<void> {
    const backoff = new Backoff(
      LEAST_BACKOFF_MS,
      MOST_BACKOFF_MS,
      this.options.random,
    );
    const {directory} = this.options;
    // Retries without limit: without the list this node finds no others.
    while (!this.abort.signal.aborted) {
      try {
        await directory.announce(this.describe());
        await this.readList();
        return;
      } catch (error) {
        this.recordUnreached(error);
        await backoff.wait(this.abort.signal);
      }
    }
  }

  /** Reports an unreachable store; any other error is a bug and is thrown. */
  private recordUnreached(error: unknown): void {
    if (!(error instanceof StoreUnavailableError)) throw error;
    this.options.report('directory not reached', {detail: error.message});
  }

  private async readList(): Promise<void> {
    this.listedAt = performance.now();
    const entries = await this.options.directory.list();
    this.hasListed = true;
    for (const entry of entries) this.announceTo(entry);
  }

  /** Introduces this node to one in the store's list, which may be stale. */
  private announceTo(entry: NodeNews): void {
    if (!this.isNewer(entry)) return;
    const peer = this.createPeer(entry);
    peer.askedAt = performance.now();
    this.beacons.sendQuestion(entry.beaconAddress);
  }

  private addPeer(name: PeerName): void {
    if (this.isNewer(name)) void this.ask(this.createPeer(name));
  }

  private isNewer({nodeId, incarnation}: PeerName): boolean {
    if (nodeId === this.options.identity.nodeId) return false;
    const known = this.peers.get(nodeId);
    return !known || known.name.incarnation < incarnation;
  }

  private createPeer({nodeId, incarnation, peerAddress}: PeerName): Peer {
    const peer: Peer = {
      name: {nodeId, incarnation, peerAddress},
      news: undefined,
      heardAt: performance.now(),
      isAsked: false,
      askedAt: -Infinity,
      failures: 0,
      introducedAt: -Infinity,
      toldAt: -Infinity,
      wantsLoadUntil: -Infinity,
    };
    this.peers.set(nodeId, peer);
    return peer;
  }

  /** Exchanges updates with a node, unless an exchange is in progress. */
  private async ask(peer: Peer): Promise<void> {
    if (peer.isAsked) return;
    peer.isAsked = true;
    peer.askedAt = performance.now();
    const {revision} = this;
    this.exchanges += 1;
    try {
      const news = this.buildNews();
      const {peerAddress} = peer.name;
      this.recordNews(await this.options.calls.sendNews(peerAddress, news));
      peer.failures = 0;
    } catch (error) {
      this.exchanges -= 1;
      peer.failures += 1;
      if (peer.failures === 1) this.recordSilence(peer, String(error));
    }
    peer.isAsked = false;
    const isCurrent = this.peers.get(peer.name.nodeId) === peer;
    const hasOlder = revision !== this.revision && peer.failures === 0;
    if (isCurrent && hasOlder) void this.ask(peer);
  }

  private recordNews(news: PeerNews): void {
    const {records, handleMoves} = this.options;
    const peer = this.recordNode(news.node);
    if (!peer) return;
    for (const name of news.peers) this.addPeer(name);
    if (news.records.length > 0) {
      records.applyRecords(news.records, news.recordsEnd);
    }
    if (news.moves.length > 0) handleMoves(news.moves);
    this.checkRecords(peer, news.recordsEnd);
  }

  /** Records a node's description; returns undefined for an older process. */
  private recordNode(node: NodeNews): Peer | undefined {
    const {workers, identity} = this.options;
    if (node.nodeId === identity.nodeId) return undefined;
    let peer = this.peers.get(node.nodeId);
    if (!peer || peer.name.incarnation < node.incarnation) {
      peer = this.createPeer(node);
    }
    if (node.incarnation < peer.name.incarnation) return undefined;
    const isNewer = !peer.news || node.revision > peer.news.revision;
    this.recordHeard(peer);
    if (isNewer) {
      peer.news = node;
      const offered = node.isLeaving ? [] : node.workers;
      workers.update({...node, workers: offered, isSuspect: false});
    }
    return peer;
  }

  private recordHeard(peer: Peer): void {
    peer.heardAt = performance.now();
    peer.failures = 0;
    this.setSuspect(peer, false);
  }

  private recordSilence(peer: Peer, detail: string): void {
    this.setSuspect(peer, true);
    const {nodeId, peerAddress} = peer.name;
    this.options.report('node is silent', {nodeId, peerAddress, detail});
  }

  private setSuspect(peer: Peer, isSuspect: boolean): void {
    for (const row of this.options.workers.findRows(peer.name.nodeId)) {
      row.isSuspect = isSuspect;
    }
  }

  /**
   * Checks whether another node has later records. The store usually delivers
   * them shortly; only after that are they requested from the node.
   */
  private checkRecords(peer: Peer, recordsEnd: number): void {
    const {records} = this.options;
    if (recordsEnd <= records.end || this.behindTimer) return;
    this.behindTimer = setTimeout(() => {
      this.behindTimer = undefined;
      if (recordsEnd <= records.end) return;
      this.options.handleLaterRecords();
      this.isBehind = true;
      void this.ask(peer).then(() => (this.isBehind = false));
    }, BEHIND_MS);
  }

  private recordLoads(nodeId: string, loads: readonly ServiceLoad[]): void {
    for (const row of this.options.workers.findRows(nodeId)) {
      const told = loads.find(({service}) => service === row.service);
      if (told) recordLoad(row, told.load);
    }
  }

  private checkPeers(): void {
    const now = performance.now();
    const watched = this.beacons.listWatchedNodes();
    let answering = 0;
    for (const peer of this.peers.values()) {
      const isWatched = watched.has(peer.name.nodeId);
      const intervalMs = computeHeardInterval(peer, isWatched, this.peers.size);
      const silentMs = now - peer.heardAt;
      if (silentMs < SILENT_INTERVALS * intervalMs && peer.news) {
        answering += 1;
        continue;
      }
      this.checkSilent(peer, silentMs, intervalMs);
    }
    this.beacons.sendDue(watched);
    const isLonely = answering === 0 && now - this.listedAt > LONELY_LIST_MS;
    if (isLonely && this.hasListed) void this.listAgain();
  }

  private checkSilent(peer: Peer, silentMs: number, intervalMs: number): void {
    const now = performance.now();
    const pauseMs = Math.min(
      MOST_ASK_PAUSE_MS,
      LEAST_ASK_PAUSE_MS * 2 ** Math.min(peer.failures, 4),
    );
    const forgetMs = Math.max(FORGET_MS, FORGET_INTERVALS * intervalMs);
    const mostMs = peer.news?.isLeaving ? LEFT_MS : forgetMs;
    if (silentMs > mostMs) this.removePeer(peer);
    else if (now - peer.askedAt > pauseMs) void this.ask(peer);
  }

  private removePeer(peer: Peer): void {
    this.peers.delete(peer.name.nodeId);
    this.options.workers.remove(peer.name.nodeId);
  }

  /** Reads the list again to find nodes that started during a partition. */
  private async listAgain(): Promise<void> {
    try {
      await this.readList();
    } catch (error) {
      this.recordUnreached(error);
    }
  }

  private describe(): NodeNews {
    const {identity, beaconAddress} = this.options;
    const {nodeId, incarnation, peerAddress, dataCentre} = identity;
    return {
      nodeId,
      incarnation,
      peerAddress,
      dataCentre,
      beaconAddress,
      revision: this.revision,
      isLeaving: this.isLeaving,
      workers: this.workersHere.map(worker => ({...worker})),
    };
  }

  /** Builds an update; it carries the records from an offset on, if given. */
  private buildNews(recordsFrom = Infinity): PeerNews {
    const {records, listMoves, random} = this.options;
    const now = performance.now();
    // Without the silence limit, nodes would name a dead node forever.
    const names = [...this.peers.values()]
      .filter(({news, heardAt}) => news && now - heardAt < TOLD_MS)
      .map(({name}) => name);
    return {
      node: this.describe(),
      peers: pickRandom(names, MAX_TOLD_PEERS, random),
      recordsEnd: records.end,
      wantsRecords: this.isBehind,
      records: records.list().filter(({offset}) => offset >= recordsFrom),
      moves: listMoves(),
    };
  }
}
