/**
 * Appending records to the platform log so that a lost answer never doubles a
 * record and a lost race is told to the writer.
 */
import {Backoff} from '../protocol/backoff.js';
import type {PlatformLog} from '../protocol/platform-log.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import type {LogRecord} from '../protocol/records.js';
import {RecordOutcome} from '../state/folded-state.js';
import type {StateStore} from '../state/state-store.js';
import {readToTail} from './log-follower.js';

/** What became of an appended record. */
export const AppendOutcome = RecordOutcome;

export type AppendOutcome = RecordOutcome;

export {LogUnavailableError} from '../protocol/platform-log.js';

/**
 * Appends a record and waits until this node has folded it.
 *
 * @throws LogUnavailableError when the log did not take it in time.
 */
export type AppendRecord = (record: LogRecord) => Promise<AppendOutcome>;

const APPEND_LIMIT_MS = 10_000;
const FOLD_LIMIT_MS = 5000;
const LEAST_BACKOFF_MS = 50;
const MOST_BACKOFF_MS = 500;

/** What a publisher works with. */
export interface PublisherOptions {
  readonly log: PlatformLog;
  readonly state: StateStore;
  /** Longest time to get one record into the log. */
  readonly appendLimitMs?: number;
}

/** Creates the function that appends records for this process. */
export function createRecordPublisher(options: PublisherOptions): AppendRecord {
  return async record => {
    const {log, state, appendLimitMs = APPEND_LIMIT_MS} = options;
    const searchFrom = state.current.nextOffset;
    const logged = await log.append(record, searchFrom, appendLimitMs);
    // The record is folded at once when nothing lies between, because the log
    // may go away before it can be read back.
    state.applyRecords([logged]);
    return waitForOutcome(options, record.id);
  };
}

async function waitForOutcome(
  {log, state}: PublisherOptions,
  recordId: string,
): Promise<AppendOutcome> {
  const limit = AbortSignal.timeout(FOLD_LIMIT_MS);
  const backoff = new Backoff(LEAST_BACKOFF_MS, MOST_BACKOFF_MS, Math.random);
  for (;;) {
    const outcome = state.findOutcome(recordId);
    if (outcome) return outcome;
    if (limit.aborted) break;
    try {
      await readToTail(log, state, limit);
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      await backoff.wait(limit);
    }
  }
  throw new LogUnavailableError('appended, but not read back in time', true);
}
