/**
 * Time that passes only as fast as the events of an emulation, and the same
 * way in each run.
 */
import type {RankedItem} from '../../coordination/rank-queue.js';
import {RankQueue} from '../../coordination/rank-queue.js';
import type {TimerId, Timers} from '../../protocol/timers.js';

interface TimedEvent extends RankedItem {
  readonly id: number;
  readonly handle: () => void;
}

/** Events differ in their time only. */
const RANK = 0;

/** A clock with timers. */
export class VirtualClock {
  private readonly queue = new RankQueue<TimedEvent>();
  private readonly waiting = new Map<TimerId, TimedEvent>();
  private count = 0;
  /** Milliseconds since the beginning. */
  nowMs = 0;

  readonly timers: Timers = {
    set: (handler, delayMs) => this.schedule(handler, delayMs),
    clear: timer => this.cancel(timer),
  };

  /** Calls back after some milliseconds. */
  schedule(handle: () => void, delayMs: number): TimerId {
    this.count += 1;
    const dueAt = this.nowMs + Math.max(0, delayMs);
    const event = {id: this.count, rank: RANK, dueAt, handle};
    this.queue.add(event);
    this.waiting.set(event.id, event);
    return event.id;
  }

  /** Lets time pass until nothing is left to happen before an end. */
  async run(untilMs: number): Promise<void> {
    for (;;) {
      const [first] = this.queue.list();
      if (!first || first.dueAt > untilMs) break;
      this.cancel(first.id);
      this.nowMs = first.dueAt;
      first.handle();
      // All that waits on promises goes on at the same moment.
      await new Promise(resolve => setImmediate(resolve));
    }
    this.nowMs = untilMs;
  }

  private cancel(timer: TimerId): void {
    const event = this.waiting.get(timer);
    if (!event) return;
    this.waiting.delete(timer);
    this.queue.remove(event);
  }
}
