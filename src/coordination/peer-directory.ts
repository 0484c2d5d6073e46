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
import {findRecordsEnd} from '../protocol/peer-messages.js';
import type {
  FindDescription,
  Introduction,
  LoadBeacon,
  NodeInfo,
  PeerIdentity,
  PeerUpdate,
} from '../protocol/peer-messages.js';
import type {RecordPosition} from '../protocol/record-position.js';
import {comparePositions} from '../protocol/record-position.js';
import type {WorkerDescription} from '../state/worker-table.js';
import {pickRandom} from './member-order.js';
import type {Peer, ProcessName} from './known-peer.js';
import {
  computeExchangePause,
  computeRemovalTime,
  createPeer,
  isNewerProcess,
  isReplacement,
  isShareable,
  isSilent,
  REPLACEMENT_SILENCE_MS,
} from './known-peer.js';
import {NodeListing} from './node-listing.js';
import type {PeerDirectoryOptions} from './peer-directory-options.js';
import {RecordCatchUp} from './record-catch-up.js';
import {
  CHECK_INTERVAL_MS,
  computeDatagramInterval,
  PeerBeacons,
  SUBSCRIPTION_LIFETIME_MS,
} from './peer-beacons.js';

/** Exchanges with new nodes at the start; more would return the same peers. */
const INITIAL_EXCHANGE_COUNT = 3;
/** Minimum interval between two reads of the list while no node answers. */
const RELIST_INTERVAL_MS = 1000;

/** Maximum nodes named per message; enough for a new node to find all soon. */
const MAX_SHARED_PEERS = 8;
/** Other nodes that are told a note, so that some survive a lost data centre. */
const MAX_NOTE_KEEPERS = 8;

/** Directory of the other nodes, as known to one node. */
export class PeerDirectory {
  private readonly peers = new Map<string, Peer>();
  private localWorkers: readonly WorkerDescription[] = [];
  private revision = 1;
  private isLeaving = false;
  private checkTimer: NodeJS.Timeout | undefined;
  private exchanges = 0;

  private readonly listing: NodeListing;
  private readonly beacons: PeerBeacons;
  private readonly catchUp: RecordCatchUp;

  constructor(private readonly options: PeerDirectoryOptions) {
    this.catchUp = new RecordCatchUp(options);
    options.freshness.handleAnswer = () => this.beacons.scheduleSpread();
    options.records.events.on('changed', () => this.beacons.scheduleSpread());
    this.listing = new NodeListing({
      directory: options.directory,
      describe: () => this.describe(),
      handleEntries: entries => {
        for (const entry of entries) this.addListedNode(entry);
        this.updateLiveNodes();
      },
      handleNotes: notes => options.notes.recover(notes),
      findEra: () => options.records.end.era,
      random: options.random,
      report: options.report,
    });
    this.beacons = new PeerBeacons({
      describe: () => this.describe(),
      listPeers: () => [...this.peers.values()],
      listSubset: options.listSubset,
      listLoads: options.listLoads,
      findRecordsEnd: () => options.records.end,
      findStoreAnswer: () => options.freshness.answer,
      send: (addresses, beacon) => options.calls.sendBeacon(addresses, beacon),
      dataCentre: options.identity.dataCentre,
      isOwnPreferred: options.isOwnPreferred ?? (() => false),
      random: options.random,
    });
  }

  /** Whether the store's list was read or another node described itself. */
  get hasJoined(): boolean {
    const {hasListed} = this.listing;
    return hasListed || [...this.peers.values()].some(peer => peer.info);
  }

  /** Registers in the store and contacts the nodes that it lists. */
  start(): void {
    void this.listing.register();
    this.checkTimer = setInterval(() => this.checkPeers(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    this.listing.stop();
    clearInterval(this.checkTimer);
    this.beacons.stop();
    this.catchUp.stop();
  }

  /** Announces to all nodes that this one accepts no more attempts. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    this.revision += 1;
    await this.push();
  }

  /** Replaces the local workers and announces them when they have changed. */
  updateWorkers(workers: readonly WorkerDescription[]): void {
    const isSame =
      JSON.stringify(workers) === JSON.stringify(this.localWorkers);
    if (isSame) return;
    this.localWorkers = workers;
    this.revision += 1;
    this.options.workers.update({...this.describe(), isSuspect: false});
    this.beacons.sendChangedDescription();
  }

  /** Pushes changed moves and records to all known nodes. */
  async push(): Promise<void> {
    const known = [...this.peers.values()];
    await Promise.all(known.map(peer => this.sendUpdateTo(peer)));
  }

  /** Lists the peer addresses of the other nodes that are not silent. */
  listPeerAddresses(): string[] {
    return [...this.peers.values()]
      .filter(({failures}) => failures === 0)
      .map(({name}) => name.peerAddress);
  }

  /** Whether the store's list of nodes and their notes has been read. */
  get hasListed(): boolean {
    return this.listing.hasListed;
  }

  /**
   * Pushes this node's notes to some others, which tell its next process.
   *
   * @returns the id of the first node that confirmed; rejects if none does.
   */
  pushNotes(): Promise<string> {
    const live = [...this.peers.values()].filter(
      ({failures}) => failures === 0,
    );
    const picked = pickRandom(live, MAX_NOTE_KEEPERS, this.options.random);
    return Promise.any(
      picked.map(peer => this.updateFrom(peer).then(() => peer.name.nodeId)),
    );
  }

  /** Records the local load and schedules a datagram to its subscribers. */
  scheduleBeacon(): void {
    const {identity, listLoads, workers} = this.options;
    workers.recordLoads(identity.nodeId, listLoads());
    this.beacons.schedule();
  }

  /** Announces records that the polls of other nodes may not deliver. */
  announceRecords(): void {
    this.beacons.sendRecordsEnd();
  }

  /** Applies another node's update and returns this node's own. */
  handleUpdate(update: PeerUpdate): PeerUpdate {
    this.applyUpdate(update);
    return this.buildUpdate(
      update.node.nodeId,
      update.wantsRecords ? findRecordsEnd(update) : undefined,
    );
  }

  /** Handles a datagram of another node. */
  handleBeacon(beacon: LoadBeacon): void {
    const {introduction} = beacon;
    if (introduction) this.recordIntroduction(introduction);
    const peer = this.peers.get(beacon.nodeId);
    const isKnown =
      peer?.info?.incarnation === beacon.incarnation &&
      peer.info.revision >= beacon.revision;
    if (!peer) return;
    if (beacon.incarnation < peer.name.incarnation) {
      const isEnded = beacon.incarnation === peer.endedIncarnation;
      if (isReplacement(peer, beacon)) void this.sendUpdateTo(peer);
      else peer.hasOtherProcess ||= !isEnded;
      return;
    }
    this.recordContact(peer);
    this.checkRecords(peer, beacon.recordsEnd);
    this.recordStoreAnswer(beacon);
    if (!isKnown) {
      void this.sendUpdateTo(peer);
      return;
    }
    this.options.workers.recordLoads(beacon.nodeId, beacon.loads);
  }

  /** Records an answer of the store that showed no later records than ours. */
  private recordStoreAnswer({recordsEnd, storeAnswer}: LoadBeacon): void {
    const {records, freshness} = this.options;
    if (comparePositions(recordsEnd, records.end) !== 0) return;
    if (freshness.recordHeardAnswer(storeAnswer)) records.expireLost();
  }

  /** Returns another node's description in a revision, if it is the known one. */
  findDescription({
    nodeId,
    incarnation,
    revision,
  }: Parameters<FindDescription>[0]): NodeInfo | undefined {
    const info = this.peers.get(nodeId)?.info;
    const isSame =
      info?.incarnation === incarnation && info.revision === revision;
    return isSame ? info : undefined;
  }

  private recordIntroduction(introduction: Introduction): void {
    const {node, wantsLoad, wantsReply} = introduction;
    const known = this.peers.get(node.nodeId);
    const isNew = !known?.info;
    const peer = this.recordNodeInfo(node);
    if (!peer) return;
    if (peer !== known && this.options.notes.has(node.nodeId))
      void this.sendUpdateTo(peer);
    peer.subscribedUntil = wantsLoad
      ? performance.now() + SUBSCRIPTION_LIFETIME_MS
      : -Infinity;
    if (wantsReply) this.beacons.sendIntroductions([peer]);
    if (isNew && this.exchanges < INITIAL_EXCHANGE_COUNT)
      void this.sendUpdateTo(peer);
  }

  /** Introduces this node to one in the store's list, which may be stale. */
  private addListedNode(entry: NodeInfo): void {
    if (!this.isNewer(entry)) return;
    const peer = this.createPeer(entry);
    peer.lastRequestAt = performance.now();
    this.beacons.sendIntroductionRequest(entry.beaconAddress);
  }

  private isNewer(name: ProcessName): boolean {
    if (name.nodeId === this.options.identity.nodeId) return false;
    return isNewerProcess(this.peers.get(name.nodeId), name);
  }

  private createPeer(name: PeerIdentity): Peer {
    const peer = createPeer(name, this.peers.get(name.nodeId));
    this.peers.set(name.nodeId, peer);
    return peer;
  }

  /** Exchanges updates with a node, unless an exchange is in progress. */
  private async sendUpdateTo(peer: Peer): Promise<void> {
    if (peer.isExchanging) return;
    peer.isExchanging = true;
    peer.lastRequestAt = performance.now();
    const {revision} = this;
    this.exchanges += 1;
    try {
      await this.updateFrom(peer);
      peer.failures = 0;
    } catch (error) {
      this.exchanges -= 1;
      peer.failures += 1;
      if (peer.failures === 1) this.markSilent(peer, String(error));
    }
    peer.isExchanging = false;
    const isCurrent = this.peers.get(peer.name.nodeId) === peer;
    const hasOlderRevision = revision !== this.revision && peer.failures === 0;
    if (isCurrent && hasOlderRevision) void this.sendUpdateTo(peer);
  }

  private async updateFrom({name}: Peer): Promise<void> {
    const update = this.buildUpdate(name.nodeId);
    const {calls} = this.options;
    this.applyUpdate(await calls.sendUpdate(name.peerAddress, update));
  }

  private applyUpdate(update: PeerUpdate): void {
    const {records, handleMoves, notes, crashes} = this.options;
    notes.apply(update.notes);
    crashes.recover(update.crashes);
    const peer = this.recordNodeInfo(update.node);
    if (!peer) return;
    const unknown = update.peers.filter(name => this.isNewer(name));
    for (const name of unknown) void this.sendUpdateTo(this.createPeer(name));
    const recordsEnd = findRecordsEnd(update);
    if (update.records.length > 0) {
      records.applyRecords(update.records, recordsEnd);
    }
    if (update.moves.length > 0) handleMoves(update.moves);
    this.checkRecords(peer, recordsEnd);
  }

  /** Records a node's description; returns undefined for an older process. */
  private recordNodeInfo(node: NodeInfo): Peer | undefined {
    const {workers, identity} = this.options;
    if (node.nodeId === identity.nodeId) return undefined;
    let peer = this.peers.get(node.nodeId);
    if (!peer || isReplacement(peer, node)) peer = this.createPeer(node);
    if (node.incarnation !== peer.name.incarnation) return undefined;
    const isNewer = !peer.info || node.revision > peer.info.revision;
    this.recordContact(peer);
    if (isNewer) {
      peer.info = node;
      const offered = node.isLeaving ? [] : node.workers;
      workers.update({...node, workers: offered, isSuspect: false});
    }
    return peer;
  }

  private recordContact(peer: Peer): void {
    peer.lastHeardAt = performance.now();
    peer.failures = 0;
    this.options.workers.setSuspect(peer.name.nodeId, false);
  }

  private markSilent(peer: Peer, detail: string): void {
    const {nodeId, peerAddress} = peer.name;
    this.options.workers.setSuspect(nodeId, true);
    this.options.report('node is silent', {nodeId, peerAddress, detail});
  }

  private checkRecords(peer: Peer, recordsEnd: RecordPosition): void {
    this.catchUp.schedule(peer.name.nodeId, recordsEnd, () =>
      this.sendUpdateTo(peer),
    );
  }

  private checkPeers(): void {
    const now = performance.now();
    const subsetNodeIds = this.beacons.listSubsetNodeIds();
    let isIsolated = true;
    for (const peer of this.peers.values()) {
      const silentMs = now - peer.lastHeardAt;
      if (peer.hasOtherProcess && silentMs > REPLACEMENT_SILENCE_MS) {
        peer.hasOtherProcess = false;
        void this.sendUpdateTo(peer);
      }
      const intervalMs = this.computeInterval(peer, subsetNodeIds);
      if (peer.info && !isSilent(peer, intervalMs, now)) isIsolated = false;
      else this.checkSilent(peer, silentMs, intervalMs);
    }
    const {hasListed, listedAt} = this.listing;
    if (hasListed || !isIsolated) this.updateLiveNodes(subsetNodeIds);
    this.beacons.sendDue(subsetNodeIds);
    if (isIsolated && hasListed && now - listedAt > RELIST_INTERVAL_MS)
      void this.listing.refresh();
    void this.listing.checkEntry();
  }

  private computeInterval(
    peer: Peer,
    subsetNodeIds: ReadonlySet<string>,
  ): number {
    const isInSubset = subsetNodeIds.has(peer.name.nodeId);
    return computeDatagramInterval(peer, isInSubset, this.peers.size);
  }

  /** Updates which nodes may read the store for this one. */
  private updateLiveNodes(
    subsetNodeIds: ReadonlySet<string> = this.beacons.listSubsetNodeIds(),
  ): void {
    const now = performance.now();
    const live = [...this.peers.values()].filter(
      peer =>
        !peer.info?.isLeaving &&
        !isSilent(peer, this.computeInterval(peer, subsetNodeIds), now),
    );
    this.options.freshness.setLiveNodes(live.map(({name}) => name.nodeId));
  }

  private checkSilent(peer: Peer, silentMs: number, intervalMs: number): void {
    const now = performance.now();
    const pauseMs = computeExchangePause(peer);
    if (silentMs > computeRemovalTime(peer, intervalMs)) {
      this.peers.delete(peer.name.nodeId);
      this.options.workers.remove(peer.name.nodeId);
    } else if (now - peer.lastRequestAt > pauseMs) void this.sendUpdateTo(peer);
  }

  private describe(): NodeInfo {
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
      workers: this.localWorkers.map(worker => ({...worker})),
    };
  }

  /** Builds an update; it carries the records from a position on, if given. */
  private buildUpdate(
    receiverId: string,
    recordsFrom?: RecordPosition,
  ): PeerUpdate {
    const {records, listMoves, notes, crashes, random} = this.options;
    const now = performance.now();
    const names = [...this.peers.values()]
      .filter(peer => isShareable(peer, now))
      .map(({name}) => name);
    return {
      node: this.describe(),
      peers: pickRandom(names, MAX_SHARED_PEERS, random),
      recordsEnd: records.end.offset,
      recordsEra: records.end.era,
      wantsRecords: this.catchUp.wantsRecords,
      records: recordsFrom ? records.listSince(recordsFrom) : [],
      moves: listMoves(),
      notes: notes.listFor(receiverId),
      crashes: crashes.list(),
    };
  }
}
