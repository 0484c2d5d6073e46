/**
 * Appends records to the platform log. A lost response never leads to a
 * duplicate record, and a writer that loses a race gets that outcome.
 */
import {Backoff} from '../protocol/backoff.js';
import type {PlatformLog} from '../protocol/platform-log.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import type {LogRecord} from '../protocol/records.js';
import {RecordOutcome} from '../state/folded-state.js';
import type {StateStore} from '../state/state-store.js';
import {readToTail} from './log-follower.js';

/** Outcome of an appended record. */
export const AppendOutcome = RecordOutcome;

export type AppendOutcome = RecordOutcome;

export {LogUnavailableError} from '../protocol/platform-log.js';

/**
 * Appends a record and waits until this node has folded it.
 *
 * @throws LogUnavailableError when the log did not accept the record in time,
 * or this node could not read it back in time.
 */
export type AppendRecord = (record: LogRecord) => Promise<AppendOutcome>;

const APPEND_LIMIT_MS = 10_000;
const FOLD_LIMIT_MS = 5000;
const LEAST_BACKOFF_MS = 50;
const MOST_BACKOFF_MS = 500;

/** Dependencies and settings of a record publisher. */
export interface PublisherOptions {
  readonly log: PlatformLog;
  readonly state: StateStore;
  /** Timeout for getting one record into the log, retries included. */
  readonly appendLimitMs?: number;
}

/** Creates the function that appends records for this process. */
export function createRecordPublisher(options: PublisherOptions): AppendRecord {
  return async record => {
    const {log, state, appendLimitMs = APPEND_LIMIT_MS} = options;
    const searchFrom = state.current.nextOffset;
    const logged = await log.append(record, searchFrom, appendLimitMs);
    // Folds the record at once if no other record precedes it, because the log
    // may become unavailable before the record can be read back.
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
  throw new LogUnavailableError(
    `record ${recordId} was appended but not read back in ${FOLD_LIMIT_MS} ms`,
    true,
  );
}
