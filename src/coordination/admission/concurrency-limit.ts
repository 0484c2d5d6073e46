/**
 * Adaptive concurrency limit of one worker. The capacity of a worker changes
 * without notice, so the limit follows the outcomes of requests: it starts at
 * the concurrency of a cold worker, doubles with each window of successful
 * answers, and falls back at once on a burst of failures or a jump of the
 * service time over its long-term baseline. A worker that keeps failing at the
 * cold limit gets single trial requests at growing intervals.
 */
import {LatencyBaseline} from './latency-baseline.js';

/** Outcome with which a request releases its slot. */
export const SlotOutcome = {
  SUCCESS: 'success',
  /** The worker answered with a server error or truncated its answer. */
  FAILURE: 'failure',
  /** The worker rejected the request to shed load. */
  SHED: 'shed',
  /** The connection was lost after the request was sent. */
  CONNECTION_LOST: 'connection-lost',
  /** No connection could be established, so nothing was sent. */
  UNREACHABLE: 'unreachable',
  /** The caller disconnected or the deadline passed. */
  CANCELLED: 'cancelled',
} as const;

export type SlotOutcome = (typeof SlotOutcome)[keyof typeof SlotOutcome];

/** Phases of a concurrency limit. */
export const LimitPhase = {
  /** Doubles per window, from the concurrency of a cold worker. */
  COLD: 'cold',
  /** Grows with demand in steps of one, up to the worker's slots. */
  READY: 'ready',
  /** Admits single trial requests at growing intervals. */
  FAILING: 'failing',
} as const;

export type LimitPhase = (typeof LimitPhase)[keyof typeof LimitPhase];

/** A finished request as recorded by the limit. */
export interface LimitSample {
  readonly outcome: SlotOutcome;
  readonly route: string;
  readonly serviceTimeMs: number;
  /** Generation of the limit when the request was sent. */
  readonly generation: number;
}

/** Bounds of a concurrency limit. */
export interface LimitBounds {
  readonly slots: number;
  /** Number of concurrent requests allowed while the worker is cold. */
  readonly coldConcurrency: number;
}

/** Number of latest outcomes in which a burst of failures is detected. */
const BURST_OUTCOMES = 10;
const BURST_FAILURES = 5;
/** Failures that make a burst while the limit ramps up. */
const RAMP_BURST_FAILURES = 2;
/** Consecutive failures in the cold phase that start the failing phase. */
const FAILING_STREAK = 5;
/** Consecutive lost connections that indicate a restart of the worker. */
const LOST_STREAK = 2;
const READY_WINDOW_SUCCESSES = 16;
const COLD_WINDOW_SUCCESSES = 8;
/** Each failed ramp doubles the window up to this length. */
const MAX_COLD_WINDOW_SUCCESSES = 256;
const GROWTH_LATENCY_RATIO = 1.5;
const SHRINK_LATENCY_RATIO = 2;
const COLLAPSE_LATENCY_RATIO = 3;
const LATENCY_SHRINK_FACTOR = 0.75;
const LATENCY_JUMP_FACTOR = 0.5;
/** Consecutive windows with a latency jump after which the limit is reset. */
const COLLAPSE_WINDOWS = 2;
const SHED_SHRINK_FACTOR = 0.75;
const FIRST_TRIAL_PAUSE_MS = 100;
const MAX_TRIAL_PAUSE_MS = 2000;
/** Consecutive successful trials that end the failing phase. */
const TRIAL_SUCCESSES = 2;

type RecordHandler = (sample: LimitSample, now: number) => void;

/** Adaptive concurrency limit of one worker. */
export class ConcurrencyLimit {
  private limit: number;
  private currentPhase: LimitPhase = LimitPhase.COLD;
  private currentGeneration = 0;
  private isHeldCold = false;
  private coldWindow = COLD_WINDOW_SUCCESSES;
  private outcomes: boolean[] = [];
  private ratios: number[] = [];
  private wasFullyUsed = false;
  private failureStreak = 0;
  private lostStreak = 0;
  private jumpStreak = 0;
  /**
   * Latency ratio to the baseline that remained when concurrency was lowered.
   * Latency up to it isn't caused by concurrency, so only a higher ratio is a
   * reason to lower the limit.
   */
  private referenceRatio = 1;
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

  /** Number of requests that may be in flight now. */
  get value(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  get phase(): LimitPhase {
    return this.currentPhase;
  }

  /**
   * Number that changes at each reset of the limit. Outcomes of requests that
   * were sent in an earlier generation are ignored.
   */
  get generation(): number {
    return this.currentGeneration;
  }

  /** Applies changed bounds. */
  update(bounds: LimitBounds): void {
    this.bounds = bounds;
    this.limit = Math.min(this.limit, bounds.slots);
  }

  /** Holds the limit at the cold concurrency until it is released. */
  holdCold(): void {
    if (this.isHeldCold) return;
    this.isHeldCold = true;
    if (this.currentPhase !== LimitPhase.FAILING) this.resetToCold();
  }

  /** Lets a held limit ramp up again with successful answers. */
  releaseCold(): void {
    if (!this.isHeldCold) return;
    this.isHeldCold = false;
    this.clearSamples();
  }

  /** Resets the limit to the cold concurrency. */
  resetToCold(): void {
    this.currentPhase = LimitPhase.COLD;
    this.limit = this.computeColdLimit();
    this.currentGeneration += 1;
    this.clearSamples();
  }

  /** Returns whether one more request may be sent beside those in flight. */
  admit(inFlight: number, now: number): boolean {
    if (this.currentPhase === LimitPhase.FAILING) {
      return inFlight === 0 && now >= this.nextTrialAt;
    }
    const isAdmitted = inFlight < this.value;
    if (inFlight + 1 >= this.value) this.wasFullyUsed = true;
    return isAdmitted;
  }

  /** Returns the cost of a request of a route, where 1 is the mean cost. */
  computeCost(route: string): number {
    return this.baseline.computeCost(route);
  }

  /** Updates the limit with the outcome of a request. */
  record(sample: LimitSample, now: number): void {
    if (sample.outcome === SlotOutcome.UNREACHABLE) {
      this.recordUnreachable(now);
      return;
    }
    if (sample.generation !== this.currentGeneration) return;
    this.handlers[this.currentPhase](sample, now);
  }

  /** Records that no connection to the worker could be established. */
  recordUnreachable(now: number): void {
    this.wasUnreachable = true;
    this.startFailing(now);
  }

  /**
   * Records an answered probe. It ends the failing phase only if no connection
   * could be established before; requests that fail outweigh a probe.
   */
  recordProbeAnswer(): void {
    const canRecover =
      this.currentPhase === LimitPhase.FAILING && this.wasUnreachable;
    if (canRecover) this.endFailing();
  }

  private recordCold(sample: LimitSample, now: number): void {
    const isLost = this.recordConnectionOutcome(sample);
    if (isLost || !this.addSample(sample)) return;
    if (this.failureStreak >= FAILING_STREAK) {
      this.startFailing(now);
      return;
    }
    const isRamping = this.limit > this.computeColdLimit();
    const failures = countFailures(this.outcomes);
    if (isRamping && failures >= RAMP_BURST_FAILURES) {
      this.resetRamp();
      return;
    }
    if (this.ratios.length >= this.coldWindow) this.endColdWindow(isRamping);
  }

  private endColdWindow(isRamping: boolean): void {
    const median = computeMedian(this.ratios);
    if (!isRamping) this.referenceRatio = Math.max(1, median);
    const ratio = this.compareToReference(median);
    if (isRamping && ratio > COLLAPSE_LATENCY_RATIO) {
      this.resetRamp();
      return;
    }
    const canGrow = !this.isHeldCold && ratio <= GROWTH_LATENCY_RATIO;
    const wasFullyUsed = this.wasFullyUsed;
    this.clearSamples();
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

  /** Restarts the ramp with twice the window, up to the maximum. */
  private resetRamp(): void {
    this.coldWindow = Math.min(MAX_COLD_WINDOW_SUCCESSES, this.coldWindow * 2);
    this.resetToCold();
  }

  private recordReady(sample: LimitSample): void {
    const isLost = this.recordConnectionOutcome(sample);
    if (isLost || !this.addSample(sample)) return;
    if (countFailures(this.outcomes) >= BURST_FAILURES) {
      this.resetRamp();
      return;
    }
    if (sample.outcome === SlotOutcome.SHED)
      this.applyShrinkFactor(SHED_SHRINK_FACTOR);
    if (this.ratios.length >= READY_WINDOW_SUCCESSES) this.endReadyWindow();
  }

  private endReadyWindow(): void {
    const ratio = this.compareToReference(computeMedian(this.ratios));
    const isJump = ratio > COLLAPSE_LATENCY_RATIO;
    this.jumpStreak = isJump ? this.jumpStreak + 1 : 0;
    const canGrow = this.wasFullyUsed && countFailures(this.outcomes) === 0;
    this.ratios = [];
    this.wasFullyUsed = false;
    if (this.jumpStreak >= COLLAPSE_WINDOWS) this.resetToCold();
    else if (isJump) this.applyShrinkFactor(LATENCY_JUMP_FACTOR);
    else if (ratio > SHRINK_LATENCY_RATIO)
      this.applyShrinkFactor(LATENCY_SHRINK_FACTOR);
    else if (ratio <= GROWTH_LATENCY_RATIO && canGrow) {
      this.limit = Math.min(this.bounds.slots, this.limit + 1);
    }
  }

  /**
   * Returns the ratio of a median to the reference, after lowering the
   * reference to the median if that is less.
   */
  private compareToReference(median: number): number {
    this.referenceRatio = Math.max(1, Math.min(this.referenceRatio, median));
    return median / this.referenceRatio;
  }

  /** Lowers the limit, but not below the cold concurrency. */
  private applyShrinkFactor(factor: number): void {
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

  /**
   * Counts consecutive lost connections; returns whether they reset the limit.
   */
  private recordConnectionOutcome({outcome}: LimitSample): boolean {
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

  /** Adds a sample; returns false if it was ignored. */
  private addSample({outcome, route, serviceTimeMs}: LimitSample): boolean {
    if (outcome === SlotOutcome.CANCELLED) {
      // The time until a cancellation is a lower bound of the service time.
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

  private clearSamples(): void {
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
