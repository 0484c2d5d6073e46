/**
 * Follows a keyed topic in the platform's store: reads the newest record of
 * each key first, then the records appended after them. It reads the newest
 * records again when the store no longer has the next ones, or has lost records
 * that this node has read. Offsets are valid only in the era of the store in
 * which they were read. A known record is never replaced by an older one.
 * While the store is unavailable, other nodes may have newer records: a node
 * that learns of a later end offset checks the store at once. A poll whose
 * connection went silent is found by a read beside it.
 *
 * In a large cluster only a few nodes poll, since each poll and each change
 * would otherwise cost a call per node. The others get records from node to
 * node, and read the topic themselves when the store's last answer that they
 * know of is too old.
 */
import {Backoff, waitMs} from '../protocol/backoff.js';
import type {
  KeyedRecord,
  KeyedRecords,
  KeyedSnapshot,
} from '../state/keyed-records.js';
import type {RecordPosition} from '../protocol/record-position.js';
import {comparePositions} from '../protocol/record-position.js';

/** Result of one read of a topic. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Position from which to read next. */
  readonly next: RecordPosition;
  /** Position that the next record will get. */
  readonly end: RecordPosition;
}

/**
 * A topic in which the newest record of each key replaces the earlier ones;
 * implemented by the transport layer or an adapter.
 */
export interface KeyedTopic {
  /**
   * Reads the newest record of each key.
   *
   * @throws StoreUnavailableError
   */
  readNewest(signal?: AbortSignal): Promise<KeyedSnapshot>;
  /**
   * Reads from an offset, waiting up to `waitMs` if there is no record yet.
   *
   * @returns undefined when the store no longer has the records at `from`.
   * @throws StoreUnavailableError
   */
  read(
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<KeyedPage | undefined>;
}

/** Thrown when the store did not answer a call in time or refused it. */
export class StoreUnavailableError extends Error {
  constructor(
    detail: string,
    /** Whether a write may have taken effect despite the error. */
    readonly mayHaveTakenEffect = false,
  ) {
    super(`store unavailable: ${detail}`);
    this.name = 'StoreUnavailableError';
  }
}

/** Dependencies of a KeyedFollower. */
export interface KeyedFollowerOptions {
  readonly topic: KeyedTopic;
  readonly records: KeyedRecords;
  /** Maximum time that one read waits for a new record, in milliseconds. */
  readonly pollWaitMs: number;
  readonly random: () => number;
  /**
   * Whether this node follows the topic by polls. One that doesn't gets records
   * from other nodes and reads the topic only when told to check it.
   */
  readonly isPolling: () => boolean;
  /** Called after each answer that shows what the store holds. */
  readonly handleAnswer: () => void;
  /**
   * Called when a check found records that the polls of this node, or those of
   * the nodes that poll for it, had not delivered.
   */
  readonly handleSilentPoll: () => void;
  /** Called when the store becomes available or unavailable. */
  readonly handleAvailability: (isAvailable: boolean, detail: string) => void;
  /** Writes a log line with its context. */
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1000;
/** Interval at which a node that doesn't poll checks whether it is to. */
const ROLE_CHECK_INTERVAL_MS = 250;

/** Follows one topic. */
export class KeyedFollower {
  private readonly abort = new AbortController();
  private readonly backoff: Backoff;
  private next: RecordPosition | undefined;
  private pollAbort: AbortController | undefined;
  private isAvailable = true;
  /** Whether this node waits for records from nodes that poll. */
  private isWaiting = false;
  private mustReadNewest = false;

  constructor(private readonly options: KeyedFollowerOptions) {
    this.backoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, options.random);
  }

  /** Starts reading the topic in the background. */
  start(): void {
    void this.run();
  }

  stop(): void {
    this.abort.abort();
    this.pollAbort?.abort();
  }

  /**
   * Ends the poll and reads the newest records at once. A read on a stalled
   * connection would otherwise delay records that other nodes already have. A
   * read of the newest records in progress goes on. A node that doesn't poll
   * gets the records from another one.
   */
  checkNow(): void {
    if (this.next !== undefined && !this.isWaiting) this.pollAbort?.abort();
  }

  /**
   * Reads the topic beside the poll in progress, or in place of one. If the
   * store has other records than are known here, the poll's connection is
   * silent; the records are then read again at once.
   */
  async checkTopic(): Promise<void> {
    const {topic, records, handleAnswer, handleSilentPoll} = this.options;
    if (this.isWaiting) this.updateNext();
    const {next, pollAbort} = this;
    if (next === undefined) {
      this.startReadingNewest();
      return;
    }
    // While the store is unavailable, reads do not wait and need no check.
    if (!this.isAvailable && !this.isWaiting) return;
    try {
      const page = await topic.read(next.offset, 0, this.abort.signal);
      if (this.next !== next) return;
      this.recordAvailability(true, '');
      const isCurrent = page && comparePositions(page.end, next) === 0;
      if (isCurrent) {
        records.expireLost();
        handleAnswer();
        return;
      }
      if (page?.end.era === next.era && page.end.offset > next.offset) {
        records.applyRecords(page.records, page.next);
        if (this.isWaiting) this.next = page.next;
      } else if (this.isWaiting) this.startReadingNewest();
      if (!this.isWaiting) pollAbort?.abort();
      handleSilentPoll();
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      if (this.isWaiting) this.recordAvailability(false, error.message);
    }
  }

  /** Ends the wait of a node that is to poll from now on. */
  startPolling(): void {
    if (this.isWaiting) this.pollAbort?.abort();
  }

  private startReadingNewest(): void {
    if (!this.isWaiting) return;
    this.mustReadNewest = true;
    this.pollAbort?.abort();
  }

  /** Goes on from the records that other nodes have sent, if they are later. */
  private updateNext(): void {
    const {end} = this.options.records;
    const isKnown = end.era > 0 || end.offset > 0;
    const {next} = this;
    const isLater =
      next === undefined || (end.era === next.era && end.offset > next.offset);
    if (isKnown && isLater) this.next = end;
  }

  /** Waits until this node is to poll or has to read the newest records. */
  private async waitForRole(): Promise<void> {
    const {isPolling} = this.options;
    this.isWaiting = true;
    while (!this.abort.signal.aborted && !this.mustReadNewest && !isPolling()) {
      const {signal} = this.pollAbort!;
      await waitMs(ROLE_CHECK_INTERVAL_MS, signal);
      if (signal.aborted) break;
    }
    this.isWaiting = false;
    if (this.mustReadNewest) this.next = undefined;
    else this.updateNext();
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      this.pollAbort = new AbortController();
      if (!this.mustReadNewest && !this.options.isPolling()) {
        await this.waitForRole();
        continue;
      }
      const {pollAbort} = this;
      try {
        await this.readOnce(pollAbort.signal);
        this.mustReadNewest = false;
        this.recordAvailability(true, '');
      } catch (error) {
        if (pollAbort.signal.aborted) {
          this.next = undefined;
          continue;
        }
        this.mustReadNewest = false;
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
      if (snapshot.end.era < records.end.era) {
        throw new StoreUnavailableError('store answered from an earlier era');
      }
      records.applySnapshot(snapshot);
      records.expireLost();
      this.next = snapshot.end;
      this.options.handleAnswer();
      return;
    }
    const {next} = this;
    // After an outage a read that waits would hide a restore, or be silent.
    const longestWaitMs = this.isAvailable ? pollWaitMs : 0;
    const page = await topic.read(next.offset, longestWaitMs, signal);
    if (!page) {
      this.options.report('store no longer has the next records', {
        from: next.offset,
      });
      this.next = undefined;
      await waitMs(MIN_BACKOFF_MS, signal);
      return;
    }
    // The store was restored, or lags behind if its end is before `next`.
    if (page.end.era !== next.era || page.end.offset < next.offset) {
      const {era, offset: end} = page.end;
      this.options.report('store lacks the next record', {
        from: next.offset,
        era,
        end,
      });
      this.next = undefined;
    } else {
      records.applyRecords(page.records, page.next);
      records.expireLost();
      this.next = page.next;
      this.options.handleAnswer();
    }
  }

  private recordAvailability(isAvailable: boolean, detail: string): void {
    if (isAvailable) this.backoff.reset();
    if (isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    this.options.handleAvailability(isAvailable, detail);
  }
}
