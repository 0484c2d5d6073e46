/**
 * Follows the platform log: one task that reads from the next offset on, with
 * a long poll, and folds what it reads. While the log is away it backs off and
 * the relay between nodes carries on without it.
 */
import {Backoff} from '../protocol/backoff.js';
import type {LogPage, PlatformLog} from '../protocol/platform-log.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import {findSnapshot} from '../state/snapshot.js';
import type {StateStore} from '../state/state-store.js';

const LEAST_BACKOFF_MS = 50;
const MOST_BACKOFF_MS = 2000;

/** What a follower works with. */
export interface LogFollowerOptions {
  readonly log: PlatformLog;
  readonly state: StateStore;
  /** Longest wait of one read for a new record. */
  readonly pollWaitMs: number;
  readonly random: () => number;
  /** Told when the log stops or starts answering. */
  handleAvailability(isAvailable: boolean, detail: string): void;
  /** Told when records expired before this node read them. */
  handleGap(firstOffset: number): void;
}

/** Follows the log for one node. */
export class LogFollower {
  private readonly abort = new AbortController();
  private readonly backoff;
  private isAvailable = true;
  private running: Promise<void> | undefined;

  constructor(private readonly options: LogFollowerOptions) {
    this.backoff = new Backoff(
      LEAST_BACKOFF_MS,
      MOST_BACKOFF_MS,
      options.random,
    );
  }

  /** Starts the task that reads the log. */
  start(): void {
    this.running ??= this.run();
  }

  /** Stops the task and waits for its end. */
  async stop(): Promise<void> {
    this.abort.abort();
    await this.running;
  }

  private async run(): Promise<void> {
    const {signal} = this.abort;
    while (!signal.aborted) {
      try {
        await this.readNext(signal);
        this.recordAvailability(true, '');
        this.backoff.reset();
      } catch (error) {
        if (signal.aborted) return;
        this.recordAvailability(false, String(error));
        await this.backoff.wait(signal);
      }
    }
  }

  private async readNext(signal: AbortSignal): Promise<void> {
    const {log, state, pollWaitMs} = this.options;
    if (await readPage(log, state, pollWaitMs, signal)) return;
    const gapEnd = await closeGap(log, state, signal);
    if (gapEnd === undefined) return;
    this.options.handleGap(gapEnd);
    await this.backoff.wait(signal);
  }

  private recordAvailability(isAvailable: boolean, detail: string): void {
    if (isAvailable === this.isAvailable) return;
    this.isAvailable = isAvailable;
    this.options.handleAvailability(isAvailable, detail);
  }
}

/**
 * Reads and folds until the end of the log, as it was when asked.
 *
 * @throws LogUnavailableError, also when records expired and no snapshot is
 * there.
 */
export async function readToTail(
  log: PlatformLog,
  state: StateStore,
  signal: AbortSignal,
): Promise<void> {
  for (;;) {
    const before = state.current.nextOffset;
    const isRead = await readPage(log, state, 0, signal);
    if (isRead && state.current.nextOffset === before) return;
    if (isRead) continue;
    const gapEnd = await closeGap(log, state, signal);
    if (gapEnd !== undefined) {
      throw new LogUnavailableError('records expired and no snapshot is there');
    }
  }
}

/** Reads and folds one page; false when records before it have expired. */
async function readPage(
  log: PlatformLog,
  state: StateStore,
  waitMs: number,
  signal: AbortSignal,
): Promise<boolean> {
  const askedAt = performance.now();
  const fromOffset = state.current.nextOffset;
  const page = await log.read(fromOffset, waitMs, signal);
  if (page.nextOffset < fromOffset) {
    throw new LogUnavailableError(
      `it ends at offset ${page.nextOffset}, before ${fromOffset} that was folded`,
    );
  }
  if (page.firstOffset > state.current.nextOffset) return false;
  state.applyRecords(page.records);
  if (state.current.nextOffset >= page.nextOffset) {
    // Counted from the question, so that a frozen reader cannot look fresh.
    state.recordLogConfirmation(performance.now() - askedAt);
  }
  return true;
}

/**
 * Goes on from the newest snapshot in the log when older records expired.
 *
 * @returns the first offset still kept when there is no usable snapshot.
 */
async function closeGap(
  log: PlatformLog,
  state: StateStore,
  signal: AbortSignal,
): Promise<number | undefined> {
  let offset = state.current.nextOffset;
  let page: LogPage;
  do {
    page = await log.read(offset, 0, signal);
    const snapshot = findSnapshot(page.records, page.firstOffset);
    if (snapshot && state.applySnapshot(snapshot)) return undefined;
    if (page.firstOffset <= state.current.nextOffset) return undefined;
    offset = (page.records.at(-1)?.offset ?? page.nextOffset) + 1;
  } while (page.records.length > 0 && offset < page.nextOffset);
  return page.firstOffset;
}
