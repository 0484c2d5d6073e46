/**
 * The newest record of each key of a topic, as one node knows it. Records come
 * from the store and from other nodes, late and in any order; the offset alone
 * decides, so that a node never goes back to an older one.
 */
import Emittery from 'emittery';

/** One record of a topic of keys. */
export interface KeyedRecord {
  readonly key: string;
  readonly offset: number;
  /** Undefined when the key was dropped. */
  readonly value?: string;
}

/** The newest record of each key, with the topic's end when it was read. */
export interface KeyedSnapshot {
  readonly records: readonly KeyedRecord[];
  /** Offset that the next record will get. */
  readonly end: number;
}

interface KeyedRecordsEvents {
  /** Keys whose record changed. */
  changed: readonly string[];
}

/** Records of one topic. */
export class KeyedRecords {
  readonly events = new Emittery<KeyedRecordsEvents>();
  private readonly byKey = new Map<string, KeyedRecord>();
  private known = 0;

  /** Offset up to which everything is known. */
  get end(): number {
    return this.known;
  }

  /** The newest record of a key; undefined when it was never seen. */
  find(key: string): KeyedRecord | undefined {
    return this.byKey.get(key);
  }

  /** All records, dropped keys included. */
  list(): KeyedRecord[] {
    return [...this.byKey.values()];
  }

  /**
   * Takes over a snapshot. Keys that it lacks were dropped before its end,
   * unless what is known of them is newer.
   */
  applySnapshot({records, end}: KeyedSnapshot): void {
    const listed = new Set(records.map(({key}) => key));
    const dropped = this.list()
      .filter(({key, offset, value}) => {
        return value !== undefined && !listed.has(key) && offset < end;
      })
      .map(({key}) => ({key, offset: end - 1}));
    this.applyRecords([...records, ...dropped], end);
  }

  /** Takes over records in any order, known up to an offset when given. */
  applyRecords(records: readonly KeyedRecord[], end?: number): void {
    const changed: string[] = [];
    for (const record of records) {
      const known = this.byKey.get(record.key);
      if (known && known.offset >= record.offset) continue;
      this.byKey.set(record.key, record);
      if (known?.value !== record.value) changed.push(record.key);
    }
    this.known = Math.max(this.known, end ?? 0);
    if (changed.length > 0) void this.events.emit('changed', changed);
  }
}
