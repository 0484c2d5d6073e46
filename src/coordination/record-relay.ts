/**
 * Relays records between nodes by gossip, so that records the log has accepted
 * take effect everywhere within seconds, whether or not the log is available.
 * Each node pushes new records to a few random peers once, and pulls from one
 * random peer at every interval, which covers lost pushes, new nodes and nodes
 * that were frozen. The cost per node doesn't grow with the number of nodes.
 */
import {waitMs} from '../protocol/backoff.js';
import type {LoggedRecord} from '../protocol/records.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {parseSnapshot} from '../state/snapshot.js';
import type {StateStore} from '../state/state-store.js';
import {pickRandom} from './member-order.js';

/** Maximum number of records in one message. */
const MAX_RECORDS_PER_MESSAGE = 256;
/** Maximum number of consecutive pulls from a peer that is ahead. */
const MAX_CONSECUTIVE_PULLS = 64;
/** Interval between pulls until one has succeeded. */
const INITIAL_PULL_INTERVAL_MS = 200;

/** Records, or the whole state when the records are no longer kept. */
export interface RecordsAnswer {
  readonly records: readonly LoggedRecord[];
  readonly snapshot: ReplicatedState | undefined;
  /** Offset after the last record that the answering node has folded. */
  readonly nextOffset: number;
  /**
   * Milliseconds since the answering node's state was last known to reach the
   * tail of the log.
   */
  readonly logAgeMs: number;
}

/** A received answer, with the snapshot not yet validated. */
export interface ReceivedRecords extends Omit<RecordsAnswer, 'snapshot'> {
  readonly snapshot: unknown;
}

/** Calls to other nodes, implemented by the transport. */
export interface RelayCalls {
  readRecords(peer: string, fromOffset: number): Promise<ReceivedRecords>;
  /** Resolves with the peer's next offset after the push. */
  pushRecords(peer: string, records: readonly LoggedRecord[]): Promise<number>;
}

/** Dependencies and settings of a record relay. */
export interface RecordRelayOptions {
  readonly state: StateStore;
  readonly calls: RelayCalls;
  /** Returns the peer addresses of the other known nodes. */
  readonly listPeers: () => readonly string[];
  /** Number of peers to which this node pushes each new record. */
  readonly fanout: number;
  readonly pullIntervalMs: number;
  readonly random: () => number;
  readonly count: (counter: string) => void;
}

/** Record relay of one node. */
export class RecordRelay {
  private readonly abort = new AbortController();
  private running: Promise<void> | undefined;
  private isFetchingNewer = false;
  private stopWatching: (() => void) | undefined;

  constructor(private readonly options: RecordRelayOptions) {}

  /** Starts pushing new records and pulling missing ones. */
  start(): void {
    this.running ??= this.run();
    const {events} = this.options.state;
    this.stopWatching = events.on('folded', records => {
      void this.pushToRandomPeers(records);
    });
  }

  /** Stops and waits for the running pull. */
  async stop(): Promise<void> {
    this.stopWatching?.();
    this.abort.abort();
    await this.running;
  }

  /** Answers a pull of a peer. */
  handleRead(fromOffset: number, wantsState: boolean): RecordsAnswer {
    const {state} = this.options;
    const records = wantsState ? undefined : state.listRecords(fromOffset);
    return {
      records: records?.slice(0, MAX_RECORDS_PER_MESSAGE) ?? [],
      snapshot: records ? undefined : state.current,
      nextOffset: state.current.nextOffset,
      logAgeMs: state.computeLogAgeMs(),
    };
  }

  /**
   * Applies records that a peer or an operator's command pushed.
   *
   * @returns the next offset of this node.
   */
  handlePush(records: readonly LoggedRecord[]): number {
    const {state} = this.options;
    state.applyRecords(records);
    return state.current.nextOffset;
  }

  /** Pulls from a peer that is known to have a newer state. */
  async fetchNewer(peer: string): Promise<void> {
    if (this.isFetchingNewer) return;
    this.isFetchingNewer = true;
    try {
      await this.fetchFrom(peer);
    } catch {
      this.options.count('relay.pulls-failed');
    } finally {
      this.isFetchingNewer = false;
    }
  }

  /** Pulls from one peer until this node has all of its records. */
  async fetchFrom(peer: string): Promise<void> {
    const {state, calls} = this.options;
    for (let pull = 0; pull < MAX_CONSECUTIVE_PULLS; pull++) {
      const requestedAt = performance.now();
      const before = state.current.nextOffset;
      const answer = await calls.readRecords(peer, before);
      const snapshot = parseSnapshot(answer.snapshot);
      if (snapshot) state.applySnapshot(snapshot);
      state.applyRecords(answer.records);
      const {nextOffset} = state.current;
      if (nextOffset >= answer.nextOffset) {
        this.recordPeerConfirmation(answer.logAgeMs, requestedAt);
        await this.sendMissing(peer, answer.nextOffset);
        return;
      }
      if (nextOffset === before) return;
    }
  }

  /** Pushes records, and older ones too if the peer lacks them. */
  async pushTo(peer: string, records: readonly LoggedRecord[]): Promise<void> {
    const {calls, state, count} = this.options;
    if (records.length === 0) return;
    try {
      const newest = records.slice(-MAX_RECORDS_PER_MESSAGE);
      const peerNextOffset = await calls.pushRecords(peer, newest);
      if (peerNextOffset >= newest[0]!.offset) return;
      const missing = state.listRecords(peerNextOffset);
      if (!missing?.length) return;
      await calls.pushRecords(peer, missing.slice(0, MAX_RECORDS_PER_MESSAGE));
    } catch {
      count('relay.pushes-failed');
    }
  }

  private async run(): Promise<void> {
    const {signal} = this.abort;
    const {pullIntervalMs, random} = this.options;
    let hasReachedPeer = false;
    while (!signal.aborted) {
      hasReachedPeer = (await this.fetchFromRandomPeer()) || hasReachedPeer;
      const pauseMs = hasReachedPeer
        ? pullIntervalMs * (0.5 + random())
        : Math.min(INITIAL_PULL_INTERVAL_MS, pullIntervalMs);
      await waitMs(pauseMs, signal);
    }
  }

  private async fetchFromRandomPeer(): Promise<boolean> {
    const [peer] = this.choosePeers(1);
    if (peer === undefined) return false;
    try {
      await this.fetchFrom(peer);
      return true;
    } catch {
      this.options.count('relay.pulls-failed');
      return false;
    }
  }

  private async pushToRandomPeers(
    records: readonly LoggedRecord[],
  ): Promise<void> {
    const peers = this.choosePeers(this.options.fanout);
    await Promise.all(peers.map(peer => this.pushTo(peer, records)));
  }

  private async sendMissing(
    peer: string,
    peerNextOffset: number,
  ): Promise<void> {
    const missing = this.options.state.listRecords(peerNextOffset);
    if (!missing?.length) return;
    await this.options.calls.pushRecords(
      peer,
      missing.slice(0, MAX_RECORDS_PER_MESSAGE),
    );
  }

  /** Adds the whole round trip to the peer's age, so it is never understated. */
  private recordPeerConfirmation(ageMs: number, requestedAt: number): void {
    if (!Number.isFinite(ageMs) || ageMs < 0) return;
    const {state} = this.options;
    state.recordLogConfirmation(ageMs + performance.now() - requestedAt);
  }

  private choosePeers(count: number): string[] {
    const {listPeers, random} = this.options;
    return pickRandom(listPeers(), count, random);
  }
}
