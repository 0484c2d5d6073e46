/**
 * Follows the platform log: one task long-polls from the next offset and folds
 * the records that it reads. While the log is unavailable the task backs off;
 * the relay between nodes works without the log.
 */
import {Backoff} from '../protocol/backoff.js';
import type {LogPage, PlatformLog} from '../protocol/platform-log.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import {findSnapshot} from '../state/snapshot.js';
import type {StateStore} from '../state/state-store.js';

const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;

/** Dependencies and settings of a log follower. */
export interface LogFollowerOptions {
  readonly log: PlatformLog;
  readonly state: StateStore;
  /** Long-poll timeout of one read, in milliseconds. */
  readonly pollWaitMs: number;
  readonly random: () => number;
  /** Called when the log becomes unavailable or available again. */
  handleAvailability(isAvailable: boolean, detail: string): void;
  /**
   * Called with the first retained offset when records expired before this
   * node read them and the log holds no usable snapshot.
   */
  handleGap(firstOffset: number): void;
}

/** Keeps the state of one node up to date with the log. */
export class LogFollower {
  private readonly abort = new AbortController();
  private readonly backoff;
  private isAvailable = true;
  private running: Promise<void> | undefined;

  constructor(private readonly options: LogFollowerOptions) {
    this.backoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, options.random);
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
    const gapEnd = await recoverFromGap(log, state, signal);
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
 * Reads and folds records until a read returns none that is new.
 *
 * @throws LogUnavailableError, also when records expired and the log holds no
 * usable snapshot.
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
    const gapEnd = await recoverFromGap(log, state, signal);
    if (gapEnd !== undefined) {
      throw new LogUnavailableError(
        `records ${before} to ${gapEnd - 1} expired and there is no usable snapshot`,
      );
    }
  }
}

/** Reads and folds one page; returns false when the next records expired. */
async function readPage(
  log: PlatformLog,
  state: StateStore,
  waitMs: number,
  signal: AbortSignal,
): Promise<boolean> {
  const requestedAt = performance.now();
  const fromOffset = state.current.nextOffset;
  const page = await log.read(fromOffset, waitMs, signal);
  if (page.nextOffset < fromOffset) {
    throw new LogUnavailableError(
      `the log ends at offset ${page.nextOffset}, but this node has folded up to ${fromOffset}`,
    );
  }
  if (page.firstOffset > state.current.nextOffset) return false;
  state.applyRecords(page.records);
  if (state.current.nextOffset >= page.nextOffset) {
    // Measured from the request, so that a process that was frozen during the
    // read does not take its state for fresh.
    state.recordLogConfirmation(performance.now() - requestedAt);
  }
  return true;
}

/**
 * Applies a snapshot from the log when the next records have expired.
 *
 * @returns the first retained offset when there is no usable snapshot,
 * undefined when reading can continue.
 */
async function recoverFromGap(
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
