/**
 * Queue that is fair between callers: deficit round robin over one sub-queue
 * per caller, since in one common queue the caller that sends most would make
 * all others wait. A newly active caller is served before those with a
 * backlog. When the queue is full, the newest item of the longest sub-queue
 * can be evicted.
 */

/** Deficit that a sub-queue gains per turn, in units of the mean cost. */
const QUANTUM = 1;

interface Item<T> {
  readonly value: T;
  readonly cost: number;
}

interface SubQueue<T> {
  readonly caller: string;
  readonly items: Array<Item<T>>;
  deficit: number;
  /** Whether it is in the list of newly active sub-queues. */
  isNewlyActive: boolean;
}

/** Queue of the items of several callers. */
export class CallerQueue<T> {
  private readonly subQueues = new Map<string, SubQueue<T>>();
  private readonly newlyActive: Array<SubQueue<T>> = [];
  private readonly backlogged: Array<SubQueue<T>> = [];
  private size = 0;

  /** Number of items. */
  get length(): number {
    return this.size;
  }

  /** Returns the number of callers with queued items. */
  countCallers(): number {
    let count = 0;
    for (const {items} of this.subQueues.values()) {
      if (items.length > 0) count += 1;
    }
    return count;
  }

  /** Returns the number of items of one caller. */
  count(caller: string): number {
    return this.subQueues.get(caller)?.items.length ?? 0;
  }

  /** Appends an item to its caller's sub-queue. */
  append(caller: string, value: T, cost = 1): void {
    let subQueue = this.subQueues.get(caller);
    if (!subQueue) {
      subQueue = {caller, items: [], deficit: QUANTUM, isNewlyActive: true};
      this.subQueues.set(caller, subQueue);
      this.newlyActive.push(subQueue);
    }
    subQueue.items.push({value, cost});
    this.size += 1;
  }

  /** Removes and returns the next item in round-robin order. */
  take(): T | undefined {
    while (this.size > 0) {
      const subQueue = (this.newlyActive[0] ?? this.backlogged[0])!;
      const head = subQueue.items[0];
      if (!head) {
        this.handleEmpty(subQueue);
      } else if (subQueue.deficit < head.cost) {
        subQueue.deficit += QUANTUM;
        this.endTurn(subQueue);
      } else {
        subQueue.items.shift();
        subQueue.deficit -= head.cost;
        this.handleRemoved();
        return head.value;
      }
    }
    return undefined;
  }

  /**
   * Removes and returns the newest item of the longest sub-queue to make room
   * for an item of the caller. Returns undefined when no sub-queue is longer
   * than the caller's would become.
   */
  removeFromLongest(caller: string): T | undefined {
    let longest: SubQueue<T> | undefined;
    for (const subQueue of this.subQueues.values()) {
      const length = longest?.items.length ?? this.count(caller) + 1;
      if (subQueue.items.length > length) longest = subQueue;
    }
    const item = longest?.items.pop();
    if (item) this.handleRemoved();
    return item?.value;
  }

  /** Removes one item; returns false if it isn't in the queue. */
  remove(caller: string, value: T): boolean {
    const items = this.subQueues.get(caller)?.items;
    const index = items?.findIndex(item => item.value === value) ?? -1;
    if (!items || index < 0) return false;
    items.splice(index, 1);
    this.handleRemoved();
    return true;
  }

  /** Returns all items, grouped by caller. */
  list(): T[] {
    return [...this.subQueues.values()].flatMap(({items}) =>
      items.map(item => item.value),
    );
  }

  /**
   * Accounts for a removed item. When the queue becomes empty, turns and
   * deficits are reset.
   */
  private handleRemoved(): void {
    this.size -= 1;
    if (this.size > 0) return;
    this.subQueues.clear();
    this.newlyActive.length = 0;
    this.backlogged.length = 0;
  }

  /**
   * Moves an empty sub-queue out of the newly active list, or removes it if it
   * was backlogged. It thus keeps its deficit for one round, so that a caller
   * can't gain priority by letting its sub-queue run empty.
   */
  private handleEmpty(subQueue: SubQueue<T>): void {
    if (subQueue.isNewlyActive) {
      this.endTurn(subQueue);
      return;
    }
    this.backlogged.shift();
    this.subQueues.delete(subQueue.caller);
  }

  private endTurn(subQueue: SubQueue<T>): void {
    if (subQueue.isNewlyActive) this.newlyActive.shift();
    else this.backlogged.shift();
    subQueue.isNewlyActive = false;
    this.backlogged.push(subQueue);
  }
}
