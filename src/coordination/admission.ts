/**
 * Admission to one worker: a concurrency limit that never exceeds the
 * worker's slots, and a short queue before it.
 */
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {Profile} from '../protocol/configuration.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import {WorkerState} from '../protocol/worker-load.js';

/** How a request left its slot. */
export const SlotOutcome = {
  SUCCESS: 'success',
  /** The worker answered with a server error or cut its answer. */
  FAILURE: 'failure',
  /** The worker shed the request. */
  SHED: 'shed',
  /** The connection to the worker was refused or lost. */
  CONNECTION_LOST: 'connection-lost',
  /** The caller went away or the deadline passed. */
  CANCELLED: 'cancelled',
} as const;

export type SlotOutcome = (typeof SlotOutcome)[keyof typeof SlotOutcome];

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly caller: string;
  /** Deadline on the clock of `performance.now()`. */
  readonly deadline: number;
}

/** Right to have one request in flight at the worker. */
export interface Slot {
  /** Gives the slot back; later calls have no effect. */
  release(outcome: SlotOutcome): void;
}

interface Waiting {
  resolve(slot: Slot): void;
  reject(error: RefusalError): void;
}

/** Admission to one worker. */
export class Admission {
  private readonly waiting: Waiting[] = [];
  private inFlight = 0;
  private serviceTimeUs = 0;
  private failureShare = 0;
  private state: WorkerState = WorkerState.READY;

  constructor(
    private slots: number,
    private limits: Profile['limits'],
  ) {}

  /** Load figures as of now. */
  get load(): WorkerLoad {
    return {
      state: this.state,
      inFlight: this.inFlight,
      queued: this.waiting.length,
      limit: this.slots,
      serviceTimeUs: this.serviceTimeUs,
      failureShare: this.failureShare,
    };
  }

  /** Takes over what the worker announced and the profile in force. */
  update(slots: number, state: WorkerState, limits: Profile['limits']): void {
    this.slots = slots;
    this.state = state;
    this.limits = limits;
  }

  /**
   * Waits for a slot.
   *
   * @throws RefusalError with verdict `not-run`.
   */
  async admit(request: AdmissionRequest, signal: AbortSignal): Promise<Slot> {
    if (this.state === WorkerState.DRAINING) {
      throw new RefusalError(Reason.WORKER_DRAINING);
    }
    if (this.inFlight < this.slots) return this.take();
    if (this.waiting.length >= this.limits.queueLength) {
      throw new RefusalError(Reason.QUEUE_FULL);
    }
    return this.enqueue(request, signal);
  }

  private enqueue(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Slot> {
    const waitMs = Math.min(
      this.limits.queueWait,
      request.deadline - performance.now(),
    );
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => entry.reject(new RefusalError(Reason.QUEUE_TIMEOUT)),
        waitMs,
      );
      const handleAbort = (): void =>
        entry.reject(new RefusalError(Reason.CALLER_GONE));
      const leave = (): void => {
        clearTimeout(timer);
        signal.removeEventListener('abort', handleAbort);
        const index = this.waiting.indexOf(entry);
        if (index >= 0) this.waiting.splice(index, 1);
      };
      const entry: Waiting = {
        resolve: slot => {
          leave();
          resolve(slot);
        },
        reject: error => {
          leave();
          reject(error);
        },
      };
      signal.addEventListener('abort', handleAbort, {once: true});
      this.waiting.push(entry);
    });
  }

  private take(): Slot {
    this.inFlight += 1;
    const startedAt = performance.now();
    let isReleased = false;
    return {
      release: outcome => {
        if (isReleased) return;
        isReleased = true;
        this.inFlight -= 1;
        this.record(outcome, performance.now() - startedAt);
        this.waiting[0]?.resolve(this.take());
      },
    };
  }

  private record(outcome: SlotOutcome, serviceTimeMs: number): void {
    if (outcome === SlotOutcome.CANCELLED) return;
    const weight = 0.1;
    const failed = outcome === SlotOutcome.SUCCESS ? 0 : 1;
    this.failureShare += weight * (failed - this.failureShare);
    if (failed) return;
    this.serviceTimeUs += weight * (serviceTimeMs * 1000 - this.serviceTimeUs);
  }
}
