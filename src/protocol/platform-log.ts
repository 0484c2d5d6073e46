/**
 * Interface of the platform's append-only log. The transport implements it;
 * coordination and the operators' command depend on this interface only.
 */
import type {LoggedRecord, LogRecord} from './records.js';

/** A page of the log, as returned by one read. */
export interface LogPage {
  readonly records: readonly LoggedRecord[];
  /** Offset of the oldest record that the log still holds. */
  readonly firstOffset: number;
  /** Offset that the next appended record will get. */
  readonly nextOffset: number;
}

/** Thrown when the log did not accept or answer a call in time. */
export class LogUnavailableError extends Error {
  constructor(
    detail: string,
    /** Whether an append may have taken effect nevertheless. */
    readonly mayHaveTakenEffect = false,
  ) {
    super(`platform log unavailable: ${detail}`);
    this.name = 'LogUnavailableError';
  }
}

/** The platform's log. */
export interface PlatformLog {
  /**
   * Reads records from an offset on; waits up to `waitMs` for one when there is
   * none yet.
   *
   * @throws LogUnavailableError
   */
  read(
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<LogPage>;

  /**
   * Appends a record and resolves with the record and its offset. After an
   * attempt with unknown outcome the log is searched for the record's id, from
   * `searchFrom` on, before the append is repeated.
   *
   * @throws LogUnavailableError when the append is not confirmed in time.
   */
  append(
    record: LogRecord,
    searchFrom: number,
    timeoutMs: number,
  ): Promise<LoggedRecord>;
}
