/**
 * A keyed topic of the store without a network. It answers each node as the test
 * says and counts the calls.
 */
import type {KeyedPage} from '../../coordination/keyed-follower.js';
import {
  KeyedFollower,
  StoreUnavailableError,
} from '../../coordination/keyed-follower.js';
import type {StoreFreshness} from '../../coordination/store-freshness.js';
import {waitMs} from '../../protocol/backoff.js';
import type {
  KeyedRecord,
  KeyedRecords,
  KeyedSnapshot,
} from '../../state/keyed-records.js';

const ANSWER_MS = 4;
const POLL_WAIT_MS = 15_000;
/** Time after which a client gives up a call without an answer. */
const CALL_TIMEOUT_MS = 1000;

/** How the store handles the calls of a node. */
export const Service = {
  SERVED: 'served',
  REFUSED: 'refused',
  /** Neither answers nor ends calls, also those that are open already. */
  SILENT: 'silent',
} as const;

export type Service = (typeof Service)[keyof typeof Service];

/** Parts of a node that a follower works with. */
export interface FollowingNode {
  readonly nodeId: string;
  readonly records: KeyedRecords;
  readonly freshness: StoreFreshness;
  readonly announceRecords: () => void;
}

/** A topic with the newest record of each key. */
export class EmulatedTopic {
  /** Number of calls of all nodes. */
  calls = 0;
  readonly services = new Map<string, Service>();
  private readonly followers: KeyedFollower[] = [];
  private records: KeyedRecord[] = [];
  private era = 0;
  private waiting: Array<() => void> = [];

  append(key: string, value: string): void {
    const offset = this.records.length;
    this.records.push({key, era: this.era, offset, value});
    const {waiting} = this;
    this.waiting = [];
    for (const wake of waiting) wake();
  }

  /** Begins an era, back from a copy without any record. */
  startEra(): void {
    this.era += 1;
    this.records = [];
    const {waiting} = this;
    this.waiting = [];
    for (const wake of waiting) wake();
  }

  createFollower(node: FollowingNode): KeyedFollower {
    const {nodeId, records, freshness, announceRecords} = node;
    const follower = new KeyedFollower({
      topic: {
        readNewest: signal => this.readNewest(nodeId, signal),
        read: (from, waitMs, signal) => this.read(nodeId, from, waitMs, signal),
      },
      records,
      pollWaitMs: POLL_WAIT_MS,
      random: Math.random,
      isPolling: () => freshness.isPolling,
      handleAnswer: () => freshness.recordAnswer(),
      handleSilentPoll: announceRecords,
      handleAvailability: () => {},
      report: () => {},
    });
    this.followers.push(follower);
    return follower;
  }

  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  private async readNewest(
    nodeId: string,
    signal?: AbortSignal,
  ): Promise<KeyedSnapshot> {
    await this.startCall(nodeId, signal);
    const newest = new Map(this.records.map(record => [record.key, record]));
    const end = {era: this.era, offset: this.records.length};
    return {records: [...newest.values()], end};
  }

  private async read(
    nodeId: string,
    from: number,
    longestWaitMs: number,
    signal?: AbortSignal,
  ): Promise<KeyedPage> {
    await this.startCall(nodeId, signal);
    if (longestWaitMs > 0 && this.records.length <= from) {
      const appended = new Promise<void>(wake => this.waiting.push(wake));
      await Promise.race([appended, waitMs(longestWaitMs, signal)]);
      await this.checkServed(nodeId, signal);
    }
    const end = {era: this.era, offset: this.records.length};
    return {records: this.records.slice(from), next: end, end};
  }

  private async startCall(
    nodeId: string,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    this.calls += 1;
    await waitMs(ANSWER_MS, signal);
    await this.checkServed(nodeId, signal);
  }

  /** @throws StoreUnavailableError */
  private async checkServed(
    nodeId: string,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const service = this.services.get(nodeId) ?? Service.SERVED;
    if (service === Service.SILENT) await waitMs(CALL_TIMEOUT_MS, signal);
    if (service !== Service.SERVED || signal?.aborted) {
      throw new StoreUnavailableError(service);
    }
  }
}
