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
import type {
  ProbeAnswer,
  UpstreamLoadReport,
  WorkerLoad,
} from '../../protocol/worker-load.js';
import {WorkerState} from '../../protocol/worker-load.js';
import {ColdRateLimit} from './cold-rate-limit.js';
import {SlotOutcome} from './concurrency-limit.js';
import {HostFigures} from './host-figures.js';
import {KneeLimit} from './knee-limit.js';
import {LoadPublisher} from './load-publisher.js';
import {RankQueue} from './rank-queue.js';
import {ServiceAverages} from './service-averages.js';
import type {SlotRules, WorkerUse} from './slot-allocation.js';
import {NO_SLOT_RULES, SlotAllocation} from './slot-allocation.js';
import {WaitPolicy} from './wait-policy.js';
import {createOverloadRefusal} from './overload-refusal.js';
import type {RankedRequest, WaitingRequest} from './waiting-request.js';
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
  private readonly figures = new HostFigures();
  private lastOutcomeTime = -Infinity;
  private timer: TimerId | undefined;

  constructor(
    slots: number,
    private limits: Profile['limits'],
    private readonly now: () => number = () => performance.now(),
    private readonly timers: Timers = SYSTEM_TIMERS,
    rules: SlotRules = NO_SLOT_RULES,
  ) {
    this.allocation = new SlotAllocation(rules, {
      compute: route => this.computeServiceMs(route),
      computeUsual: route =>
        this.knee.findMeanMs(route) ?? this.averages.expectedMs,
    });
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
      pace: this.figures.pace,
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

  recordCrash(): void {
    this.allocation.bytes.recordCrash(this.now());
  }

  recordLoadReport(figures: UpstreamLoadReport): void {
    const isSlower = figures.pace > this.figures.pace;
    this.figures.record(figures.pace, this.now());
    if (isSlower && this.allocation.hasRules) this.updateExpiry();
    this.publisher.publish(this.load);
  }

  hasStaleFigures(lastProbeAt: number): boolean {
    const now = this.now();
    if (this.isDraining) return false;
    return this.figures.isProbeDue(
      now,
      lastProbeAt,
      this.inFlight > 0,
      () => this.cold.isCold(now) || this.isNearColdRate(now),
    );
  }

  async admit(request: AdmissionRequest, signal: AbortSignal): Promise<Slot> {
    const now = this.now();
    this.checkAvailable(request, now);
    this.waitPolicy.record(request, now);
    const item = this.buildItem(request, now);
    if (this.hasSlotFor(item, now)) return this.takeSlot(item, now);
    const waitMs = this.computeWait(item, now);
    const maxWaitMs = this.computeMaxWait(item, now);
    if (waitMs > maxWaitMs || !this.reserveQueueSpace(item, now)) {
      const mostMs = Math.round(maxWaitMs);
      throw this.buildOverloadRefusal(item, now, `may wait ${mostMs} ms`);
    }
    return this.enqueue(item, signal, now, maxWaitMs);
  }

  /** Records an arrival and determines its class and place in the queue. */
  private buildItem(request: AdmissionRequest, now: number): RankedRequest {
    const isLate = !request.isNested && this.waitPolicy.isLate(request, now);
    const workClass = this.allocation.recordArrival(request, isLate, now);
    const order = this.waitPolicy.computeOrder(request, now);
    return {request, workClass, isLate, ...order};
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
  private hasSlotFor(item: RankedRequest, now: number): boolean {
    const waiting = this.queue.list();
    const state = this.allocation.computeState(this.knee.value, waiting, now);
    const isFull = this.inFlight >= this.knee.value;
    if (!this.allocation.admit(item, state, isFull)) return false;
    const ahead = waiting.slice(0, this.queue.countAhead(item));
    return this.allocation.hasRoomFor(item, ahead, state, () =>
      this.hasCapacity(now),
    );
  }

  /** Returns the expected service time of a route in milliseconds. */
  private computeServiceMs(route: string): number {
    const routeMeanMs = this.knee.findMeanMs(route);
    return routeMeanMs === undefined
      ? this.averages.expectedMs
      : routeMeanMs * this.figures.pace;
  }

  /** Returns the expected wait for a slot in milliseconds. */
  private computeWait(item: RankedRequest, now: number): number {
    const ahead = this.queue.countAhead(item);
    const slotMs =
      this.allocation.computeWait(
        item.workClass,
        this.queue.list().slice(0, ahead),
        this.knee.value,
        now,
      ) ?? ((ahead + 1) * this.averages.expectedMs) / this.knee.value;
    if (!this.cold.isCold(now)) return slotMs;
    const rate = this.limits.coldRate ?? 1;
    return this.cold.computeWait(now) + (ahead * US_PER_MS) / rate;
  }

  private computeMaxWait(item: RankedRequest, now: number): number {
    const shortMs = this.waitPolicy.computeMaxWait(item.request, now);
    const maxWaitMs = this.allocation.computeMaxWait(item, shortMs, now);
    return Math.min(this.limits.queueWait, maxWaitMs);
  }

  /**
   * Returns whether a request may join the queue. In a full queue, the last
   * request of a connection with several yields to one of any other.
   */
  private reserveQueueSpace(item: RankedRequest, now: number): boolean {
    const list = this.queue.list();
    if (this.allocation.hasQueueSpace(item, list, this.limits)) return true;
    const last = list.at(-1);
    if (!last?.request.isBulk || item.request.isBulk) return false;
    this.queue.remove(last);
    this.refuseQueued(last, now);
    return true;
  }

  private enqueue(
    item: RankedRequest,
    signal: AbortSignal,
    now: number,
    maxWaitMs: number,
  ): Promise<Slot> {
    const expiresAt = Math.min(now + maxWaitMs, item.request.deadline);
    this.allocation.recordQueued(
      item,
      this.queue.countAhead(item) + 1,
      this.computeWait(item, now),
      now,
    );
    const start = {...item, enqueuedAt: now, expiresAt};
    const slot = enqueueRequest(this.queue, start, signal);
    this.publisher.publish(this.load);
    this.watchQueue();
    return slot;
  }

  private takeSlot(item: RankedRequest, now: number): Slot {
    const {workClass, request} = item;
    this.inFlight += 1;
    const use = this.allocation.start(workClass, request, now);
    this.figures.recordSent(now);
    this.cold.recordSent(now);
    const running = this.inFlight;
    const pace = this.figures.pace;
    let isReleased = false;
    let servedAt: number | undefined;
    this.publisher.publish(this.load);
    return {
      release: outcome => {
        if (isReleased) return;
        isReleased = true;
        const elapsedMs = (servedAt ?? this.now()) - now;
        // The pace may change while a request runs, so that at its start and
        // that at its end are averaged.
        const meanPace = (pace + this.figures.pace) / 2;
        this.record(outcome, request.route, running, elapsedMs, meanPace);
        const end = (): void => this.endRun(use, outcome);
        if (outcome === SlotOutcome.CANCELLED) {
          this.timers.set(end, CANCELLATION_GRACE_MS);
        } else end();
      },
      recordBytes: bytes => use.addBytes(bytes),
      endServiceTime: () => (servedAt ??= this.now()),
    };
  }

  private endRun(use: WorkerUse, outcome: SlotOutcome): void {
    this.inFlight -= 1;
    use.end(outcome, this.now());
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
      const waiting = this.allocation.findNext(list, state);
      if (!waiting || !this.hasCapacity(now)) break;
      this.queue.remove(waiting);
      if (now < waiting.expiresAt) {
        waiting.resolve(this.takeSlot(waiting, now));
      } else {
        this.refuseQueued(waiting, now);
      }
    }
    this.watchQueue();
  }

  private refuseQueued(waiting: WaitingRequest, now: number): void {
    const order = this.waitPolicy.computeOrder(waiting.request, now);
    const waitedMs = Math.round(now - waiting.enqueuedAt);
    const item = {...waiting, ...order};
    const refusal = this.buildOverloadRefusal(
      item,
      now,
      `waited ${waitedMs} ms`,
    );
    waiting.reject(refusal);
  }

  /** Creates a refusal whose detail holds the state that caused it. */
  private buildOverloadRefusal(
    item: RankedRequest,
    now: number,
    wait: string,
  ): RefusalError {
    const waitMs = this.computeWait(item, now);
    const place = this.queue.countAhead(item) + 1;
    return createOverloadRefusal({
      isCold: this.cold.isCold(now),
      running: this.inFlight,
      limit: this.knee.value,
      waiting: this.queue.length,
      sent: this.cold.countSent(now),
      healthAgeMs: this.cold.computeHealthAge(now),
      pace: this.figures.pace,
      waitMs,
      further: this.allocation.describe(
        [`place ${place}`, `expected wait ${Math.round(waitMs)} ms`, wait],
        this.knee.value,
        now,
      ),
    });
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

  /** Refuses at once what a slower host can no longer serve in time. */
  private updateExpiry(): void {
    for (const waiting of this.queue.list()) {
      waiting.expiresAt = this.allocation.computeExpiry(waiting);
    }
    this.checkQueue();
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
