/**
 * Queue of requests at one worker, ordered by rank and then by due time. The
 * queue is short, so a sorted array is fast enough.
 */

/** Item with the properties that determine its position. */
export interface RankedItem {
  /** Priority; items with a lower number are served first. */
  readonly rank: number;
  /** Time in milliseconds by which the item is due. */
  readonly dueAt: number;
}

/** Queued items in the order in which they are served. */
export class RankQueue<T extends RankedItem> {
  private readonly items: T[] = [];

  get length(): number {
    return this.items.length;
  }

  /** Returns the live list of items in order; it must not be modified. */
  list(): readonly T[] {
    return this.items;
  }

  /** Returns the number of items that would be served before this one. */
  countAhead(item: RankedItem): number {
    let index = this.items.length;
    while (index > 0 && isBefore(item, this.items[index - 1]!)) index -= 1;
    return index;
  }

  /** Inserts an item at its position. */
  add(item: T): void {
    this.items.splice(this.countAhead(item), 0, item);
  }

  /** Removes and returns the next item. */
  take(): T | undefined {
    return this.items.shift();
  }

  /** Removes an item; returns false if it is no longer queued. */
  remove(item: T): boolean {
    const index = this.items.indexOf(item);
    if (index < 0) return false;
    this.items.splice(index, 1);
    return true;
  }
}

function isBefore(one: RankedItem, other: RankedItem): boolean {
  if (one.rank !== other.rank) return one.rank < other.rank;
  return one.dueAt < other.dueAt;
}
