/**
 * Clusters of nodes with a peer directory, without a network. Messages are
 * encoded and delivered in the same process, and counted.
 */
import {PeerDirectory} from '../../coordination/peer-directory.js';
import {StoreFreshness} from '../../coordination/store-freshness.js';
import {WorkerSubset} from '../../coordination/routing/worker-subset.js';
import type {
  LoadBeacon,
  NodeInfo,
  PeerUpdate,
} from '../../protocol/peer-messages.js';
import {formatBeacon, parseBeacon} from '../../protocol/peer-messages.js';
import type {WorkerLoad} from '../../protocol/worker-load.js';
import type {EmulatedTopic} from './emulated-topic.js';
import {KeyedRecords} from '../../state/keyed-records.js';
import {WorkerTable} from '../../state/worker-table.js';

export const SERVICE = 'kona-desk';
export const DATA_CENTRES = ['dsm', 'aru', 'mwz'];
export const IDLE: WorkerLoad = {
  state: 'ready',
  inFlight: 0,
  queued: 0,
  limit: 4,
  serviceTimeUs: 0,
  failureShare: 0,
  pace: 1,
};
/** A node of a cluster without a network. */
export interface TestNode {
  readonly directory: PeerDirectory;
  readonly workers: WorkerTable;
  readonly records: KeyedRecords;
  readonly freshness: StoreFreshness;
  /** Whether the store answers this node. */
  isServedByStore: boolean;
  /** Reads of this node beside its poll. */
  pollChecks: number;
  load: WorkerLoad;
  isUnresponsive: boolean;
  received: number;
  receivedBytes: number;
  readonly heardFrom: Set<string>;
}

/** A cluster whose nodes share a node list and exchange messages directly. */
export class TestFleet {
  readonly nodes = new Map<string, TestNode>();
  readonly entries = new Map<string, NodeInfo>();
  calls = 0;
  /** Era of the store. */
  era = 0;
  announcements = 0;
  listReads = 0;
  /** Reads beside the polls of all nodes. */
  pollChecks = 0;
  /** Time of each answer to such a read, by its number. */
  readonly answeredAt = new Map<number, number>();
  /** Time that a datagram takes, in milliseconds. */
  delayMs = 0;
  /** The topic that the nodes follow; without one, reads always succeed. */
  topic: EmulatedTopic | undefined;
  private readonly addresses = new Map<string, string>();
  private readonly nodeIds = new Map<string, string>();

  add(nodeId: string, dataCentre: string, incarnation = 5): TestNode {
    const workers = new WorkerTable();
    const records = new KeyedRecords();
    const subset = new WorkerSubset(nodeId, dataCentre);
    const freshness = new StoreFreshness(nodeId, async () => {
      if (follower) {
        await follower.checkTopic();
        return;
      }
      this.pollChecks += 1;
      node.pollChecks += 1;
      if (!node.isServedByStore) return;
      freshness.recordAnswer();
      const {number} = freshness.answer;
      const firstAt = this.answeredAt.get(number) ?? performance.now();
      this.answeredAt.set(number, firstAt);
    });
    const address = this.findAddress(nodeId);
    const directory = new PeerDirectory({
      identity: {
        nodeId,
        incarnation,
        dataCentre,
        callerAddress: address,
        peerAddress: address,
      },
      beaconAddress: address,
      workers,
      directory: {
        announce: async entry => {
          this.entries.set(nodeId, entry);
          this.announcements += 1;
          return this.era;
        },
        list: async () => {
          this.listReads += 1;
          const entries = [...this.entries.values()];
          return {era: this.era, entries, notes: []};
        },
        saveNote: async () => {},
      },
      calls: {
        sendUpdate: (to, update) => this.sendUpdate(to, update),
        sendBeacon: (to, beacon) => this.sendBeacon(to, beacon),
      },
      records,
      freshness,
      listSubset: () => subset.select(workers.listWorkers(SERVICE)),
      random: Math.random,
      listLoads: () => [{service: SERVICE, load: node.load}],
      listMoves: () => [],
      handleMoves: () => {},
      notes: {
        listFor: () => [],
        has: () => false,
        apply: () => {},
        recover: () => {},
      },
      crashes: {list: () => [], recover: () => {}},
      handleLaterRecords: () => {},
      report: () => {},
    });
    const node: TestNode = {
      directory,
      workers,
      records,
      freshness,
      isServedByStore: true,
      pollChecks: 0,
      load: IDLE,
      isUnresponsive: false,
      received: 0,
      receivedBytes: 0,
      heardFrom: new Set(),
    };
    this.nodes.set(nodeId, node);
    const follower = this.topic?.createFollower({
      nodeId,
      records,
      freshness,
      announceRecords: () => directory.announceRecords(),
    });
    if (follower) {
      freshness.handlePolling = () => follower.startPolling();
      follower.start();
    }
    directory.updateWorkers([
      {service: SERVICE, version: 'v1', slots: 6, state: 'ready'},
    ]);
    directory.start();
    freshness.start();
    return node;
  }

  /** Returns the time since the answer that a node knows of was given. */
  computeAnswerAge({freshness}: TestNode): number {
    const answeredAt = this.answeredAt.get(freshness.answer.number);
    return performance.now() - (answeredAt ?? -Infinity);
  }

  addAll(count: number): void {
    for (let index = 0; index < count; index++) {
      this.add(`node-${index}`, DATA_CENTRES[index % DATA_CENTRES.length]!);
    }
  }

  /** Adds an entry to the store for a node that does not exist. */
  addStaleEntry(nodeId: string, incarnation = 1, key = nodeId): void {
    const address = this.findAddress(key);
    this.entries.set(key, {
      nodeId,
      incarnation,
      peerAddress: address,
      dataCentre: DATA_CENTRES[0]!,
      beaconAddress: address,
      revision: 1,
      isLeaving: false,
      workers: [],
    });
  }

  isComplete(): boolean {
    const live = [...this.nodes.values()].filter(node => !node.isUnresponsive);
    return live.every(
      ({workers}) => workers.listWorkers(SERVICE).length === this.nodes.size,
    );
  }

  /** Returns the address of a node; a new one for a new id. */
  private findAddress(nodeId: string): string {
    const known = this.addresses.get(nodeId);
    if (known) return known;
    const address = `10.0.0.1:${this.addresses.size + 1}`;
    this.addresses.set(nodeId, address);
    this.nodeIds.set(address, nodeId);
    return address;
  }

  private findNode(address: string): TestNode | undefined {
    return this.nodes.get(this.nodeIds.get(address) ?? '');
  }

  private async sendUpdate(
    to: string,
    update: PeerUpdate,
  ): Promise<PeerUpdate> {
    this.calls += 1;
    const node = this.findNode(to);
    await new Promise(resolve => setImmediate(resolve));
    if (!node || node.isUnresponsive) throw new Error('node does not reply');
    return structuredClone(
      node.directory.handleUpdate(structuredClone(update)),
    );
  }

  private sendBeacon(to: readonly string[], beacon: LoadBeacon): void {
    const text = formatBeacon(beacon);
    const deliver = (): void => {
      for (const address of to) this.receiveBeacon(address, beacon, text);
    };
    if (this.delayMs === 0) setImmediate(deliver);
    else setTimeout(deliver, this.delayMs);
  }

  private receiveBeacon(
    address: string,
    {nodeId}: LoadBeacon,
    text: string,
  ): void {
    const node = this.findNode(address);
    if (!node || node.isUnresponsive) return;
    node.received += 1;
    node.receivedBytes += text.length;
    node.heardFrom.add(nodeId);
    node.directory.handleBeacon(parseBeacon(text)!);
  }
}
