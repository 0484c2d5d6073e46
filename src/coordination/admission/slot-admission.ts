/**
 * Admission to a worker whose slots are known and that reports its load,
 * designed for overload: more requests arrive than can be served in time. A
 * request that won't be served in time is refused at once, with the time after
 * which to retry. Queued requests are served by priority, and requests that
 * can no longer meet their target after all that can.
 */
import type {Profile} from '../../protocol/configuration.js';
import {Reason, RefusalError} from '../../protocol/reasons.js';
import type {TimerId, Timers} from '../../protocol/timers.js';
import {SYSTEM_TIMERS} from '../../protocol/timers.js';
import {Verdict} from '../../protocol/verdict.js';
import type {
  ProbeAnswer,
  UpstreamLoadReport,
  WorkerLoad,
} from '../../protocol/worker-load.js';
import {WorkerState} from '../../protocol/worker-load.js';
import {ColdRateLimit} from './cold-rate-limit.js';
import {SlotOutcome} from './concurrency-limit.js';
import {KneeLimit} from './knee-limit.js';
import {RankQueue} from './rank-queue.js';
import {WaitPolicy} from './wait-policy.js';
import type {
  AdmissionRequest,
  Slot,
  WorkerAdmission,
} from './worker-admission.js';

interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly rank: number;
  readonly dueAt: number;
  /** Time at which the request is refused unless it has got a slot. */
  readonly expiresAt: number;
  resolve(slot: Slot): void;
  reject(error: RefusalError): void;
}

const US_PER_MS = 1000;
/** Weight of a new sample in the moving averages. */
const AVERAGE_WEIGHT = 0.1;
/** Service time assumed before the first answer. */
const DEFAULT_SERVICE_MS = 100;
/**
 * Time that a worker takes to notice a cancellation; until then the request
 * counts as in flight.
 */
const CANCELLATION_GRACE_MS = 25;
/**
 * Age after which reported load is stale while requests are sent, and the
 * shortest time between probes then.
 */
const MAX_FIGURES_AGE_MS = 200;
/** Time after a probe until the next one while no requests are sent. */
const IDLE_PROBE_INTERVAL_MS = 1000;
/** Time after a request for which the worker counts as active. */
const ACTIVITY_WINDOW_MS = 1000;
/** Change of utilization that is published at once. */
const MIN_UTILIZATION_CHANGE = 0.45;
/** Change of the natural logarithm of the pace that is published at once. */
const MIN_LOG_PACE_CHANGE = 0.25;
/** Consecutive lost connections that indicate a restart of the worker. */
const LOST_STREAK = 2;
/** Time for which requests are refused after a connection failure. */
const UNREACHABLE_HOLD_MS = 500;

/** Admission to one worker with known slots. */
export class SlotAdmission implements WorkerAdmission {
  private readonly queue = new RankQueue<QueuedRequest>();
  private readonly knee: KneeLimit;
  private readonly cold: ColdRateLimit;
  private readonly waitPolicy = new WaitPolicy(route =>
    this.computeServiceMs(route),
  );
  private inFlight = 0;
  private serviceMs = 0;
  private failureShare = 0;
  private isDraining = false;
  private lostStreak = 0;
  private unreachableUntil = -Infinity;
  private pace = 1;
  private figuresAt = -Infinity;
  private lastSentAt = -Infinity;
  private lastOutcomeTime = -Infinity;
  private timer: TimerId | undefined;
  /** Called when the load has changed enough to be published at once. */
  handleLoadChange: () => void = () => {};
  private publishedLoad: WorkerLoad | undefined;

  constructor(
    slots: number,
    private limits: Profile['limits'],
    private readonly now: () => number = () => performance.now(),
    private readonly timers: Timers = SYSTEM_TIMERS,
  ) {
    this.knee = new KneeLimit(slots);
    this.cold = new ColdRateLimit(limits.coldRate);
  }

  get load(): WorkerLoad {
    return {
      state: this.findState(),
      inFlight: this.inFlight,
      queued: this.queue.length,
      limit: this.knee.value,
      serviceTimeUs: this.serviceMs * US_PER_MS,
      failureShare: this.failureShare,
      pace: this.pace,
    };
  }

  get lastOutcomeAt(): number {
    return this.lastOutcomeTime;
  }

  update(slots: number, state: WorkerState, limits: Profile['limits']): void {
    this.limits = limits;
    this.knee.update(slots);
    this.cold.update(limits.coldRate);
    if (state === WorkerState.COLD && !this.cold.isCold(this.now())) {
      this.cold.reset();
    }
    this.unreachableUntil = -Infinity;
    this.isDraining = state === WorkerState.DRAINING;
    if (this.isDraining) this.refuseAll(Reason.WORKER_DRAINING);
    this.serveQueue();
    this.publishLoadChange();
  }

  resetToCold(): void {
    this.cold.reset();
  }

  recordProbeAnswer({coldMs}: ProbeAnswer): void {
    this.unreachableUntil = -Infinity;
    this.lostStreak = 0;
    this.cold.recordHealth(coldMs ?? 0, this.now());
    this.serveQueue();
  }

  recordUnreachable(): void {
    this.unreachableUntil = this.now() + UNREACHABLE_HOLD_MS;
    this.cold.reset();
    this.refuseAll(Reason.WORKER_GONE);
    this.publishLoadChange();
  }

  recordLoadReport(figures: UpstreamLoadReport): void {
    this.pace = figures.pace;
    this.figuresAt = this.now();
    this.publishLoadChange();
  }

  hasStaleFigures(lastProbeAt: number): boolean {
    const now = this.now();
    if (this.isDraining) return false;
    const isActive =
      this.inFlight > 0 || now - this.lastSentAt < ACTIVITY_WINDOW_MS;
    if (!isActive) return now - lastProbeAt > IDLE_PROBE_INTERVAL_MS;
    if (now - lastProbeAt < MAX_FIGURES_AGE_MS) return false;
    const isRateLimited = this.cold.isCold(now) || this.isNearColdRate(now);
    return isRateLimited || now - this.figuresAt > MAX_FIGURES_AGE_MS;
  }

  async admit(request: AdmissionRequest, signal: AbortSignal): Promise<Slot> {
    const now = this.now();
    this.checkAvailable(request, now);
    this.waitPolicy.record(request, now);
    const isNext = this.queue.length === 0 || this.isHighestPriority(request);
    if (isNext && this.hasCapacity(now)) return this.takeSlot(request, now);
    const waitMs = this.computeWait(request, now);
    const maxWaitMs = this.computeMaxWait(request, now);
    if (waitMs > maxWaitMs || this.queue.length >= this.limits.queueLength) {
      throw this.buildOverloadRefusal(now, waitMs);
    }
    return this.enqueue(request, signal, now, maxWaitMs);
  }

  /**
   * Reports the load if it has changed enough. Smaller changes wait for the
   * next regular message, to save traffic.
   */
  private publishLoadChange(): void {
    const {load, publishedLoad} = this;
    const utilization = (load.inFlight + load.queued) / load.limit;
    const publishedUtilization = publishedLoad
      ? (publishedLoad.inFlight + publishedLoad.queued) / publishedLoad.limit
      : Infinity;
    const paceChange = load.pace / (publishedLoad?.pace ?? Infinity);
    const isSignificant =
      load.state !== publishedLoad?.state ||
      Math.abs(utilization - publishedUtilization) >= MIN_UTILIZATION_CHANGE ||
      Math.abs(Math.log(paceChange)) >= MIN_LOG_PACE_CHANGE;
    if (!isSignificant) return;
    this.publishedLoad = load;
    this.handleLoadChange();
  }

  private findState(): WorkerState {
    const now = this.now();
    if (this.isDraining) return WorkerState.DRAINING;
    if (now < this.unreachableUntil) return WorkerState.FAILING;
    return this.cold.isCold(now) ? WorkerState.COLD : WorkerState.READY;
  }

  private checkAvailable(request: AdmissionRequest, now: number): void {
    if (this.isDraining) throw new RefusalError(Reason.WORKER_DRAINING);
    if (now < this.unreachableUntil) {
      throw new RefusalError(Reason.WORKER_GONE);
    }
    if (now >= request.deadline) {
      throw new RefusalError(Reason.DEADLINE_EXCEEDED);
    }
  }

  private isNearColdRate(now: number): boolean {
    const rate = this.limits.coldRate;
    return rate !== undefined && this.cold.countSent(now) * 2 >= rate;
  }

  private hasCapacity(now: number): boolean {
    const hasWaiting = this.queue.length > 0;
    return this.knee.admit(this.inFlight, hasWaiting) && this.cold.admit(now);
  }

  private isHighestPriority(request: AdmissionRequest): boolean {
    return (
      this.queue.countAhead(
        this.waitPolicy.computeOrder(request, this.now()),
      ) === 0
    );
  }

  /** Returns the expected service time of a route in milliseconds. */
  private computeServiceMs(route: string): number {
    const routeMeanMs = this.knee.findMeanMs(route);
    const meanMs = this.serviceMs > 0 ? this.serviceMs : DEFAULT_SERVICE_MS;
    return routeMeanMs === undefined ? meanMs : routeMeanMs * this.pace;
  }

  /** Returns the expected wait for a slot in milliseconds. */
  private computeWait(request: AdmissionRequest, now: number): number {
    const ahead = this.queue.countAhead(
      this.waitPolicy.computeOrder(request, now),
    );
    const meanMs = this.serviceMs > 0 ? this.serviceMs : DEFAULT_SERVICE_MS;
    const slotMs = ((ahead + 1) * meanMs) / this.knee.value;
    if (!this.cold.isCold(now)) return slotMs;
    const rate = this.limits.coldRate ?? 1;
    return this.cold.computeWait(now) + (ahead * US_PER_MS) / rate;
  }

  private computeMaxWait(request: AdmissionRequest, now: number): number {
    const maxWaitMs = this.waitPolicy.computeMaxWait(request, now);
    return Math.min(this.limits.queueWait, maxWaitMs);
  }

  private enqueue(
    request: AdmissionRequest,
    signal: AbortSignal,
    now: number,
    maxWaitMs: number,
  ): Promise<Slot> {
    return new Promise((resolve, reject) => {
      const handleAbort = (): void => {
        if (this.queue.remove(entry)) {
          entry.reject(findAbortRefusal(signal));
        }
      };
      const removeAbortListener = (): void =>
        signal.removeEventListener('abort', handleAbort);
      const entry: QueuedRequest = {
        request,
        ...this.waitPolicy.computeOrder(request, now),
        expiresAt: Math.min(now + maxWaitMs, request.deadline),
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
      this.queue.add(entry);
      this.publishLoadChange();
      this.watchQueue();
    });
  }

  private takeSlot(request: AdmissionRequest, now: number): Slot {
    this.inFlight += 1;
    this.lastSentAt = now;
    this.cold.recordSent(now);
    const running = this.inFlight;
    const pace = this.pace;
    let isReleased = false;
    this.publishLoadChange();
    return {
      release: outcome => {
        if (isReleased) return;
        isReleased = true;
        const elapsedMs = this.now() - now;
        // The pace may change while a request runs, so that at its start and
        // that at its end are averaged.
        const meanPace = (pace + this.pace) / 2;
        this.record(outcome, request.route, running, elapsedMs, meanPace);
        if (outcome === SlotOutcome.CANCELLED) {
          this.timers.set(() => this.endRun(), CANCELLATION_GRACE_MS);
        } else this.endRun();
      },
    };
  }

  private endRun(): void {
    this.inFlight -= 1;
    this.serveQueue();
    this.publishLoadChange();
  }

  private record(
    outcome: SlotOutcome,
    route: string,
    running: number,
    elapsedMs: number,
    pace: number,
  ): void {
    if (outcome === SlotOutcome.CANCELLED) {
      if (elapsedMs > this.serviceMs) this.recordServiceTime(elapsedMs);
      return;
    }
    const isSuccess = outcome === SlotOutcome.SUCCESS;
    this.lastOutcomeTime = this.now();
    const failure = isSuccess ? 0 : 1;
    this.failureShare += AVERAGE_WEIGHT * (failure - this.failureShare);
    const isLost =
      outcome === SlotOutcome.CONNECTION_LOST ||
      outcome === SlotOutcome.UNREACHABLE;
    this.lostStreak = isLost ? this.lostStreak + 1 : 0;
    // A new process may have taken over the address, and it starts cold.
    if (this.lostStreak >= LOST_STREAK) this.cold.reset();
    if (outcome === SlotOutcome.UNREACHABLE) this.recordUnreachable();
    if (!isSuccess) return;
    this.recordServiceTime(elapsedMs);
    this.knee.record(route, running, elapsedMs / Math.max(pace, 0.1));
  }

  private recordServiceTime(elapsedMs: number): void {
    const weight = this.serviceMs === 0 ? 1 : AVERAGE_WEIGHT;
    this.serviceMs += weight * (elapsedMs - this.serviceMs);
  }

  private serveQueue(): void {
    const now = this.now();
    while (this.queue.length > 0 && this.hasCapacity(now)) {
      const waiting = this.queue.take()!;
      if (now < waiting.expiresAt) {
        waiting.resolve(this.takeSlot(waiting.request, now));
      } else {
        this.refuseQueued(waiting, now);
      }
    }
    this.watchQueue();
  }

  private refuseQueued(waiting: QueuedRequest, now: number): void {
    const waitMs = this.computeWait(waiting.request, now);
    waiting.reject(this.buildOverloadRefusal(now, waitMs));
  }

  /** Creates a refusal whose detail holds the state that caused it. */
  private buildOverloadRefusal(now: number, waitMs: number): RefusalError {
    const reason = this.cold.isCold(now)
      ? Reason.WORKER_COLD
      : Reason.QUEUE_TIMEOUT;
    const detail = [
      `running ${this.inFlight} of ${this.knee.value}`,
      `waiting ${this.queue.length}`,
      `sent ${this.cold.countSent(now)} in 1 s`,
      `warm ${Math.round(this.cold.computeHealthAge(now))} ms ago`,
      `pace ${this.pace}`,
    ].join(', ');
    const retryAfterMs = Math.max(0, Math.round(waitMs));
    return new RefusalError(reason, Verdict.NOT_RUN, detail, retryAfterMs);
  }

  private refuseAll(reason: Reason): void {
    for (let waiting; (waiting = this.queue.take());) {
      waiting.reject(new RefusalError(reason));
    }
  }

  /**
   * Sets the timer to the time when the first request expires or the cold rate
   * allows another request.
   */
  private watchQueue(): void {
    if (this.timer !== undefined) this.timers.clear(this.timer);
    this.timer = undefined;
    if (this.queue.length === 0) return;
    const now = this.now();
    let at = Infinity;
    for (const {expiresAt} of this.queue.list()) at = Math.min(at, expiresAt);
    if (!this.cold.admit(now))
      at = Math.min(at, now + this.cold.computeWait(now));
    this.timer = this.timers.set(
      () => this.checkQueue(),
      Math.max(1, Math.ceil(at - now)),
    );
  }

  private checkQueue(): void {
    const now = this.now();
    const expired = this.queue.list().filter(({expiresAt}) => expiresAt <= now);
    for (const waiting of expired) {
      if (this.queue.remove(waiting)) this.refuseQueued(waiting, now);
    }
    this.serveQueue();
  }
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
