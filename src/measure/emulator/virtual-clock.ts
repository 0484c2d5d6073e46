/**
 * A virtual clock for emulations: time jumps from event to event, in the same
 * order in each run.
 */
import type {RankedItem} from '../../coordination/admission/rank-queue.js';
import {RankQueue} from '../../coordination/admission/rank-queue.js';
import type {TimerId, Timers} from '../../protocol/timers.js';

interface TimedEvent extends RankedItem {
  readonly id: number;
  readonly handle: () => void;
}

/** All events have the same rank and are ordered by their time. */
const RANK = 0;

/** A clock whose time advances to the next scheduled event. */
export class VirtualClock {
  private readonly queue = new RankQueue<TimedEvent>();
  private readonly waiting = new Map<TimerId, TimedEvent>();
  private count = 0;
  /** Milliseconds since the creation of the clock. */
  nowMs = 0;

  readonly timers: Timers = {
    set: (handler, delayMs) => this.schedule(handler, delayMs),
    clear: timer => this.cancel(timer),
  };

  /** Calls the handler after a delay. */
  schedule(handle: () => void, delayMs: number): TimerId {
    this.count += 1;
    const dueAt = this.nowMs + Math.max(0, delayMs);
    const event = {id: this.count, rank: RANK, dueAt, handle};
    this.queue.add(event);
    this.waiting.set(event.id, event);
    return event.id;
  }

  /** Handles all events that are due up to a time, in order of time. */
  async run(untilMs: number): Promise<void> {
    for (;;) {
      const [first] = this.queue.list();
      if (!first || first.dueAt > untilMs) break;
      this.cancel(first.id);
      this.nowMs = first.dueAt;
      first.handle();
      // Runs all pending promise callbacks before time advances.
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
