/**
 * What the system asks of the platform's append-only log. The transport calls
 * it; coordination and the operators' command know only this interface.
 */
import type {LoggedRecord, LogRecord} from './records.js';

/** Part of the log, as one read returns it. */
export interface LogPage {
  readonly records: readonly LoggedRecord[];
  /** Offset of the oldest record still kept. */
  readonly firstOffset: number;
  /** Offset that the next appended record will get. */
  readonly nextOffset: number;
}

/** The log did not take or answer a call in time. */
export class LogUnavailableError extends Error {
  constructor(
    detail: string,
    /** Whether an append may have taken effect all the same. */
    readonly mayHaveTakenEffect = false,
  ) {
    super(`platform log unavailable: ${detail}`);
    this.name = 'LogUnavailableError';
  }
}

/** The platform's log. */
export interface PlatformLog {
  /**
   * Reads from an offset and waits up to `waitMs` for a record when there is
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
   * Appends a record and resolves with its offset. After an attempt of unknown
   * outcome the record is looked for by its id, from `searchFrom` on, before
   * the append is repeated.
   *
   * @throws LogUnavailableError when it is not known to be in the log in time.
   */
  append(
    record: LogRecord,
    searchFrom: number,
    limitMs: number,
  ): Promise<LoggedRecord>;
}
