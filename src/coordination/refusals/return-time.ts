/**
 * Chooses the time after which a refused caller returns. After a burst, callers
 * that are all told the backlog of one gate return together and are refused
 * again, though there is capacity before and after. The times given here are
 * spread over the rate at which the workers finish.
 */

/** Length of a time slot. */
const SLOT_MS = 50;
/** Slots kept; they cover the longest wait that callers accept by far. */
const SLOT_COUNT = 128;
/** Ranks counted apart; less urgent ones count as the last. */
const RANK_COUNT = 4;
/**
 * Fraction of this entry's share of the workers' rate that returns may take.
 * New requests continue to arrive and need the rest.
 */
const RETURN_FRACTION = 0.5;
/** Shortest time, so that a caller doesn't return within its own round trip. */
export const MIN_RETURN_MS = 5;
/**
 * Fraction of its remaining time that a caller waits at most: a third, less
 * what passes until the refusal reaches it.
 */
const MAX_WAIT_FRACTION = 0.32;

/** Inputs of one return time; times and durations in milliseconds. */
export interface ReturnInputs {
  readonly now: number;
  /** Remaining time for which the caller waits. */
  readonly remainingMs: number;
  /** Remaining time to the target; `Infinity` without one. */
  readonly targetMs: number;
  /** Time that an answer needs once the request is taken. */
  readonly serviceMs: number;
  /** Time after which the first return makes sense: that of the backlog. */
  readonly earliestMs: number;
  /** Requests per millisecond that the workers finish for this entry. */
  readonly ratePerMs: number;
  readonly rank: number;
}

/** Return times given for one service. */
export class ReturnTimes {
  /** Return times given, by slot and rank. */
  private readonly counts = new Uint16Array(SLOT_COUNT * RANK_COUNT);
  /** Number of the slot that each entry of the table holds now. */
  private readonly slots = new Float64Array(SLOT_COUNT).fill(-1);
  /** Whether the last time chosen was within the expected room. */
  isWithinRoom = false;

  /** Copies the times given, so that one can be chosen without change. */
  copy(): ReturnTimes {
    const copy = new ReturnTimes();
    copy.counts.set(this.counts);
    copy.slots.set(this.slots);
    return copy;
  }

  /**
   * Returns the delay in milliseconds after which a caller should return;
   * undefined when none is useful.
   */
  choose(inputs: ReturnInputs, random: () => number): number | undefined {
    const {now, remainingMs, serviceMs, earliestMs, targetMs} = inputs;
    this.isWithinRoom = false;
    const mostMs = remainingMs * MAX_WAIT_FRACTION;
    if (!(mostMs > 0)) return undefined;
    const leastMs = Math.min(Math.max(MIN_RETURN_MS, earliestMs), mostMs);
    const limitMs = Math.min(mostMs, remainingMs - serviceMs);
    // No return is in time; the caller gives up unless told some time.
    if (limitMs < leastMs) return leastMs;
    // Where its target can still be met, a later return is of little use.
    const inTimeMs = targetMs - serviceMs;
    const latestMs =
      inTimeMs >= leastMs ? Math.min(limitMs, inTimeMs) : limitMs;
    const slot = this.findSlot(inputs, now + leastMs, now + latestMs);
    if (slot === undefined) return leastMs + random() * (latestMs - leastMs);
    this.isWithinRoom = true;
    const delayMs = (slot + random()) * SLOT_MS - now;
    return Math.min(latestMs, Math.max(leastMs, delayMs));
  }

  /** Counts a caller as told to return at a time. */
  record(at: number, rank: number): void {
    const slot = Math.floor(at / SLOT_MS);
    const index = slot % SLOT_COUNT;
    const first = index * RANK_COUNT;
    if (this.slots[index] !== slot) {
      this.slots[index] = slot;
      this.counts.fill(0, first, first + RANK_COUNT);
    }
    this.counts[first + Math.min(rank, RANK_COUNT - 1)]! += 1;
  }

  /** Returns the first slot with room for one more; undefined if none has. */
  private findSlot(
    {ratePerMs, rank}: ReturnInputs,
    from: number,
    until: number,
  ): number | undefined {
    const roomPerSlot = ratePerMs * SLOT_MS * RETURN_FRACTION;
    const firstSlot = Math.floor(from / SLOT_MS);
    const lastSlot = Math.min(
      Math.floor(until / SLOT_MS),
      firstSlot + SLOT_COUNT - 1,
    );
    let room = 0;
    let promised = 0;
    for (let slot = firstSlot; slot <= lastSlot; slot++) {
      room += roomPerSlot;
      promised += this.count(slot, rank);
      if (promised < room) return slot;
    }
    return undefined;
  }

  /** Counts the returns in a slot that are as urgent as a rank or more. */
  private count(slot: number, rank: number): number {
    const index = slot % SLOT_COUNT;
    if (this.slots[index] !== slot) return 0;
    let count = 0;
    for (let other = 0; other <= Math.min(rank, RANK_COUNT - 1); other++) {
      count += this.counts[index * RANK_COUNT + other]!;
    }
    return count;
  }
}
