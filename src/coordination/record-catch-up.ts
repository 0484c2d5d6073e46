/**
 * Requests operators' records from another node that has later ones. The store
 * usually delivers them to all nodes that poll it at about the same time, so
 * such a node waits for it before it asks.
 */
import type {RecordPosition} from '../protocol/record-position.js';
import {comparePositions} from '../protocol/record-position.js';
import type {KeyedRecords} from '../state/keyed-records.js';

/** Time within which the store usually delivers a new record to all polls. */
const STORE_PROPAGATION_MS = 250;
/** Time over which nodes that don't poll spread their requests. */
const REQUEST_SPREAD_MS = 60;

/** Dependencies of the catch-up of a node. */
export interface RecordCatchUpOptions {
  readonly records: KeyedRecords;
  /** Whether this node polls the store itself. */
  readonly freshness: {readonly isPolling: boolean};
  readonly random: () => number;
  /** Called when another node has later records. */
  readonly handleLaterRecords: () => void;
  /** Writes a log line with its context. */
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

/** Catches up with the records of other nodes. */
export class RecordCatchUp {
  private timer: NodeJS.Timeout | undefined;
  private isRequesting = false;

  constructor(private readonly options: RecordCatchUpOptions) {}

  /** Whether the next update to another node is to request records. */
  get wantsRecords(): boolean {
    return this.isRequesting;
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  /**
   * Schedules a request if another node still has later records after a while.
   *
   * @param recordsEnd end of the records of the other node.
   * @param request exchanges updates with the other node.
   */
  schedule(
    nodeId: string,
    recordsEnd: RecordPosition,
    request: () => Promise<void>,
  ): void {
    const {records, freshness, random, handleLaterRecords, report} =
      this.options;
    const isLater = (): boolean =>
      comparePositions(recordsEnd, records.end) > 0;
    if (!isLater() || this.timer) return;
    const delayMs = freshness.isPolling
      ? STORE_PROPAGATION_MS
      : random() * REQUEST_SPREAD_MS;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      if (!isLater()) return;
      report('another node has later records', {
        nodeId,
        era: recordsEnd.era,
        end: recordsEnd.offset,
        knownEra: records.end.era,
        knownEnd: records.end.offset,
      });
      handleLaterRecords();
      this.isRequesting = true;
      void request().then(() => (this.isRequesting = false));
    }, delayMs);
  }
}
