/**
 * The newest record of each key of a topic, as known to one node. Records
 * arrive from the store and from other nodes, possibly late and in any order.
 * Only their positions decide which one is newer, so a record is never replaced
 * by an older one. A store that comes back from an older copy begins an era and
 * gives offsets out again; so positions compare by era first. It lists what
 * writers wrote again, but may not yet list all that it lost: records of
 * earlier eras are kept for a while unless the store holds newer ones.
 */
import Emittery from 'emittery';
import type {RecordPosition} from '../protocol/record-position.js';
import {comparePositions} from '../protocol/record-position.js';

/** One record of a keyed topic. */
export interface KeyedRecord extends RecordPosition {
  readonly key: string;
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
  /** Keys whose value changed or was written again in a later era. */
  changed: readonly string[];
  /** A record was not applied because a newer one of its key is known. */
  outdated: {readonly record: KeyedRecord; readonly known: KeyedRecord};
  /** The store was restored; the end known before and the one afterwards. */
  restored: {readonly from: RecordPosition; readonly to: RecordPosition};
}

/** Time for writers to write again what a restored store has lost. */
const REWRITE_TIME_MS = 20_000;
const START: RecordPosition = {era: 0, offset: 0};

/** Records of one topic. */
export class KeyedRecords {
  readonly events = new Emittery<KeyedRecordsEvents>();
  private readonly byKey = new Map<string, KeyedRecord>();
  private known: RecordPosition | undefined;
  private restoredAt = -Infinity;

  /** @param now monotonic time in milliseconds */
  constructor(private readonly now = () => performance.now()) {}

  /** Returns the position before which all records are known. */
  get end(): RecordPosition {
    return this.known ?? START;
  }

  /** Returns the newest record of a key, or undefined if there is none. */
  find(key: string): KeyedRecord | undefined {
    return this.byKey.get(key);
  }

  /** Lists the newest records of all keys, including deleted keys. */
  list(): KeyedRecord[] {
    return [...this.byKey.values()];
  }

  /** Lists the newest records that are at a position or after it. */
  listSince(position: RecordPosition): KeyedRecord[] {
    return this.list().filter(
      record => comparePositions(record, position) >= 0,
    );
  }

  /**
   * Applies a snapshot. Known keys that are missing from it were deleted before
   * its end, unless their known record is newer or of an earlier era.
   */
  applySnapshot({records, end}: KeyedSnapshot): void {
    const listed = new Set(records.map(({key}) => key));
    const dropped = this.list()
      .filter(({key, era, offset, value}) => {
        const isBeforeEnd = era === end.era && offset < end.offset;
        return value !== undefined && !listed.has(key) && isBeforeEnd;
      })
      .map(({key}) => ({key, era: end.era, offset: end.offset - 1}));
    this.applyRecords([...records, ...dropped], end);
  }

  /**
   * Applies records in any order; all records before `end` are known
   * afterwards.
   */
  applyRecords(records: readonly KeyedRecord[], end: RecordPosition): void {
    this.recordEnd(end);
    const changed: string[] = [];
    for (const record of records) {
      const known = this.byKey.get(record.key);
      if (record.era < this.end.era) continue;
      if (known && comparePositions(known, record) >= 0) {
        if (known.value !== record.value) {
          void this.events.emit('outdated', {record, known});
        }
        continue;
      }
      this.byKey.set(record.key, record);
      const isSame = known?.value === record.value && known?.era === record.era;
      if (!isSame) changed.push(record.key);
    }
    if (changed.length > 0) void this.events.emit('changed', changed);
  }

  /**
   * Drops what writers have not written again since the store was restored.
   * Called when the store is known to have no further records.
   */
  expireLost(): void {
    if (this.now() - this.restoredAt < REWRITE_TIME_MS) return;
    const lost = this.list().filter(({era}) => era < this.end.era);
    for (const {key} of lost) this.byKey.delete(key);
    const changed = lost.filter(({value}) => value !== undefined);
    if (changed.length === 0) return;
    void this.events.emit(
      'changed',
      changed.map(({key}) => key),
    );
  }

  private recordEnd(end: RecordPosition): void {
    const {known: from} = this;
    if (from && comparePositions(from, end) >= 0) return;
    this.known = end;
    if (!from || from.era === end.era) return;
    this.restoredAt = this.now();
    void this.events.emit('restored', {from, to: end});
  }
}
