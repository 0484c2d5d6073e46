/**
 * Requests that wait at one worker, most important first and, among equals,
 * those that are due first. It is short, so a sorted list serves.
 */

/** What the order depends on. */
export interface RankedItem {
  /** Importance; 0 is the highest. */
  readonly rank: number;
  /** Time by which it is due. */
  readonly dueAt: number;
}

/** Waiting items in the order in which they are served. */
export class RankQueue<T extends RankedItem> {
  private readonly items: T[] = [];

  get length(): number {
    return this.items.length;
  }

  /** Items in order; the list is live and may not be changed. */
  list(): readonly T[] {
    return this.items;
  }

  /** Items that would be served before this one. */
  countAhead(item: RankedItem): number {
    let index = this.items.length;
    while (index > 0 && isBefore(item, this.items[index - 1]!)) index -= 1;
    return index;
  }

  /** Adds an item at its place. */
  add(item: T): void {
    this.items.splice(this.countAhead(item), 0, item);
  }

  /** Takes the next item. */
  take(): T | undefined {
    return this.items.shift();
  }

  /** Removes an item; false when it no longer waits. */
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
