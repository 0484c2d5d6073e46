/**
 * Positions of records in a topic of the platform's store. A store that comes
 * back from an older copy begins an era and gives offsets out again, so which
 * of two offsets is later can't be told without their eras.
 */

/** Place of a record, or of the end, in a topic. */
export interface RecordPosition {
  /** Number of times that the store was restored from an older copy. */
  readonly era: number;
  readonly offset: number;
}

/** Compares two positions; the result is positive when the first is later. */
export function comparePositions(
  one: RecordPosition,
  other: RecordPosition,
): number {
  return one.era - other.era || one.offset - other.offset;
}
