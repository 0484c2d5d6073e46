/**
 * Bound on the bytes of the requests that a worker holds. Addresses workers
 * that crash when the requests they hold exceed their memory, whose size no
 * setting and no report tells. The bound is learned from crashes; without one
 * nothing is held back.
 */
import {SlotOutcome} from './concurrency-limit.js';
import {EstimateLog} from './estimate-log.js';
import type {ReportEstimate} from './estimate-log.js';
import type {AdmissionRequest} from './worker-admission.js';

/** Part of the bytes held at a crash that the bound falls to. */
const CRASH_PART = 0.75;
/**
 * Multiple of the usual bytes from which a crash is attributed to memory; the
 * bytes vary by less between requests of similar size.
 */
const CLEAR_FACTOR = 1.5;
/** Part of the bound from which a run or a crash counts as one at the bound. */
const NEAR_PART = 0.9;
/**
 * The same for a run while another request was held back: requests of equal
 * size fill at least this part of a bound that admits one of them.
 */
const HELD_BACK_PART = 0.5;
/** Lower limit of the bound; such bytes exhaust no worker's memory. */
const MIN_BOUND_BYTES = 64 * 1024;
/** Rise of the bound per second of runs at it, far below the last crash. */
const FAST_RISE = 0.005;
/**
 * The same from NEAR_PART of the last crash on: a worker of constant memory
 * then crashes again after 17 minutes at the bound at the earliest.
 */
const SLOW_RISE = 0.0001;
/** Longest time for which one rise is computed. */
const MAX_RISE_MS = 1000;
/**
 * A request up to this part of the bound may pass one that is held back. With
 * 8 slots such requests together stay within IDLE_PART.
 */
const SMALL_PART = 1 / 64;
/**
 * Part of the bound up to which the worker counts as holding nothing else, so
 * that small requests can't keep out one that exceeds the bound by itself.
 */
const IDLE_PART = 1 / 8;
/** Failed runs within this time belong to one crash, as in CrashWatch. */
const LOSS_WINDOW_MS = 30;
/** Longest time from a lost connection until its crash is detected. */
const MAX_DETECTION_MS = 3500;
/** Weight of a new sample in the usual bytes. */
const AVERAGE_WEIGHT = 0.05;

/** Counter and log of a worker's bytes. */
export interface ByteHooks {
  readonly count: (name: string) => void;
  readonly report: ReportEstimate;
}

/**
 * What is known of the memory of a service's workers on this host. It outlives
 * a worker's process, since each crash starts a new one.
 */
export class ByteBound {
  /** Bytes that the worker may hold; infinite before a crash. */
  value = Infinity;
  private usualBytes: number | undefined;
  private crashBytes = Infinity;
  private roseAt = -Infinity;

  /** Records the bytes held when a request starts. */
  recordStart(heldBytes: number): void {
    const usual = this.usualBytes ?? heldBytes;
    this.usualBytes = usual + AVERAGE_WEIGHT * (heldBytes - usual);
  }

  /** Returns the usual bytes. */
  get usual(): number {
    return this.usualBytes ?? 0;
  }

  /** Records a crash; returns whether it was attributed to memory. */
  recordCrash(heldBytes: number, now: number): boolean {
    if (heldBytes < MIN_BOUND_BYTES) return false;
    const isClear =
      heldBytes >= CLEAR_FACTOR * this.usual ||
      heldBytes >= NEAR_PART * this.value;
    if (!isClear) return false;
    this.crashBytes = heldBytes;
    const bound = Math.min(this.value, CRASH_PART * heldBytes);
    this.value = Math.max(MIN_BOUND_BYTES, bound);
    this.roseAt = now;
    return true;
  }

  /**
   * Raises the bound after a run that ended well: at once to the bytes of a
   * request that exceeded it by itself, else slowly.
   */
  recordSuccess(
    ownBytes: number,
    heldBytes: number,
    hasHeldBack: boolean,
    now: number,
  ): void {
    if (this.value === Infinity) return;
    const nearPart = hasHeldBack ? HELD_BACK_PART : NEAR_PART;
    if (heldBytes < nearPart * this.value) return;
    this.value = Math.max(this.value, ownBytes);
    const elapsedMs = Math.min(MAX_RISE_MS, now - this.roseAt);
    const isNearCrash = this.value >= NEAR_PART * this.crashBytes;
    const rise = isNearCrash ? SLOW_RISE : FAST_RISE;
    this.value *= 1 + (rise * elapsedMs) / MAX_RISE_MS;
    this.roseAt = now;
  }
}

interface VersionBound {
  readonly version: string;
  readonly bound: ByteBound;
}

/** Bounds of the services on this host. */
export class ByteBounds {
  private readonly bounds = new Map<string, VersionBound>();

  /** Returns the bound of a service; a new one if its version has changed. */
  find(service: string, version: string): ByteBound {
    const known = this.bounds.get(service);
    if (known?.version === version) return known.bound;
    const bound = new ByteBound();
    this.bounds.set(service, {version, bound});
    return bound;
  }
}

/** A request that a worker holds. */
export interface HeldRequest {
  /** Adds bytes of a body whose length wasn't known before. */
  add(bytes: number): void;
  /** Ends the request; to be called once. */
  end(outcome: SlotOutcome, now: number): void;
}

interface Loss {
  readonly heldBytes: number;
  readonly at: number;
}

/** Bytes of the requests that one worker holds. */
export class WorkerBytes {
  private heldBytes = 0;
  /** Whether a request was held back since the last run that ended well. */
  private hasHeldBack = false;
  private loss: Loss | undefined;
  private readonly log: EstimateLog;

  constructor(
    private readonly bound: ByteBound,
    private readonly isEnabled: () => boolean,
    private readonly hooks: ByteHooks,
  ) {
    this.log = new EstimateLog(hooks.report);
  }

  /** Bytes that the worker holds. */
  get held(): number {
    return this.heldBytes;
  }

  /**
   * Creates a filter to be called with requests in the order in which they are
   * served; it returns whether each may start now. Behind a request that is
   * held back only small ones may, since others could keep it out for ever.
   */
  createFilter(): (request: AdmissionRequest) => boolean {
    if (!this.isBounded) return () => true;
    let hasHeld = false;
    return ({bytes = 0}) => {
      const mayPass = !hasHeld || bytes <= SMALL_PART * this.bound.value;
      if (mayPass && this.hasRoom(bytes)) return true;
      hasHeld = true;
      this.hasHeldBack = true;
      return false;
    };
  }

  /** Counts a request that found a free slot and was held back. */
  recordHeldBack(): void {
    this.hooks.count('admission.held-for-bytes');
  }

  /** Records that the worker gets a request. */
  start(bytes = 0): HeldRequest {
    let ownBytes = 0;
    const add = (more: number): void => {
      ownBytes += more;
      this.heldBytes += more;
    };
    add(bytes);
    const heldAtStart = this.heldBytes;
    if (this.isEnabled()) this.bound.recordStart(heldAtStart);
    return {
      add,
      end: (outcome, now) => {
        if (isLossOutcome(outcome)) this.recordLoss(now);
        const mostBytes = Math.max(heldAtStart, this.heldBytes);
        this.heldBytes -= ownBytes;
        if (outcome !== SlotOutcome.SUCCESS || !this.isEnabled()) return;
        const {hasHeldBack} = this;
        this.hasHeldBack = false;
        this.bound.recordSuccess(ownBytes, mostBytes, hasHeldBack, now);
        this.reportBound(now);
      },
    };
  }

  /** Learns from a crash of the worker. */
  recordCrash(now: number): void {
    const {loss} = this;
    this.loss = undefined;
    if (!this.isEnabled() || !loss) return;
    if (now - loss.at > MAX_DETECTION_MS) return;
    const isLearned = this.bound.recordCrash(loss.heldBytes, now);
    if (isLearned) this.reportBound(now, {heldAtCrash: loss.heldBytes});
  }

  /** Describes the bytes for the detail of a refusal; nothing without bound. */
  describe(): string[] {
    if (!this.isBounded) return [];
    return [`bytes ${this.heldBytes} of ${Math.round(this.bound.value)}`];
  }

  private get isBounded(): boolean {
    return this.bound.value < Infinity && this.isEnabled();
  }

  private hasRoom(bytes: number): boolean {
    const {value} = this.bound;
    if (this.heldBytes + bytes <= value) return true;
    return bytes > value && this.heldBytes <= IDLE_PART * value;
  }

  /** Keeps the bytes at the first of the losses of one crash. */
  private recordLoss(now: number): void {
    if (this.loss && now - this.loss.at <= LOSS_WINDOW_MS) return;
    this.loss = {heldBytes: this.heldBytes, at: now};
  }

  private reportBound(
    now: number,
    further: Readonly<Record<string, number>> = {},
  ): void {
    const {value, usual} = this.bound;
    if (value === Infinity) return;
    // Two digits, so that a slow rise isn't logged each second.
    const rounded = Number(value.toPrecision(2));
    this.log.report('bytes that the worker may hold', rounded, now, {
      held: this.heldBytes,
      usual: Math.round(usual),
      ...further,
    });
  }
}

/** Returns whether a run with this outcome may be one that a crash ended. */
function isLossOutcome(outcome: SlotOutcome): boolean {
  return (
    outcome === SlotOutcome.CONNECTION_LOST || outcome === SlotOutcome.FAILURE
  );
}
