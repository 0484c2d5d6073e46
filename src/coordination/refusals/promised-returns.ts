/**
 * Recognizes refused requests that return, and prefers the one that keeps to
 * the time it was told. A returned request has a new id, so it is recognized
 * by its caller and fingerprint. Callers that return early or often would
 * otherwise take the room that others were told to wait for: each promise is
 * kept once, and repeated requests get none in addition.
 *
 * Ordinary callers may send equal requests. They are treated as new ones, apart
 * from the preference.
 */

/** How a request arrived in relation to earlier refusals of equal ones. */
export const Arrival = {
  NEW: 'new',
  /** At the promised time. */
  PROMISED: 'promised',
  /** Before the promised time. */
  EARLY: 'early',
  /** Before the promised time, and more often than equal requests may be. */
  REPEATED: 'repeated',
} as const;

export type Arrival = (typeof Arrival)[keyof typeof Arrival];

/** Promises kept; the oldest is evicted. */
const MAX_PROMISES = 1024;
/** Time before a promised one that counts as it; timers may fire early. */
const EARLY_TOLERANCE_MS = 5;
/** Time after a promised one within which a return over the network arrives. */
const LATE_TOLERANCE_MS = 200;
/** Time after a kept promise during which an equal request gets no other. */
const USED_RETENTION_MS = 2000;
/** Equal requests before the promised time that are treated as new ones. */
const MAX_EQUAL = 2;

interface PromisedReturn {
  readonly at: number;
  /** Whether a return at the promised time is preferred. */
  isOpen: boolean;
  /** Equal requests since. */
  equal: number;
  expiresAt: number;
}

/** Promised returns to one service. */
export class PromisedReturns {
  private readonly promises = new Map<string, PromisedReturn>();

  /** Number of promises kept. */
  get size(): number {
    return this.promises.size;
  }

  /** Copies the promises, so that a decision can be made without change. */
  copy(): PromisedReturns {
    const copy = new PromisedReturns();
    for (const [key, promised] of this.promises)
      copy.promises.set(key, {...promised});
    return copy;
  }

  /** Records the arrival of a request; a promise is used up by it. */
  recordArrival(key: string, now: number): Arrival {
    const promised = this.find(key, now);
    if (!promised) return Arrival.NEW;
    if (now < promised.at - EARLY_TOLERANCE_MS) {
      promised.equal += 1;
      return promised.equal > MAX_EQUAL ? Arrival.REPEATED : Arrival.EARLY;
    }
    if (!promised.isOpen) return Arrival.NEW;
    promised.isOpen = false;
    promised.expiresAt = now + USED_RETENTION_MS;
    return Arrival.PROMISED;
  }

  /** Returns the time promised to an equal request, if it is still to come. */
  findPromisedAt(key: string, now: number): number | undefined {
    const promised = this.find(key, now);
    return promised && promised.at > now ? promised.at : undefined;
  }

  /**
   * Promises a return, unless an equal request was promised one that is still
   * to come or was kept a short time ago.
   *
   * @param isPreferred whether there is room for the return.
   */
  add(key: string, at: number, isPreferred: boolean, now: number): void {
    if (this.find(key, now)) return;
    this.promises.set(key, {
      at,
      isOpen: isPreferred,
      equal: 0,
      expiresAt: at + LATE_TOLERANCE_MS,
    });
    if (this.promises.size > MAX_PROMISES) {
      const [oldest] = this.promises.keys();
      this.promises.delete(oldest!);
    }
  }

  private find(key: string, now: number): PromisedReturn | undefined {
    const promised = this.promises.get(key);
    if (!promised || now <= promised.expiresAt) return promised;
    this.promises.delete(key);
    return undefined;
  }
}
