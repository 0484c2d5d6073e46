/**
 * The newest record of each key of a topic, as known to one node. Records
 * arrive from the store and from other nodes, possibly late and in any order.
 * Only the offset decides which one is newer, so a record is never replaced by
 * an older one.
 */
import Emittery from 'emittery';

/** Place of a record, or of the end, in a topic. */
export interface RecordPosition {
  /** Number of times that the store was restored from an older copy. */
  readonly era: number;
  readonly offset: number;
}

/** One record of a keyed topic. */
export interface KeyedRecord {
  readonly key: string;
  readonly offset: number;
  /** Undefined when the key was deleted. */
  readonly value?: string;
}

/** The newest record of each key and the end of the topic at that time. */
export interface KeyedSnapshot {
  readonly records: readonly KeyedRecord[];
  /** Position that the next record will get. */
  readonly end: RecordPosition;
}

interface KeyedRecordsEvents {
  /** Keys whose value changed. */
  changed: readonly string[];
  /** A record was not applied because a newer one of its key is known. */
  outdated: {readonly record: KeyedRecord; readonly known: KeyedRecord};
}

/** Records of one topic. */
export class KeyedRecords {
  readonly events = new Emittery<KeyedRecordsEvents>();
  private readonly byKey = new Map<string, KeyedRecord>();
  private known = 0;

  /** Returns the offset before which all records are known. */
  get end(): number {
    return this.known;
  }

  /** Returns the newest record of a key, or undefined if there is none. */
  find(key: string): KeyedRecord | undefined {
    return this.byKey.get(key);
  }

  /** Lists the newest records of all keys, including deleted keys. */
  list(): KeyedRecord[] {
    return [...this.byKey.values()];
  }

  /**
   * Applies a snapshot. Known keys that are missing from it were deleted before
   * its end, unless their known record is newer.
   */
  applySnapshot({records, end}: KeyedSnapshot): void {
    const listed = new Set(records.map(({key}) => key));
    const dropped = this.list()
      .filter(({key, offset, value}) => {
        return value !== undefined && !listed.has(key) && offset < end.offset;
      })
      .map(({key}) => ({key, offset: end.offset - 1}));
    this.applyRecords([...records, ...dropped], end.offset);
  }

  /**
   * Applies records in any order. If `end` is given, all records before it are
   * known afterwards.
   */
  applyRecords(records: readonly KeyedRecord[], end?: number): void {
    const changed: string[] = [];
    for (const record of records) {
      const known = this.byKey.get(record.key);
      if (known && known.offset >= record.offset) {
        if (known.value !== record.value) {
          void this.events.emit('outdated', {record, known});
        }
        continue;
      }
      this.byKey.set(record.key, record);
      if (known?.value !== record.value) changed.push(record.key);
    }
    this.known = Math.max(this.known, end ?? 0);
    if (changed.length > 0) void this.events.emit('changed', changed);
  }
}
