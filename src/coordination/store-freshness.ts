/**
 * Bounds the time for which a node can miss changes in the platform's store. A
 * long poll reports a change at once, but on a connection that has gone silent
 * it reports nothing until its time limit, and all nodes may be affected at the
 * same time. So the store is also read on a new connection whenever its last
 * answer is too old. Beacons carry the last answer, and a node waits longer the
 * more nodes precede it, so that usually few nodes read for all and the cost
 * does not grow with the cluster. Nodes are ordered by hashes of their ids, as
 * ids that follow each other may fail together. Answers are numbered: each is adopted once,
 * because its age would look smaller each time that it is handed on.
 */
import {createHash} from 'node:crypto';
import type {StoreAnswer} from '../protocol/peer-messages.js';

/** Age of the store's last answer at which the first node reads the store. */
const MAX_AGE_MS = 500;
/** Added per preceding node. */
const AGE_STEP_MS = 200;
/**
 * Limits the age to about 1.3 s when all preceding nodes fail to read, which
 * leaves time for the records to reach all nodes within 2 s.
 */
const MAX_STEPS = 4;
/**
 * Time over which the nodes after these steps are spread, so that the first of
 * them reads for the others here too.
 */
const LATE_SPREAD_MS = 150;
const MAX_BYTE = 255;
/**
 * Nodes that follow the store by polls; one is enough, the others cover its
 * loss or its being refused by the store until that is noticed.
 */
const POLLING_NODES = 3;

/** The last answer of the store, as known to one node. */
export class StoreFreshness {
  /** Called when a later answer is known; set by the user of this object. */
  handleAnswer: () => void = () => {};
  /** Called when this node becomes one that polls the store. */
  handlePolling: () => void = () => {};
  private number = 0;
  private answeredAt = -Infinity;
  private startedAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  /** Infinite until other nodes, or the lack of them, are known. */
  private precedingCount = Infinity;
  private readonly orders = new Map<string, string>();
  private readonly spreadMs: number;

  /** @param check reads the store on a new connection; it records answers. */
  constructor(
    private readonly nodeId: string,
    private readonly check: () => Promise<void>,
  ) {
    const byte = createHash('sha1').update(nodeId).digest()[0]!;
    this.spreadMs = Math.round((byte / MAX_BYTE) * LATE_SPREAD_MS);
  }

  /** Returns the last answer; its age is infinite if there was none. */
  get answer(): StoreAnswer {
    const ageMs = Math.round(performance.now() - this.answeredAt);
    return {number: this.number, ageMs};
  }

  /** Records an answer to this node. */
  recordAnswer(): void {
    this.number += 1;
    this.answeredAt = performance.now();
    this.handleAnswer();
  }

  /**
   * Records an answer that another node has got or heard of. Returns whether it
   * is later than the known one.
   */
  recordHeardAnswer({number, ageMs}: StoreAnswer): boolean {
    if (number <= this.number) return false;
    this.number = number;
    this.answeredAt = Math.max(this.answeredAt, performance.now() - ageMs);
    this.handleAnswer();
    return true;
  }

  /** Whether this node is one of those that poll the store for all. */
  get isPolling(): boolean {
    return this.precedingCount < POLLING_NODES;
  }

  /** Sets the other nodes that may read the store for this one. */
  setLiveNodes(nodeIds: readonly string[]): void {
    const wasPolling = this.isPolling;
    const order = this.computeOrder(this.nodeId);
    this.precedingCount = nodeIds.filter(
      nodeId => this.computeOrder(nodeId) < order,
    ).length;
    if (this.isPolling && !wasPolling) this.handlePolling();
  }

  start(): void {
    this.startedAt = performance.now();
    this.schedule(MAX_AGE_MS);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    this.timer = setTimeout(() => void this.checkAge(), delayMs);
  }

  private async checkAge(): Promise<void> {
    const knownAt = Math.max(this.answeredAt, this.startedAt);
    const ageMs = Math.floor(performance.now() - knownAt);
    const remainingMs = this.computeMaxAge() - ageMs;
    if (remainingMs > 0) {
      this.schedule(remainingMs);
      return;
    }
    await this.check();
    // Also limits the reads of a store that does not answer.
    this.schedule(this.computeMaxAge());
  }

  private computeMaxAge(): number {
    const steps = Math.min(this.precedingCount, MAX_STEPS);
    const spreadMs = this.precedingCount > MAX_STEPS ? this.spreadMs : 0;
    return MAX_AGE_MS + steps * AGE_STEP_MS + spreadMs;
  }

  private computeOrder(nodeId: string): string {
    let order = this.orders.get(nodeId);
    if (order === undefined) {
      order = createHash('sha1').update(nodeId).digest('base64');
      this.orders.set(nodeId, order);
    }
    return order;
  }
}
