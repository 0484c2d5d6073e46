/**
 * Admission to a worker of unknown capacity: an adaptive concurrency limit
 * with a short queue in front of it that is fair between callers and aware of
 * deadlines. A request that can't be served in time is refused at once,
 * because a wait that ends in a refusal costs the caller time in which another
 * worker could have served the request.
 */
import type {Profile} from '../../protocol/configuration.js';
import {Reason, RefusalError} from '../../protocol/reasons.js';
import type {WorkerLoad} from '../../protocol/worker-load.js';
import {WorkerState} from '../../protocol/worker-load.js';
import {CallerQueue} from './caller-queue.js';
import {
  ConcurrencyLimit,
  LimitPhase,
  SlotOutcome,
} from './concurrency-limit.js';
import type {
  AdmissionRequest,
  Slot,
  WorkerAdmission,
} from './worker-admission.js';

interface QueuedRequest {
  readonly request: AdmissionRequest;
  /** Time at which the request is refused unless it has got a slot. */
  readonly expiresAt: number;
  resolve(slot: Slot): void;
  reject(error: RefusalError): void;
}

const US_PER_MS = 1000;
/** Weight of a new sample in the moving averages. */
const AVERAGE_WEIGHT = 0.1;
/**
 * Time that a cold worker takes to notice a cancellation; until then the
 * request counts as in flight.
 */
const CANCELLATION_GRACE_MS = 25;
/**
 * Longest time for which an announced `cold` state holds the limit. After it
 * the limit follows the outcomes of requests.
 */
const MAX_ANNOUNCED_COLD_MS = 120_000;

const STATE_OF_PHASE: Readonly<Record<LimitPhase, WorkerState>> = {
  cold: WorkerState.COLD,
  ready: WorkerState.READY,
  failing: WorkerState.FAILING,
};

/** Refusal reason when the queue is full, by the limit's phase. */
const QUEUE_FULL_REASON: Readonly<Record<LimitPhase, Reason>> = {
  cold: Reason.WORKER_COLD,
  ready: Reason.QUEUE_FULL,
  failing: Reason.WORKER_GONE,
};

/**
 * Refusal reason when a request would wait, or has waited, too long, by the
 * limit's phase.
 */
const TIMEOUT_REASON: Readonly<Record<LimitPhase, Reason>> = {
  cold: Reason.WORKER_COLD,
  ready: Reason.QUEUE_TIMEOUT,
  failing: Reason.WORKER_GONE,
};

/** Admission to one worker by an adaptive concurrency limit. */
export class AdaptiveAdmission implements WorkerAdmission {
  private readonly queue = new CallerQueue<QueuedRequest>();
  private readonly limit: ConcurrencyLimit;
  private inFlight = 0;
  private serviceTimeUs = 0;
  private failureShare = 0;
  private isDraining = false;
  private announcedColdAt: number | undefined;
  private lastOutcomeTime = -Infinity;
  private expiryTimer: NodeJS.Timeout | undefined;
  private expiryTimerAt = Infinity;

  constructor(
    private slots: number,
    private limits: Profile['limits'],
    private readonly now: () => number = () => performance.now(),
  ) {
    this.limit = new ConcurrencyLimit(this.computeBounds());
  }

  /** Current load of the worker. */
  get load(): WorkerLoad {
    return {
      state: this.isDraining
        ? WorkerState.DRAINING
        : STATE_OF_PHASE[this.limit.phase],
      inFlight: this.inFlight,
      queued: this.queue.length,
      limit: this.limit.value,
      serviceTimeUs: this.serviceTimeUs,
      failureShare: this.failureShare,
      pace: 1,
    };
  }

  /** Time of the latest request outcome; `-Infinity` before the first. */
  get lastOutcomeAt(): number {
    return this.lastOutcomeTime;
  }

  /** Applies the worker's announcement and the limits of its profile. */
  update(slots: number, state: WorkerState, limits: Profile['limits']): void {
    this.slots = slots;
    this.limits = limits;
    this.limit.update(this.computeBounds());
    this.isDraining = state === WorkerState.DRAINING;
    this.updateColdHold(state);
    if (this.isDraining) this.refuseQueue(Reason.WORKER_DRAINING);
    this.serveQueue();
  }

  /** Resets the limit to that of a cold worker. */
  resetToCold(): void {
    this.limit.resetToCold();
  }

  /** Records that the worker answered a probe. */
  recordProbeAnswer(): void {
    this.limit.recordProbeAnswer();
    this.serveQueue();
  }

  /** Records that no connection for a probe could be established. */
  recordUnreachable(): void {
    this.limit.recordUnreachable(this.now());
    this.refuseQueue(Reason.WORKER_GONE);
  }

  /**
   * Waits for a slot and returns it.
   *
   * @throws RefusalError with verdict `not-run`.
   */
  async admit(request: AdmissionRequest, signal: AbortSignal): Promise<Slot> {
    if (this.isDraining) throw new RefusalError(Reason.WORKER_DRAINING);
    const now = this.now();
    const isFree = this.queue.length === 0;
    if (isFree && this.limit.admit(this.inFlight, now)) {
      return this.takeSlot(request);
    }
    if (this.limit.phase === LimitPhase.FAILING) {
      throw new RefusalError(Reason.WORKER_GONE);
    }
    this.checkWait(request, now);
    this.reserveQueueSpace(request.caller);
    return this.enqueue(request, signal, now);
  }

  private computeBounds(): {slots: number; coldConcurrency: number} {
    return {
      slots: this.slots,
      coldConcurrency: this.limits.coldConcurrency,
    };
  }

  private updateColdHold(state: WorkerState): void {
    const isCold = state === WorkerState.COLD;
    this.announcedColdAt = isCold
      ? (this.announcedColdAt ?? this.now())
      : undefined;
    const isColdInForce =
      this.announcedColdAt !== undefined &&
      this.now() - this.announcedColdAt < MAX_ANNOUNCED_COLD_MS;
    if (isColdInForce) this.limit.holdCold();
    else this.limit.releaseCold();
  }

  /**
   * Refuses a request that would get its slot too late. With round robin, the
   * number of requests served first is at most the caller's own backlog times
   * the number of callers, plus one for each other caller.
   */
  private checkWait(request: AdmissionRequest, now: number): void {
    const own = this.queue.count(request.caller);
    const callers = this.queue.countCallers() + (own === 0 ? 1 : 0);
    const ahead = Math.min(this.queue.length, own * callers + callers - 1);
    const serviceMs = this.serviceTimeUs / US_PER_MS;
    const waitMs = (ahead * serviceMs) / this.limit.value;
    const remainingMs = request.deadline - now;
    const isInTime =
      waitMs <= this.limits.queueWait && waitMs + serviceMs <= remainingMs;
    if (isInTime && remainingMs > 0) return;
    throw new RefusalError(
      own > 0 && callers > 1 && remainingMs > 0
        ? Reason.CALLER_LIMIT
        : TIMEOUT_REASON[this.limit.phase],
    );
  }

  /**
   * Makes room in a full queue by evicting a request of the caller with the
   * longest backlog.
   *
   * @throws RefusalError when no other backlog is longer.
   */
  private reserveQueueSpace(caller: string): void {
    if (this.queue.length < this.limits.queueLength) return;
    const evicted = this.queue.removeFromLongest(caller);
    if (evicted) {
      evicted.reject(new RefusalError(Reason.CALLER_LIMIT));
      return;
    }
    const own = this.queue.count(caller);
    const isAlone = own === this.queue.length;
    throw new RefusalError(
      own > 0 && !isAlone
        ? Reason.CALLER_LIMIT
        : QUEUE_FULL_REASON[this.limit.phase],
    );
  }

  private enqueue(
    request: AdmissionRequest,
    signal: AbortSignal,
    now: number,
  ): Promise<Slot> {
    const expiresAt = Math.min(now + this.limits.queueWait, request.deadline);
    return new Promise((resolve, reject) => {
      const handleAbort = (): void => {
        if (this.queue.remove(request.caller, entry)) {
          entry.reject(new RefusalError(Reason.CALLER_GONE));
        }
      };
      const entry: QueuedRequest = {
        request,
        expiresAt,
        resolve: slot => {
          signal.removeEventListener('abort', handleAbort);
          resolve(slot);
        },
        reject: error => {
          signal.removeEventListener('abort', handleAbort);
          reject(error);
        },
      };
      signal.addEventListener('abort', handleAbort, {once: true});
      const cost = this.limit.computeCost(request.route);
      this.queue.append(request.caller, entry, cost);
      this.watchExpiry(expiresAt);
    });
  }

  private takeSlot(request: AdmissionRequest): Slot {
    this.inFlight += 1;
    const startedAt = this.now();
    const {generation} = this.limit;
    let isReleased = false;
    return {
      release: outcome => {
        if (isReleased) return;
        isReleased = true;
        this.record(outcome, request.route, startedAt, generation);
        const isCancelled = outcome === SlotOutcome.CANCELLED;
        const isCold = this.limit.phase === LimitPhase.COLD;
        if (isCancelled && isCold) {
          setTimeout(() => this.endRun(), CANCELLATION_GRACE_MS);
        } else this.endRun();
      },
    };
  }

  private endRun(): void {
    this.inFlight -= 1;
    this.serveQueue();
  }

  private record(
    outcome: SlotOutcome,
    route: string,
    startedAt: number,
    generation: number,
  ): void {
    const now = this.now();
    const serviceTimeMs = now - startedAt;
    this.limit.record({outcome, route, serviceTimeMs, generation}, now);
    if (outcome === SlotOutcome.CANCELLED) {
      this.recordCancelled(serviceTimeMs * US_PER_MS);
      return;
    }
    this.lastOutcomeTime = now;
    const isSuccess = outcome === SlotOutcome.SUCCESS;
    const failure = isSuccess ? 0 : 1;
    this.failureShare += AVERAGE_WEIGHT * (failure - this.failureShare);
    if (isSuccess) this.recordServiceTime(serviceTimeMs * US_PER_MS);
  }

  /**
   * Records the time until a cancellation if it exceeds the mean, since it is
   * a lower bound of the service time.
   */
  private recordCancelled(serviceTimeUs: number): void {
    if (serviceTimeUs > this.serviceTimeUs) {
      this.recordServiceTime(serviceTimeUs);
    }
  }

  private recordServiceTime(serviceTimeUs: number): void {
    const weight = this.serviceTimeUs === 0 ? 1 : AVERAGE_WEIGHT;
    this.serviceTimeUs += weight * (serviceTimeUs - this.serviceTimeUs);
  }

  /** Assigns free slots to queued requests in round-robin order. */
  private serveQueue(): void {
    if (this.queue.length === 0) return;
    if (this.limit.phase === LimitPhase.FAILING) {
      this.refuseQueue(Reason.WORKER_GONE);
      return;
    }
    const now = this.now();
    while (this.queue.length > 0 && this.limit.admit(this.inFlight, now)) {
      const waiting = this.queue.take()!;
      if (waiting.expiresAt > now)
        waiting.resolve(this.takeSlot(waiting.request));
      else this.expire(waiting);
    }
  }

  private refuseQueue(reason: Reason): void {
    for (let waiting; (waiting = this.queue.take());) {
      waiting.reject(new RefusalError(reason));
    }
  }

  private expire(waiting: QueuedRequest): void {
    waiting.reject(new RefusalError(TIMEOUT_REASON[this.limit.phase]));
  }

  /**
   * Sets the expiry timer to the given time unless it fires earlier. One timer
   * serves the whole queue.
   */
  private watchExpiry(expiresAt: number): void {
    if (expiresAt >= this.expiryTimerAt) return;
    clearTimeout(this.expiryTimer);
    this.expiryTimerAt = expiresAt;
    this.expiryTimer = setTimeout(
      () => this.expireQueue(),
      Math.max(0, Math.ceil(expiresAt - this.now())),
    );
  }

  private expireQueue(): void {
    this.expiryTimerAt = Infinity;
    const now = this.now();
    let earliest = Infinity;
    for (const waiting of this.queue.list()) {
      if (waiting.expiresAt > now) {
        earliest = Math.min(earliest, waiting.expiresAt);
      } else if (this.queue.remove(waiting.request.caller, waiting)) {
        this.expire(waiting);
      }
    }
    if (earliest < Infinity) this.watchExpiry(earliest);
  }
}
