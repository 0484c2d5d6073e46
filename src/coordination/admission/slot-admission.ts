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
import {LoadPublisher} from './load-publisher.js';
import {RankQueue} from './rank-queue.js';
import {ServiceAverages} from './service-averages.js';
import type {SlotRules} from './slot-allocation.js';
import {
  findNextItem,
  NO_SLOT_RULES,
  SlotAllocation,
} from './slot-allocation.js';
import type {WorkClass} from './slot-shares.js';
import {findHold} from './slot-shares.js';
import {WaitPolicy} from './wait-policy.js';
import type {WaitingRequest} from './waiting-request.js';
import {enqueueRequest} from './waiting-request.js';
import type {
  AdmissionRequest,
  Slot,
  WorkerAdmission,
} from './worker-admission.js';

const US_PER_MS = 1000;
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
/** Consecutive lost connections that indicate a restart of the worker. */
const LOST_STREAK = 2;
/** Time for which requests are refused after a connection failure. */
const UNREACHABLE_HOLD_MS = 500;

/** Admission to one worker with known slots. */
export class SlotAdmission implements WorkerAdmission {
  private readonly queue = new RankQueue<WaitingRequest>();
  private readonly knee: KneeLimit;
  private readonly cold: ColdRateLimit;
  private readonly waitPolicy = new WaitPolicy(route =>
    this.computeServiceMs(route),
  );
  private readonly allocation: SlotAllocation;
  private readonly averages = new ServiceAverages();
  private readonly publisher = new LoadPublisher();
  private inFlight = 0;
  private isDraining = false;
  private unreachableUntil = -Infinity;
  private pace = 1;
  private figuresAt = -Infinity;
  private lastSentAt = -Infinity;
  private lastOutcomeTime = -Infinity;
  private timer: TimerId | undefined;

  constructor(
    slots: number,
    private limits: Profile['limits'],
    private readonly now: () => number = () => performance.now(),
    private readonly timers: Timers = SYSTEM_TIMERS,
    rules: SlotRules = NO_SLOT_RULES,
  ) {
    this.allocation = new SlotAllocation(rules, route =>
      this.computeServiceMs(route),
    );
    this.knee = new KneeLimit(slots);
    this.cold = new ColdRateLimit(limits.coldRate);
  }

  /** Sets what is called when the load has changed enough to be published. */
  set handleLoadChange(handler: () => void) {
    this.publisher.handleChange = handler;
  }

  get load(): WorkerLoad {
    return {
      state: this.findState(),
      inFlight: this.inFlight,
      queued: this.queue.length,
      limit: this.knee.value,
      serviceTimeUs: this.averages.serviceMs * US_PER_MS,
      failureShare: this.averages.failureShare,
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
    this.publisher.publish(this.load);
  }

  resetToCold(): void {
    this.cold.reset();
  }

  recordProbeAnswer({coldMs}: ProbeAnswer): void {
    this.unreachableUntil = -Infinity;
    this.averages.lostStreak = 0;
    this.cold.recordHealth(coldMs ?? 0, this.now());
    this.serveQueue();
  }

  recordUnreachable(): void {
    this.unreachableUntil = this.now() + UNREACHABLE_HOLD_MS;
    this.cold.reset();
    this.refuseAll(Reason.WORKER_GONE);
    this.publisher.publish(this.load);
  }

  recordLoadReport(figures: UpstreamLoadReport): void {
    this.pace = figures.pace;
    this.figuresAt = this.now();
    this.publisher.publish(this.load);
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
    const workClass = this.allocation.recordArrival(request, now);
    if (this.hasSlotFor(request, workClass, now)) {
      return this.takeSlot(request, workClass, now);
    }
    const waitMs = this.computeWait(request, workClass, now);
    const maxWaitMs = this.computeMaxWait(request, now);
    if (waitMs > maxWaitMs || this.queue.length >= this.limits.queueLength) {
      throw this.buildOverloadRefusal(now, waitMs);
    }
    return this.enqueue(request, workClass, signal, now, maxWaitMs);
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

  /** Returns whether a request may start now, before all that wait. */
  private hasSlotFor(
    request: AdmissionRequest,
    workClass: WorkClass,
    now: number,
  ): boolean {
    const waiting = this.queue.list();
    const state = this.allocation.computeState(this.knee.value, waiting, now);
    const hold = state && findHold(workClass, state);
    if (hold) {
      if (this.inFlight < this.knee.value) this.allocation.countHeld(hold);
      return false;
    }
    const order = this.waitPolicy.computeOrder(request, now);
    const ahead = waiting.slice(0, this.queue.countAhead(order));
    return !findNextItem(ahead, state) && this.hasCapacity(now);
  }

  /** Returns the expected service time of a route in milliseconds. */
  private computeServiceMs(route: string): number {
    const routeMeanMs = this.knee.findMeanMs(route);
    return routeMeanMs === undefined
      ? this.averages.expectedMs
      : routeMeanMs * this.pace;
  }

  /** Returns the expected wait for a slot in milliseconds. */
  private computeWait(
    request: AdmissionRequest,
    workClass: WorkClass,
    now: number,
  ): number {
    const order = this.waitPolicy.computeOrder(request, now);
    const ahead = this.queue.countAhead(order);
    const slotMs =
      this.allocation.computeWait(
        workClass,
        this.queue.list().slice(0, ahead),
        this.knee.value,
        now,
      ) ?? ((ahead + 1) * this.averages.expectedMs) / this.knee.value;
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
    workClass: WorkClass,
    signal: AbortSignal,
    now: number,
    maxWaitMs: number,
  ): Promise<Slot> {
    const expiresAt = Math.min(now + maxWaitMs, request.deadline);
    const order = this.waitPolicy.computeOrder(request, now);
    const start = {request, workClass, ...order, expiresAt};
    const slot = enqueueRequest(this.queue, start, signal);
    this.publisher.publish(this.load);
    this.watchQueue();
    return slot;
  }

  private takeSlot(
    request: AdmissionRequest,
    workClass: WorkClass,
    now: number,
  ): Slot {
    this.inFlight += 1;
    const endUse = this.allocation.start(workClass, request.route);
    this.lastSentAt = now;
    this.cold.recordSent(now);
    const running = this.inFlight;
    const pace = this.pace;
    let isReleased = false;
    this.publisher.publish(this.load);
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
          this.timers.set(() => this.endRun(endUse), CANCELLATION_GRACE_MS);
        } else this.endRun(endUse);
      },
    };
  }

  private endRun(endUse: () => void): void {
    this.inFlight -= 1;
    endUse();
    this.serveQueue();
    this.publisher.publish(this.load);
  }

  private record(
    outcome: SlotOutcome,
    route: string,
    running: number,
    elapsedMs: number,
    pace: number,
  ): void {
    if (outcome === SlotOutcome.CANCELLED) {
      this.averages.recordCancelled(elapsedMs);
      return;
    }
    this.lastOutcomeTime = this.now();
    this.averages.recordOutcome(outcome);
    // A new process may have taken over the address, and it starts cold.
    if (this.averages.lostStreak >= LOST_STREAK) this.cold.reset();
    if (outcome === SlotOutcome.UNREACHABLE) this.recordUnreachable();
    if (outcome !== SlotOutcome.SUCCESS) return;
    this.averages.recordServiceTime(elapsedMs);
    this.knee.record(route, running, elapsedMs / Math.max(pace, 0.1));
  }

  private serveQueue(): void {
    const now = this.now();
    for (;;) {
      const list = this.queue.list();
      const state = this.allocation.computeState(this.knee.value, list, now);
      const waiting = findNextItem(list, state);
      if (!waiting || !this.hasCapacity(now)) break;
      this.queue.remove(waiting);
      if (now < waiting.expiresAt) {
        const {request, workClass} = waiting;
        waiting.resolve(this.takeSlot(request, workClass, now));
      } else {
        this.refuseQueued(waiting, now);
      }
    }
    this.watchQueue();
  }

  private refuseQueued(waiting: WaitingRequest, now: number): void {
    const waitMs = this.computeWait(waiting.request, waiting.workClass, now);
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
      ...this.allocation.describe(this.knee.value, now),
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
