/**
 * Finds the other nodes through a directory in the platform's store and keeps
 * what they say of themselves. The store is asked at the start and when hardly
 * anybody answers; everything after that goes from node to node, so that the
 * store's price doesn't grow with the fleet. A description is pushed when it
 * changes; beacons carry load and show silence. What is believed here steers
 * routing only: a gate that is asked in vain refuses or does not answer.
 */
import {Backoff} from '../protocol/backoff.js';
import type {NodeIdentity} from '../protocol/node-identity.js';
import type {
  LoadBeacon,
  NodeNews,
  PeerName,
  PeerNews,
  ServiceLoad,
} from '../protocol/peer-messages.js';
import type {KeyedRecords} from '../state/keyed-records.js';
import type {WorkerDescription, WorkerTable} from '../state/worker-table.js';
import {recordLoad} from '../state/worker-table.js';
import {StoreUnavailableError} from './keyed-follower.js';
import {pickRandom} from './member-order.js';

/** The list of nodes in the platform's store. */
export interface NodeDirectory {
  /**
   * Writes this node's entry, over an earlier one of the same id.
   *
   * @throws StoreUnavailableError
   */
  announce(entry: NodeNews): Promise<void>;
  /** @throws StoreUnavailableError */
  list(): Promise<NodeNews[]>;
}

/** Calls to other nodes. */
export interface PeerCalls {
  /** Tells a node the news and resolves with its own; rejects in silence. */
  sendNews(peerAddress: string, news: PeerNews): Promise<PeerNews>;
  /** Sends a datagram to each address; any may be lost. */
  sendBeacon(addresses: readonly string[], beacon: LoadBeacon): void;
}

/** What a directory works with. */
export interface PeerDirectoryOptions {
  readonly identity: NodeIdentity;
  readonly beaconAddress: string;
  readonly workers: WorkerTable;
  readonly directory: NodeDirectory;
  readonly calls: PeerCalls;
  readonly records: KeyedRecords;
  readonly random: () => number;
  /** Load of the local workers. */
  readonly listLoads: () => readonly ServiceLoad[];
  /** The news of moves, both ways. */
  readonly listMoves: () => PeerNews['moves'];
  readonly handleMoves: (moves: PeerNews['moves']) => void;
  /** Told that another node knows later records of operators. */
  readonly handleLaterRecords: () => void;
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

interface Peer {
  name: PeerName;
  news: NodeNews | undefined;
  heardAt: number;
  isAsked: boolean;
  askedAt: number;
  failures: number;
}

/** Least pause between two beacons. */
const BEACON_PAUSE_MS = 60;
/** Pause after which a beacon is sent though nothing changed. */
const BEACON_INTERVAL_MS = 500;
/** Silence after which a node is asked whether it is there. */
const SILENCE_MS = 1400;
const CHECK_INTERVAL_MS = 250;
/** Longest pause between two questions to a node that does not answer. */
const MOST_ASK_PAUSE_MS = 2000;
const LEAST_ASK_PAUSE_MS = 250;
/** Time in which the store usually tells all nodes of a new record. */
const BEHIND_MS = 250;
/** Silence after which a node is forgotten; the store still lists it. */
const FORGET_MS = 20_000;
/** Silence after which a node that said that it leaves is forgotten. */
const LEFT_MS = 3000;
/** Pause between two looks at the store while nobody answers. */
const LONELY_LIST_MS = 1000;
const LEAST_BACKOFF_MS = 200;
const MOST_BACKOFF_MS = 1000;

/** Nodes named in one message; enough for a newcomer to learn of all soon. */
const MAX_TOLD_PEERS = 8;

/** One node's view of the others. */
export class PeerDirectory {
  private readonly peers = new Map<string, Peer>();
  private readonly abort = new AbortController();
  private workersHere: readonly WorkerDescription[] = [];
  private revision = 1;
  private isLeaving = false;
  private hasListed = false;
  private beaconTimer: NodeJS.Timeout | undefined;
  private checkTimer: NodeJS.Timeout | undefined;
  private behindTimer: NodeJS.Timeout | undefined;
  private isBehind = false;
  private lastBeaconAt = -Infinity;
  private listedAt = -Infinity;

  constructor(private readonly options: PeerDirectoryOptions) {}

  /** Whether the store's list was read, or other nodes answer. */
  get hasJoined(): boolean {
    return this.hasListed || [...this.peers.values()].some(peer => peer.news);
  }

  /** Registers in the store and tells the nodes that it lists. */
  start(): void {
    void this.register();
    this.checkTimer = setInterval(() => this.checkPeers(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    this.abort.abort();
    clearInterval(this.checkTimer);
    clearTimeout(this.beaconTimer);
    clearTimeout(this.behindTimer);
  }

  /** Tells all nodes that this one takes no more attempts. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    this.revision += 1;
    await this.push();
  }

  /** Takes over the workers beside this node and tells the others. */
  updateWorkers(workers: readonly WorkerDescription[]): void {
    const isSame = JSON.stringify(workers) === JSON.stringify(this.workersHere);
    if (isSame) return;
    this.workersHere = workers;
    this.revision += 1;
    this.options.workers.update({...this.describe(), isSuspect: false});
    void this.push();
    if (this.hasListed) void this.register();
  }

  /** Tells all nodes of moves or records that changed. */
  async push(): Promise<void> {
    const known = [...this.peers.values()];
    await Promise.all(known.map(peer => this.ask(peer)));
  }

  /** Sends the load to all nodes soon. */
  scheduleBeacon(): void {
    const {identity, listLoads} = this.options;
    this.recordLoads(identity.nodeId, listLoads());
    if (this.beaconTimer || this.abort.signal.aborted) return;
    const dueAt = this.lastBeaconAt + BEACON_PAUSE_MS;
    const pauseMs = Math.max(0, dueAt - performance.now());
    this.beaconTimer = setTimeout(() => this.sendBeacons(), pauseMs);
  }

  /** Takes news of another node and returns this node's own. */
  handleNews(news: PeerNews): PeerNews {
    this.recordNews(news);
    return this.buildNews(news.wantsRecords ? news.recordsEnd : undefined);
  }

  /** Takes a datagram of another node. */
  handleBeacon(beacon: LoadBeacon): void {
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

  private async register(): Promise<void> {
    const backoff = new Backoff(
      LEAST_BACKOFF_MS,
      MOST_BACKOFF_MS,
      this.options.random,
    );
    const {directory} = this.options;
    const {revision} = this;
    while (!this.abort.signal.aborted && revision === this.revision) {
      try {
        await directory.announce(this.describe());
        if (this.hasListed) return;
        await this.readList();
        return;
      } catch (error) {
        this.recordUnreached(error);
        await backoff.wait(this.abort.signal);
      }
    }
  }

  /** Reports that the store was not reached; any other error is a fault. */
  private recordUnreached(error: unknown): void {
    if (!(error instanceof StoreUnavailableError)) throw error;
    this.options.report('directory not reached', {detail: error.message});
  }

  private async readList(): Promise<void> {
    this.listedAt = performance.now();
    const entries = await this.options.directory.list();
    this.hasListed = true;
    for (const entry of entries) this.addPeer(entry);
  }

  private addPeer(name: PeerName): void {
    const {identity} = this.options;
    if (name.nodeId === identity.nodeId) return;
    const known = this.peers.get(name.nodeId);
    if (known && known.name.incarnation >= name.incarnation) return;
    void this.ask(this.createPeer(name));
  }

  private createPeer({nodeId, incarnation, peerAddress}: PeerName): Peer {
    const peer: Peer = {
      name: {nodeId, incarnation, peerAddress},
      news: undefined,
      heardAt: performance.now(),
      isAsked: false,
      askedAt: -Infinity,
      failures: 0,
    };
    this.peers.set(nodeId, peer);
    return peer;
  }

  private async ask(peer: Peer): Promise<void> {
    if (peer.isAsked) return;
    peer.isAsked = true;
    peer.askedAt = performance.now();
    const {revision} = this;
    try {
      const news = this.buildNews();
      const {peerAddress} = peer.name;
      this.recordNews(await this.options.calls.sendNews(peerAddress, news));
      peer.failures = 0;
    } catch (error) {
      peer.failures += 1;
      if (peer.failures === 1) this.recordSilence(peer, String(error));
    }
    peer.isAsked = false;
    const isCurrent = this.peers.get(peer.name.nodeId) === peer;
    const hasOlder = revision !== this.revision && peer.failures === 0;
    if (isCurrent && hasOlder) void this.ask(peer);
  }

  private recordNews(news: PeerNews): void {
    const {workers, records, handleMoves, identity} = this.options;
    const {node} = news;
    if (node.nodeId === identity.nodeId) return;
    let peer = this.peers.get(node.nodeId);
    if (!peer || peer.name.incarnation < node.incarnation) {
      peer = this.createPeer(node);
    }
    if (node.incarnation < peer.name.incarnation) return;
    const isNewer = !peer.news || node.revision > peer.news.revision;
    this.recordHeard(peer);
    if (isNewer) {
      peer.news = node;
      const offered = node.isLeaving ? [] : node.workers;
      workers.update({...node, workers: offered, isSuspect: false});
    }
    for (const name of news.peers) this.addPeer(name);
    if (news.records.length > 0) {
      records.applyRecords(news.records, news.recordsEnd);
    }
    if (news.moves.length > 0) handleMoves(news.moves);
    this.checkRecords(peer, news.recordsEnd);
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
    const {workers} = this.options;
    for (const {service} of peer.news?.workers ?? []) {
      for (const row of workers.listWorkers(service)) {
        if (row.target.nodeId === peer.name.nodeId) row.isSuspect = isSuspect;
      }
    }
  }

  /**
   * Another node knows later records. Usually the store tells this node of
   * them in a moment; it is looked for elsewhere only after that.
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
    for (const {service, load} of loads) {
      for (const row of this.options.workers.listWorkers(service)) {
        if (row.target.nodeId === nodeId) recordLoad(row, load);
      }
    }
  }

  private sendBeacons(): void {
    this.beaconTimer = undefined;
    this.lastBeaconAt = performance.now();
    const {identity, calls, records, listLoads} = this.options;
    const beacon: LoadBeacon = {
      nodeId: identity.nodeId,
      incarnation: identity.incarnation,
      revision: this.revision,
      recordsEnd: records.end,
      loads: listLoads(),
    };
    const addresses = [...this.peers.values()].flatMap(({news}) =>
      news ? [news.beaconAddress] : [],
    );
    calls.sendBeacon(addresses, beacon);
  }

  private checkPeers(): void {
    const now = performance.now();
    if (now - this.lastBeaconAt > BEACON_INTERVAL_MS) this.scheduleBeacon();
    let answering = 0;
    for (const peer of this.peers.values()) {
      const silentMs = now - peer.heardAt;
      if (silentMs < SILENCE_MS && peer.news) {
        answering += 1;
        continue;
      }
      const pauseMs = Math.min(
        MOST_ASK_PAUSE_MS,
        LEAST_ASK_PAUSE_MS * 2 ** Math.min(peer.failures, 4),
      );
      const mostMs = peer.news?.isLeaving ? LEFT_MS : FORGET_MS;
      if (silentMs > mostMs) this.removePeer(peer);
      else if (now - peer.askedAt > pauseMs) void this.ask(peer);
    }
    const isLonely = answering === 0 && now - this.listedAt > LONELY_LIST_MS;
    if (isLonely && this.hasListed) void this.listAgain();
  }

  private removePeer(peer: Peer): void {
    this.peers.delete(peer.name.nodeId);
    this.options.workers.remove(peer.name.nodeId);
  }

  /** Others may have started while this node was cut off. */
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

  /** News, with the records from an offset on when they are asked for. */
  private buildNews(recordsFrom = Infinity): PeerNews {
    const {records, listMoves, random} = this.options;
    const now = performance.now();
    // A node that is gone would be told of for ever by those told of it.
    const names = [...this.peers.values()]
      .filter(({news, heardAt}) => news && now - heardAt < SILENCE_MS)
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
