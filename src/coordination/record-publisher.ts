/**
 * Appending records to the platform log so that a lost answer never doubles a
 * record and a lost race is told to the writer.
 */
import type {LogRecord} from '../protocol/records.js';

/** What became of an appended record. */
export const AppendOutcome = {
  /** In the log and accepted by the fold. */
  ACCEPTED: 'accepted',
  /** In the log, but an earlier record took its place. */
  SUPERSEDED: 'superseded',
} as const;

export type AppendOutcome = (typeof AppendOutcome)[keyof typeof AppendOutcome];

/** The log could not be reached, and the record is not known to be in it. */
export class LogUnavailableError extends Error {
  constructor(detail: string) {
    super(`platform log unavailable: ${detail}`);
    this.name = 'LogUnavailableError';
  }
}

/**
 * Appends a record and waits until this node has folded it.
 *
 * @throws LogUnavailableError when the log did not take it in time.
 */
export type AppendRecord = (record: LogRecord) => Promise<AppendOutcome>;
