/**
 * Follows a topic of keys in the platform's store: the newest record of each
 * key first, then what is appended. When the store has dropped what follows,
 * or forgot more than this node knows, it begins again with the newest; what
 * is known here never goes back. While the store is away, other nodes may
 * know more: a node that hears of a later end looks at once.
 */
import {Backoff, waitMs} from '../protocol/backoff.js';
import type {
  KeyedRecord,
  KeyedRecords,
  KeyedSnapshot,
} from '../state/keyed-records.js';

/** What one read of a topic brought. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset to read from next. */
  readonly next: number;
  /** Offset that the next record will get. */
  readonly end: number;
}

/** A topic of keys; the transport or an adapter implements it. */
export interface KeyedTopic {
  /** @throws StoreUnavailableError */
  readNewest(signal?: AbortSignal): Promise<KeyedSnapshot>;
  /**
   * Reads from an offset and waits for a record when there is none yet.
   *
   * @returns undefined when records from there on have been dropped.
   * @throws StoreUnavailableError
   */
  read(
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<KeyedPage | undefined>;
}

/** The store did not answer a call in time, or refused it. */
export class StoreUnavailableError extends Error {
  constructor(
    detail: string,
    /** Whether a write may have taken effect all the same. */
    readonly mayHaveTakenEffect = false,
  ) {
    super(`store unavailable: ${detail}`);
    this.name = 'StoreUnavailableError';
  }
}

/** What a follower works with. */
export interface KeyedFollowerOptions {
  readonly topic: KeyedTopic;
  readonly records: KeyedRecords;
  /** Longest wait of one read for a new record, in milliseconds. */
  readonly pollWaitMs: number;
  readonly random: () => number;
  /** Told when the store becomes available or unavailable. */
  readonly handleAvailability: (isAvailable: boolean, detail: string) => void;
}

const LEAST_BACKOFF_MS = 100;
const MOST_BACKOFF_MS = 1000;

/** Follows one topic. */
export class KeyedFollower {
  private readonly abort = new AbortController();
  private readonly backoff: Backoff;
  private next: number | undefined;
  private poll: AbortController | undefined;
  private isAvailable = true;

  constructor(private readonly options: KeyedFollowerOptions) {
    this.backoff = new Backoff(
      LEAST_BACKOFF_MS,
      MOST_BACKOFF_MS,
      options.random,
    );
  }

  /** Begins to follow. */
  start(): void {
    void this.run();
  }

  stop(): void {
    this.abort.abort();
    this.poll?.abort();
  }

  /**
   * Looks again at once. A read that waits on a connection that went silent
   * would otherwise miss what other nodes know already.
   */
  checkNow(): void {
    this.poll?.abort();
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      const poll = new AbortController();
      this.poll = poll;
      try {
        await this.readOnce(poll.signal);
        this.recordAvailability(true, '');
      } catch (error) {
        if (poll.signal.aborted) {
          this.next = undefined;
          continue;
        }
        if (!(error instanceof StoreUnavailableError)) throw error;
        this.recordAvailability(false, error.message);
        await this.backoff.wait(this.abort.signal);
      }
    }
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const {topic, records, pollWaitMs} = this.options;
    if (this.next === undefined) {
      const snapshot = await topic.readNewest(signal);
      records.applySnapshot(snapshot);
      this.next = snapshot.end;
      return;
    }
    const page = await topic.read(this.next, pollWaitMs, signal);
    if (!page) {
      this.next = undefined;
      await waitMs(LEAST_BACKOFF_MS, signal);
      return;
    }
    // An end before what was read shows a store that lost or lags behind.
    if (page.end < this.next) this.next = undefined;
    else {
      records.applyRecords(page.records, page.next);
      this.next = page.next;
    }
  }

  private recordAvailability(isAvailable: boolean, detail: string): void {
    if (isAvailable) this.backoff.reset();
    if (isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    this.options.handleAvailability(isAvailable, detail);
  }
}
