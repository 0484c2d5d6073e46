/**
 * Queue that is fair between callers: deficit round robin over one sub-queue
 * per caller, since in one common queue the caller that sends most would make
 * all others wait. A caller that had nothing waiting is served before those
 * with a backlog. When the queue is full, the newest item of the longest
 * sub-queue makes room.
 */

/** Deficit that a sub-queue gains per turn, in mean request costs. */
const QUANTUM = 1;

interface Item<T> {
  readonly value: T;
  readonly cost: number;
}

interface SubQueue<T> {
  readonly caller: string;
  readonly items: Array<Item<T>>;
  deficit: number;
  /** Whether it stands among the sub-queues that lately became active. */
  isFresh: boolean;
}

/** Items of several callers. */
export class CallerQueue<T> {
  private readonly subQueues = new Map<string, SubQueue<T>>();
  private readonly fresh: Array<SubQueue<T>> = [];
  private readonly backlogged: Array<SubQueue<T>> = [];
  private size = 0;

  /** Number of items. */
  get length(): number {
    return this.size;
  }

  /** Number of callers that have something waiting. */
  countCallers(): number {
    let count = 0;
    for (const {items} of this.subQueues.values()) {
      if (items.length > 0) count += 1;
    }
    return count;
  }

  /** Number of items of one caller. */
  count(caller: string): number {
    return this.subQueues.get(caller)?.items.length ?? 0;
  }

  /** Appends an item to its caller's sub-queue. */
  append(caller: string, value: T, cost = 1): void {
    let subQueue = this.subQueues.get(caller);
    if (!subQueue) {
      subQueue = {caller, items: [], deficit: QUANTUM, isFresh: true};
      this.subQueues.set(caller, subQueue);
      this.fresh.push(subQueue);
    }
    subQueue.items.push({value, cost});
    this.size += 1;
  }

  /** Takes the item whose turn it is. */
  take(): T | undefined {
    while (this.size > 0) {
      const subQueue = (this.fresh[0] ?? this.backlogged[0])!;
      const head = subQueue.items[0];
      if (!head) {
        this.leaveTurn(subQueue);
      } else if (subQueue.deficit < head.cost) {
        subQueue.deficit += QUANTUM;
        this.endTurn(subQueue);
      } else {
        subQueue.items.shift();
        subQueue.deficit -= head.cost;
        this.countLeft();
        return head.value;
      }
    }
    return undefined;
  }

  /**
   * Takes the newest item of the longest sub-queue to make room for a caller;
   * undefined when no sub-queue is longer than the caller's would become.
   */
  takeForRoom(caller: string): T | undefined {
    let longest: SubQueue<T> | undefined;
    for (const subQueue of this.subQueues.values()) {
      const length = longest?.items.length ?? this.count(caller) + 1;
      if (subQueue.items.length > length) longest = subQueue;
    }
    const item = longest?.items.pop();
    if (item) this.countLeft();
    return item?.value;
  }

  /** Removes one item; false when it isn't here. */
  remove(caller: string, value: T): boolean {
    const items = this.subQueues.get(caller)?.items;
    const index = items?.findIndex(item => item.value === value) ?? -1;
    if (!items || index < 0) return false;
    items.splice(index, 1);
    this.countLeft();
    return true;
  }

  /** All items, by caller. */
  list(): T[] {
    return [...this.subQueues.values()].flatMap(({items}) =>
      items.map(item => item.value),
    );
  }

  /** Counts an item that left; no turn is owed once nothing waits. */
  private countLeft(): void {
    this.size -= 1;
    if (this.size > 0) return;
    this.subQueues.clear();
    this.fresh.length = 0;
    this.backlogged.length = 0;
  }

  /** An empty sub-queue keeps its place for one round of the others. */
  private leaveTurn(subQueue: SubQueue<T>): void {
    if (subQueue.isFresh) {
      this.endTurn(subQueue);
      return;
    }
    this.backlogged.shift();
    this.subQueues.delete(subQueue.caller);
  }

  private endTurn(subQueue: SubQueue<T>): void {
    if (subQueue.isFresh) this.fresh.shift();
    else this.backlogged.shift();
    subQueue.isFresh = false;
    this.backlogged.push(subQueue);
  }
}
