/**
 * Time that passes only as fast as the events of an emulation, and the same
 * way in each run.
 */
import type {TimerId, Timers} from '../../protocol/timers.js';

interface TimedEvent {
  readonly at: number;
  readonly order: number;
  readonly handle: () => void;
}

/** A clock with timers. */
export class VirtualClock {
  private readonly heap: TimedEvent[] = [];
  private readonly cleared = new Set<number>();
  private count = 0;
  /** Milliseconds since the beginning. */
  nowMs = 0;

  readonly timers: Timers = {
    set: (handler, delayMs) => this.schedule(handler, delayMs),
    clear: timer => void this.cleared.add(Number(timer)),
  };

  /** Calls back after some milliseconds. */
  schedule(handle: () => void, delayMs: number): TimerId {
    this.count += 1;
    const at = this.nowMs + Math.max(0, delayMs);
    this.add({at, order: this.count, handle});
    return this.count;
  }

  /** Lets time pass until nothing is left to happen before an end. */
  async run(untilMs: number): Promise<void> {
    while (this.heap.length > 0 && this.heap[0]!.at <= untilMs) {
      const event = this.takeFirst();
      if (this.cleared.delete(event.order)) continue;
      this.nowMs = event.at;
      event.handle();
      // All that waits on promises goes on at the same moment.
      await new Promise(resolve => setImmediate(resolve));
    }
    this.nowMs = untilMs;
  }

  private add(event: TimedEvent): void {
    const {heap} = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  private takeFirst(): TimedEvent {
    const {heap} = this;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= heap.length) break;
      const right = left + 1;
      const isRight =
        right < heap.length && isBefore(heap[right]!, heap[left]!);
      const child = isRight ? right : left;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(one: TimedEvent, other: TimedEvent): boolean {
  return one.at === other.at ? one.order < other.order : one.at < other.at;
}
