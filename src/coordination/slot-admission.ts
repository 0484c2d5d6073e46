/**
 * Admission to a worker whose slots are known and that reports its load,
 * designed for overload: more requests arrive than can be served in time. A
 * request that won't be served in time is refused at once, with the time after
 * which to retry. Queued requests are served by priority, and requests that
 * can no longer meet their target after all that can.
 */
import type {Profile} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {TimerId, Timers} from '../protocol/timers.js';
import {SYSTEM_TIMERS} from '../protocol/timers.js';
import {Verdict} from '../protocol/verdict.js';
import type {
  ProbeAnswer,
  UpstreamFigures,
  WorkerLoad,
} from '../protocol/worker-load.js';
import {WorkerState} from '../protocol/worker-load.js';
import {ColdRate} from './cold-rate.js';
import {SlotOutcome} from './concurrency-limit.js';
import {KneeLimit} from './knee-limit.js';
import {RankQueue} from './rank-queue.js';
import {WaitRules} from './wait-rules.js';
import type {
  AdmissionRequest,
  Slot,
  WorkerAdmission,
} from './worker-admission.js';

interface Waiting {
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
const UNKNOWN_SERVICE_MS = 100;
/**
 * Time that a worker takes to notice a cancellation; until then the request
 * counts as in flight.
 */
const CANCELLATION_MS = 25;
/**
 * Age after which reported load is stale while requests are sent, and the
 * shortest time between probes then.
 */
const FIGURES_AGE_MS = 100;
/** Time after a probe until the next one while no requests are sent. */
const IDLE_FIGURES_AGE_MS = 1000;
/** Time after a request for which the worker counts as active. */
const ACTIVE_MS = 1000;
/** Change of utilization that is published at once. */
const TOLD_BUSY_SHARE = 0.45;
/** Change of the natural logarithm of the pace that is published at once. */
const TOLD_PACE_CHANGE = 0.25;
/** Consecutive lost connections that indicate a restart of the worker. */
const LOST_STREAK = 2;
/** Time for which requests are refused after a connection failure. */
const UNREACHABLE_MS = 500;

/** Admission to one worker with known slots. */
export class SlotAdmission implements WorkerAdmission {
  private readonly queue = new RankQueue<Waiting>();
  private readonly knee: KneeLimit;
  private readonly cold: ColdRate;
  private readonly rules = new WaitRules(route => this.computeServiceMs(route));
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
  handleChange: () => void = () => {};
  private toldLoad: WorkerLoad | undefined;

  constructor(
    slots: number,
    private limits: Profile['limits'],
    private readonly now: () => number = () => performance.now(),
    private readonly timers: Timers = SYSTEM_TIMERS,
  ) {
    this.knee = new KneeLimit(slots);
    this.cold = new ColdRate(limits.coldRate);
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
    this.sendChange();
  }

  resetToCold(): void {
    this.cold.reset();
  }

  recordProbeAnswer({coldMs}: ProbeAnswer): void {
    this.unreachableUntil = -Infinity;
    this.lostStreak = 0;
    this.cold.recordProof(coldMs ?? 0, this.now());
    this.serveQueue();
  }

  recordUnreachable(): void {
    this.unreachableUntil = this.now() + UNREACHABLE_MS;
    this.cold.reset();
    this.refuseAll(Reason.WORKER_GONE);
    this.sendChange();
  }

  recordFigures(figures: UpstreamFigures): void {
    this.pace = figures.pace;
    this.figuresAt = this.now();
    this.sendChange();
  }

  hasStaleFigures(lastProbeAt: number): boolean {
    const now = this.now();
    if (this.isDraining) return false;
    const isActive = this.inFlight > 0 || now - this.lastSentAt < ACTIVE_MS;
    if (!isActive) return now - lastProbeAt > IDLE_FIGURES_AGE_MS;
    if (now - lastProbeAt < FIGURES_AGE_MS) return false;
    const isBound = this.cold.isCold(now) || this.isNearColdBound(now);
    return isBound || now - this.figuresAt > FIGURES_AGE_MS;
  }

  async admit(request: AdmissionRequest, signal: AbortSignal): Promise<Slot> {
    const now = this.now();
    this.checkAble(request, now);
    this.rules.record(request, now);
    const isNext = this.queue.length === 0 || this.isMostImportant(request);
    if (isNext && this.hasRoom(now)) return this.take(request, now);
    const waitMs = this.computeWait(request, now);
    const mostMs = this.computeMostWait(request, now);
    if (waitMs > mostMs || this.queue.length >= this.limits.queueLength) {
      throw this.buildFull(now, waitMs);
    }
    return this.enqueue(request, signal, now, mostMs);
  }

  /**
   * Reports the load if it has changed enough. Smaller changes wait for the
   * next regular message, to save traffic.
   */
  private sendChange(): void {
    const {load, toldLoad} = this;
    const busy = (load.inFlight + load.queued) / load.limit;
    const toldBusy = toldLoad
      ? (toldLoad.inFlight + toldLoad.queued) / toldLoad.limit
      : Infinity;
    const paceChange = load.pace / (toldLoad?.pace ?? Infinity);
    const isNews =
      load.state !== toldLoad?.state ||
      Math.abs(busy - toldBusy) >= TOLD_BUSY_SHARE ||
      Math.abs(Math.log(paceChange)) >= TOLD_PACE_CHANGE;
    if (!isNews) return;
    this.toldLoad = load;
    this.handleChange();
  }

  private findState(): WorkerState {
    const now = this.now();
    if (this.isDraining) return WorkerState.DRAINING;
    if (now < this.unreachableUntil) return WorkerState.FAILING;
    return this.cold.isCold(now) ? WorkerState.COLD : WorkerState.READY;
  }

  private checkAble(request: AdmissionRequest, now: number): void {
    if (this.isDraining) throw new RefusalError(Reason.WORKER_DRAINING);
    if (now < this.unreachableUntil) {
      throw new RefusalError(Reason.WORKER_GONE);
    }
    if (now >= request.deadline) {
      throw new RefusalError(Reason.DEADLINE_EXCEEDED);
    }
  }

  private isNearColdBound(now: number): boolean {
    const rate = this.limits.coldRate;
    return rate !== undefined && this.cold.countSent(now) * 2 >= rate;
  }

  private hasRoom(now: number): boolean {
    const hasWaiting = this.queue.length > 0;
    return this.knee.admit(this.inFlight, hasWaiting) && this.cold.has(now);
  }

  private isMostImportant(request: AdmissionRequest): boolean {
    return (
      this.queue.countAhead(this.rules.computeOrder(request, this.now())) === 0
    );
  }

  /** Returns the expected service time of a route in milliseconds. */
  private computeServiceMs(route: string): number {
    const usual = this.knee.findUsualMs(route);
    const mean = this.serviceMs > 0 ? this.serviceMs : UNKNOWN_SERVICE_MS;
    return usual === undefined ? mean : usual * this.pace;
  }

  /** Returns the expected wait for a slot in milliseconds. */
  private computeWait(request: AdmissionRequest, now: number): number {
    const ahead = this.queue.countAhead(this.rules.computeOrder(request, now));
    const mean = this.serviceMs > 0 ? this.serviceMs : UNKNOWN_SERVICE_MS;
    const slotMs = ((ahead + 1) * mean) / this.knee.value;
    if (!this.cold.isCold(now)) return slotMs;
    const rate = this.limits.coldRate ?? 1;
    return this.cold.computeWait(now) + (ahead * US_PER_MS) / rate;
  }

  private computeMostWait(request: AdmissionRequest, now: number): number {
    const mostMs = this.rules.computeMostWait(request, now);
    return Math.min(this.limits.queueWait, mostMs);
  }

  private enqueue(
    request: AdmissionRequest,
    signal: AbortSignal,
    now: number,
    mostMs: number,
  ): Promise<Slot> {
    return new Promise((resolve, reject) => {
      const handleAbort = (): void => {
        if (this.queue.remove(entry)) {
          entry.reject(findAbortRefusal(signal));
        }
      };
      const settle = (): void =>
        signal.removeEventListener('abort', handleAbort);
      const entry: Waiting = {
        request,
        ...this.rules.computeOrder(request, now),
        expiresAt: Math.min(now + mostMs, request.deadline),
        resolve: slot => {
          settle();
          resolve(slot);
        },
        reject: error => {
          settle();
          reject(error);
        },
      };
      signal.addEventListener('abort', handleAbort, {once: true});
      this.queue.add(entry);
      this.sendChange();
      this.watchQueue();
    });
  }

  private take(request: AdmissionRequest, now: number): Slot {
    this.inFlight += 1;
    this.lastSentAt = now;
    this.cold.add(now);
    const running = this.inFlight;
    const pace = this.pace;
    let isReleased = false;
    this.sendChange();
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
          this.timers.set(() => this.endRun(), CANCELLATION_MS);
        } else this.endRun();
      },
    };
  }

  private endRun(): void {
    this.inFlight -= 1;
    this.serveQueue();
    this.sendChange();
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
    while (this.queue.length > 0 && this.hasRoom(now)) {
      const waiting = this.queue.take()!;
      if (now < waiting.expiresAt) {
        waiting.resolve(this.take(waiting.request, now));
      } else {
        this.refuseWaiting(waiting, now);
      }
    }
    this.watchQueue();
  }

  private refuseWaiting(waiting: Waiting, now: number): void {
    const waitMs = this.computeWait(waiting.request, now);
    waiting.reject(this.buildFull(now, waitMs));
  }

  /** Creates a refusal whose detail holds the state that caused it. */
  private buildFull(now: number, waitMs: number): RefusalError {
    const reason = this.cold.isCold(now)
      ? Reason.WORKER_COLD
      : Reason.QUEUE_TIMEOUT;
    const detail = [
      `running ${this.inFlight} of ${this.knee.value}`,
      `waiting ${this.queue.length}`,
      `sent ${this.cold.countSent(now)} in 1 s`,
      `warm ${Math.round(this.cold.computeProofAge(now))} ms ago`,
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
    if (!this.cold.has(now))
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
      if (this.queue.remove(waiting)) this.refuseWaiting(waiting, now);
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
