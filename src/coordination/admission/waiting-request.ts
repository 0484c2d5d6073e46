/**
 * A request that waits for a slot, as a promise of the slot. An aborted wait
 * leaves the queue at once, so that it doesn't take a slot from others.
 */
import {Reason, RefusalError} from '../../protocol/reasons.js';
import type {RankedItem, RankQueue} from './rank-queue.js';
import type {ClassifiedItem} from './slot-allocation.js';
import type {Slot} from './worker-admission.js';

/** A request with its class and its place in the queue. */
export interface RankedRequest extends RankedItem, ClassifiedItem {}

/** Properties with which a request starts to wait. */
export interface WaitStart extends RankedRequest {
  readonly enqueuedAt: number;
  /** Time at which the request is refused unless it has got a slot. */
  expiresAt: number;
}

/** A request that waits for a slot. */
export interface WaitingRequest extends WaitStart {
  resolve(slot: Slot): void;
  reject(error: RefusalError): void;
}

/** Adds a request to the queue and waits for its slot. */
export function enqueueRequest(
  queue: RankQueue<WaitingRequest>,
  start: WaitStart,
  signal: AbortSignal,
): Promise<Slot> {
  return new Promise((resolve, reject) => {
    const handleAbort = (): void => {
      if (queue.remove(waiting)) waiting.reject(findAbortRefusal(signal));
    };
    const removeAbortListener = (): void =>
      signal.removeEventListener('abort', handleAbort);
    const waiting: WaitingRequest = {
      ...start,
      resolve: slot => {
        removeAbortListener();
        resolve(slot);
      },
      reject: error => {
        removeAbortListener();
        reject(error);
      },
    };
    signal.addEventListener('abort', handleAbort, {once: true});
    queue.add(waiting);
  });
}

/**
 * Returns the refusal for an aborted wait: that of the signal, such as a
 * passed deadline, or else that the caller has disconnected.
 */
function findAbortRefusal(signal: AbortSignal): RefusalError {
  const reason: unknown = signal.reason;
  return reason instanceof RefusalError
    ? reason
    : new RefusalError(Reason.CALLER_GONE);
}
