/**
 * Appends records to the platform log. A lost response never leads to a
 * duplicate record, and a writer that loses a race gets that outcome.
 */
import {Backoff} from '../protocol/backoff.js';
import type {PlatformLog} from '../protocol/platform-log.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import type {LogRecord} from '../protocol/records.js';
import {RecordOutcome} from '../state/replicated-state.js';
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

const APPEND_TIMEOUT_MS = 10_000;
const FOLD_TIMEOUT_MS = 5000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 500;

/** Dependencies and settings of a record publisher. */
export interface PublisherOptions {
  readonly log: PlatformLog;
  readonly state: StateStore;
  /** Timeout for getting one record into the log, retries included. */
  readonly appendTimeoutMs?: number;
}

/** Creates the function that appends records for this process. */
export function createRecordPublisher(options: PublisherOptions): AppendRecord {
  return async record => {
    const {
      log,
      state,
      appendTimeoutMs: timeoutMs = APPEND_TIMEOUT_MS,
    } = options;
    const searchFrom = state.current.nextOffset;
    const logged = await log.append(record, searchFrom, timeoutMs);
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
  const timeout = AbortSignal.timeout(FOLD_TIMEOUT_MS);
  const backoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, Math.random);
  for (;;) {
    const outcome = state.findOutcome(recordId);
    if (outcome) return outcome;
    if (timeout.aborted) break;
    try {
      await readToTail(log, state, timeout);
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      await backoff.wait(timeout);
    }
  }
  throw new LogUnavailableError(
    `record ${recordId} was appended but not read back in ${FOLD_TIMEOUT_MS} ms`,
    true,
  );
}
