/**
 * Adaptive concurrency limit of one worker. What a worker bears changes
 * without notice, so the limit follows evidence: it starts at what a cold
 * worker bears, doubles per window of good answers, and falls back at once on
 * a burst of failures or a jump of the service time over its long-term
 * baseline. A worker that fails even then gets single, paced trials.
 */
import {LatencyBaseline} from './latency-baseline.js';

/** How a request left its slot. */
export const SlotOutcome = {
  SUCCESS: 'success',
  /** The worker answered with a server error or cut its answer. */
  FAILURE: 'failure',
  /** The worker shed the request. */
  SHED: 'shed',
  /** The connection was lost after the request was sent. */
  CONNECTION_LOST: 'connection-lost',
  /** No connection came about, so nothing was sent. */
  UNREACHABLE: 'unreachable',
  /** The caller went away or the deadline passed. */
  CANCELLED: 'cancelled',
} as const;

export type SlotOutcome = (typeof SlotOutcome)[keyof typeof SlotOutcome];

/** Phases of a limit. */
export const LimitPhase = {
  /** Ramps from what a cold worker bears. */
  COLD: 'cold',
  /** Follows demand by small steps up to the worker's slots. */
  READY: 'ready',
  /** Lets single trials through at growing intervals. */
  FAILING: 'failing',
} as const;

export type LimitPhase = (typeof LimitPhase)[keyof typeof LimitPhase];

/** One finished request as the limit sees it. */
export interface LimitSample {
  readonly outcome: SlotOutcome;
  readonly route: string;
  readonly serviceTimeMs: number;
  /** Generation of the limit when the request was sent. */
  readonly generation: number;
}

/** What bounds a limit. */
export interface LimitBounds {
  readonly slots: number;
  /** Concurrent requests that a cold worker bears. */
  readonly coldConcurrency: number;
}

/** Newest outcomes in which a burst of failures is looked for. */
const BURST_OUTCOMES = 10;
const BURST_FAILURES = 5;
/** A ramping worker is judged more strictly. */
const COLD_BURST_FAILURES = 2;
/** Failures in a row, at what a cold worker bears, that prove it failing. */
const FAILING_STREAK = 5;
/** Lost connections in a row that show a restart of the worker. */
const LOST_STREAK = 2;
const READY_WINDOW_SUCCESSES = 16;
const COLD_WINDOW_SUCCESSES = 8;
/** Each collapse during a ramp doubles its window up to this length. */
const MAX_COLD_WINDOW_SUCCESSES = 256;
const GROWTH_LATENCY_RATIO = 1.5;
const SHRINK_LATENCY_RATIO = 2;
const COLLAPSE_LATENCY_RATIO = 3;
const LATENCY_SHRINK_FACTOR = 0.75;
const LATENCY_JUMP_FACTOR = 0.5;
/** Windows in a row with a jump after which a worker counts as cold. */
const COLLAPSE_WINDOWS = 2;
const SHED_SHRINK_FACTOR = 0.75;
const FIRST_TRIAL_PAUSE_MS = 100;
const MAX_TRIAL_PAUSE_MS = 2000;
/** Good trials in a row that end the failing phase. */
const TRIAL_SUCCESSES = 2;

type RecordHandler = (sample: LimitSample, now: number) => void;

/** Concurrency limit of one worker. */
export class ConcurrencyLimit {
  private limit: number;
  private currentPhase: LimitPhase = LimitPhase.COLD;
  private currentGeneration = 0;
  private isHeld = false;
  private coldWindow = COLD_WINDOW_SUCCESSES;
  private outcomes: boolean[] = [];
  private ratios: number[] = [];
  private wasFullyUsed = false;
  private failureStreak = 0;
  private lostStreak = 0;
  private jumpStreak = 0;
  /**
   * Ratio to the baseline at which less concurrency made nothing faster. Only
   * what is slower than this speaks against more concurrency.
   */
  private reference = 1;
  private trialSuccesses = 0;
  private trialPauseMs = FIRST_TRIAL_PAUSE_MS;
  private nextTrialAt = 0;
  private wasUnreachable = false;
  private readonly baseline = new LatencyBaseline();

  private readonly handlers: Readonly<Record<LimitPhase, RecordHandler>> = {
    cold: (sample, now) => this.recordCold(sample, now),
    ready: sample => this.recordReady(sample),
    failing: (sample, now) => this.recordTrial(sample, now),
  };

  constructor(private bounds: LimitBounds) {
    this.limit = this.computeColdLimit();
  }

  /** Concurrent requests that may be in flight now. */
  get value(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  get phase(): LimitPhase {
    return this.currentPhase;
  }

  /** Changes at each collapse; older requests tell nothing of the new limit. */
  get generation(): number {
    return this.currentGeneration;
  }

  /** Takes over changed bounds. */
  update(bounds: LimitBounds): void {
    this.bounds = bounds;
    this.limit = Math.min(this.limit, bounds.slots);
  }

  /** Holds the limit at what a cold worker bears until released. */
  holdCold(): void {
    if (this.isHeld) return;
    this.isHeld = true;
    if (this.currentPhase !== LimitPhase.FAILING) this.resetToCold();
  }

  /** Lets a held limit ramp on evidence from now on. */
  releaseCold(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.clearEvidence();
  }

  /** Falls back to what a cold worker bears. */
  resetToCold(): void {
    this.currentPhase = LimitPhase.COLD;
    this.limit = this.computeColdLimit();
    this.currentGeneration += 1;
    this.clearEvidence();
  }

  /** Whether one more request may be sent beside those in flight. */
  admit(inFlight: number, now: number): boolean {
    if (this.currentPhase === LimitPhase.FAILING) {
      return inFlight === 0 && now >= this.nextTrialAt;
    }
    const isAdmitted = inFlight < this.value;
    if (inFlight + 1 >= this.value) this.wasFullyUsed = true;
    return isAdmitted;
  }

  /** Share of the mean cost that a request of a route has. */
  computeCost(route: string): number {
    return this.baseline.computeCost(route);
  }

  /** Takes the outcome of a request into account. */
  record(sample: LimitSample, now: number): void {
    if (sample.outcome === SlotOutcome.UNREACHABLE) {
      this.recordUnreachable(now);
      return;
    }
    if (sample.generation !== this.currentGeneration) return;
    this.handlers[this.currentPhase](sample, now);
  }

  /** Notes that the worker accepts no connection. */
  recordUnreachable(now: number): void {
    this.wasUnreachable = true;
    this.startFailing(now);
  }

  /**
   * Notes that a probe was answered. It ends the failing phase only when no
   * connection had come about; failures of requests weigh more than a probe.
   */
  recordProbeAnswer(): void {
    const isBack =
      this.currentPhase === LimitPhase.FAILING && this.wasUnreachable;
    if (isBack) this.endFailing();
  }

  private recordCold(sample: LimitSample, now: number): void {
    const isLost = this.watchLostConnections(sample);
    if (isLost || !this.addSample(sample)) return;
    if (this.failureStreak >= FAILING_STREAK) {
      this.startFailing(now);
      return;
    }
    const isRamping = this.limit > this.computeColdLimit();
    const failures = countFailures(this.outcomes);
    if (isRamping && failures >= COLD_BURST_FAILURES) {
      this.resetRamp();
      return;
    }
    if (this.ratios.length >= this.coldWindow) this.endColdWindow(isRamping);
  }

  private endColdWindow(isRamping: boolean): void {
    const median = computeMedian(this.ratios);
    if (!isRamping) this.reference = Math.max(1, median);
    const ratio = this.takeRatio(median);
    if (isRamping && ratio > COLLAPSE_LATENCY_RATIO) {
      this.resetRamp();
      return;
    }
    const canGrow = !this.isHeld && ratio <= GROWTH_LATENCY_RATIO;
    const wasFullyUsed = this.wasFullyUsed;
    this.clearEvidence();
    if (!canGrow) return;
    if (wasFullyUsed) this.limit = Math.min(this.bounds.slots, this.limit * 2);
    if (!wasFullyUsed || this.limit >= this.bounds.slots) this.startReady();
  }

  private startReady(): void {
    this.currentPhase = LimitPhase.READY;
    this.coldWindow = COLD_WINDOW_SUCCESSES;
    this.trialPauseMs = FIRST_TRIAL_PAUSE_MS;
    this.wasUnreachable = false;
  }

  /** Starts over and asks for more evidence than before. */
  private resetRamp(): void {
    this.coldWindow = Math.min(MAX_COLD_WINDOW_SUCCESSES, this.coldWindow * 2);
    this.resetToCold();
  }

  private recordReady(sample: LimitSample): void {
    const isLost = this.watchLostConnections(sample);
    if (isLost || !this.addSample(sample)) return;
    if (countFailures(this.outcomes) >= BURST_FAILURES) {
      this.resetRamp();
      return;
    }
    if (sample.outcome === SlotOutcome.SHED)
      this.applyFactor(SHED_SHRINK_FACTOR);
    if (this.ratios.length >= READY_WINDOW_SUCCESSES) this.endReadyWindow();
  }

  private endReadyWindow(): void {
    const ratio = this.takeRatio(computeMedian(this.ratios));
    const isJump = ratio > COLLAPSE_LATENCY_RATIO;
    this.jumpStreak = isJump ? this.jumpStreak + 1 : 0;
    const canGrow = this.wasFullyUsed && countFailures(this.outcomes) === 0;
    this.ratios = [];
    this.wasFullyUsed = false;
    if (this.jumpStreak >= COLLAPSE_WINDOWS) this.resetToCold();
    else if (isJump) this.applyFactor(LATENCY_JUMP_FACTOR);
    else if (ratio > SHRINK_LATENCY_RATIO)
      this.applyFactor(LATENCY_SHRINK_FACTOR);
    else if (ratio <= GROWTH_LATENCY_RATIO && canGrow) {
      this.limit = Math.min(this.bounds.slots, this.limit + 1);
    }
  }

  /** Relates a ratio to the reference, which falls with it at once. */
  private takeRatio(median: number): number {
    this.reference = Math.max(1, Math.min(this.reference, median));
    return median / this.reference;
  }

  /** Lowers the limit, but not below what a cold worker bears. */
  private applyFactor(factor: number): void {
    this.limit = Math.max(this.computeColdLimit(), this.limit * factor);
  }

  private recordTrial(sample: LimitSample, now: number): void {
    if (sample.outcome === SlotOutcome.CANCELLED) return;
    if (sample.outcome !== SlotOutcome.SUCCESS) {
      this.startFailing(now);
      return;
    }
    this.trialSuccesses += 1;
    this.nextTrialAt = now;
    if (this.trialSuccesses >= TRIAL_SUCCESSES) this.endFailing();
  }

  private startFailing(now: number): void {
    const isNew = this.currentPhase !== LimitPhase.FAILING;
    this.currentPhase = LimitPhase.FAILING;
    this.limit = 1;
    this.trialSuccesses = 0;
    if (isNew) this.currentGeneration += 1;
    if (now < this.nextTrialAt) return;
    this.nextTrialAt = now + this.trialPauseMs;
    this.trialPauseMs = Math.min(MAX_TRIAL_PAUSE_MS, this.trialPauseMs * 2);
  }

  private endFailing(): void {
    this.wasUnreachable = false;
    this.resetToCold();
  }

  /** Whether lost connections in a row sent the limit back to cold. */
  private watchLostConnections({outcome}: LimitSample): boolean {
    if (outcome === SlotOutcome.CANCELLED) return false;
    const isLost = outcome === SlotOutcome.CONNECTION_LOST;
    this.lostStreak = isLost ? this.lostStreak + 1 : 0;
    if (this.lostStreak < LOST_STREAK) return false;
    const isCold =
      this.currentPhase === LimitPhase.COLD &&
      this.limit <= this.computeColdLimit();
    if (isCold) return false;
    this.resetRamp();
    return true;
  }

  /** Adds a sample to the evidence; false when it says nothing. */
  private addSample({outcome, route, serviceTimeMs}: LimitSample): boolean {
    if (outcome === SlotOutcome.CANCELLED) {
      // A cancelled request took at least this long.
      const ratio = this.baseline.computeRatio(route, serviceTimeMs);
      if (ratio > COLLAPSE_LATENCY_RATIO) this.ratios.push(ratio);
      return ratio > COLLAPSE_LATENCY_RATIO;
    }
    const isSuccess = outcome === SlotOutcome.SUCCESS;
    this.outcomes.push(isSuccess);
    if (this.outcomes.length > BURST_OUTCOMES) this.outcomes.shift();
    this.failureStreak = isSuccess ? 0 : this.failureStreak + 1;
    if (isSuccess) this.ratios.push(this.baseline.add(route, serviceTimeMs));
    return true;
  }

  private clearEvidence(): void {
    this.outcomes = [];
    this.ratios = [];
    this.wasFullyUsed = false;
    this.failureStreak = 0;
    this.lostStreak = 0;
    this.jumpStreak = 0;
  }

  private computeColdLimit(): number {
    return Math.min(this.bounds.coldConcurrency, this.bounds.slots);
  }
}

function countFailures(outcomes: readonly boolean[]): number {
  return outcomes.reduce((count, isGood) => count + (isGood ? 0 : 1), 0);
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[sorted.length >> 1] ?? 1;
}
