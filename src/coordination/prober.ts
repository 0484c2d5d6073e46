/**
 * Probes of one worker. Requests show a worker's state for nothing, so it is
 * probed only when they don't: when none has ended for a while, or when it
 * fails and gets hardly any. Each probe costs a token of the profile's budget
 * whether or not it is answered, and only the gate beside the worker probes,
 * so the number of nodes doesn't matter.
 */
import type {Profile} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {ProbeAnswer} from '../protocol/worker-load.js';
import {WorkerState} from '../protocol/worker-load.js';
import type {WorkerAdmission} from './worker-admission.js';
import {TokenBucket} from './token-bucket.js';

const CHECK_INTERVAL_MS = 250;
/** Time without an outcome after which a worker's state is unknown. */
const IDLE_MS = 1000;

/** Tokens that regular probes leave for the moment of a lost connection. */
const DOUBT_RESERVE = 1;

/** What a prober works with. */
export interface ProberOptions {
  /** Rejects when no answer came. */
  readonly sendProbe: (
    path: string,
    signal: AbortSignal,
  ) => Promise<ProbeAnswer>;
  readonly admission: WorkerAdmission;
  /** Whether requests left a doubt that a probe would settle. */
  readonly hasDoubt: () => boolean;
  /** Called when the worker accepted no connection. */
  readonly handleUnreachable: () => Promise<void>;
  /** The budget in force; undefined while the service is not configured. */
  readonly findBudget: () => Profile['probes'] | undefined;
  /** Milliseconds between looks whether a probe is needed. */
  readonly checkIntervalMs?: number;
  readonly now?: () => number;
}

/** Prober of one worker. */
export class Prober {
  private readonly now: () => number;
  private readonly bucket: TokenBucket;
  private lastProbeAt = -Infinity;
  private running: Promise<void> | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ProberOptions) {
    this.now = options.now ?? (() => performance.now());
    this.bucket = new TokenBucket(this.now());
  }

  /** Begins to look regularly whether a probe is needed. */
  start(): void {
    const {checkIntervalMs = CHECK_INTERVAL_MS} = this.options;
    this.timer = setInterval(() => void this.run(), checkIntervalMs);
    this.timer.unref();
  }

  /** Sends no further probe. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Sends a probe when one is needed and the budget allows it. */
  async run(): Promise<void> {
    if (this.running || !this.isNeeded()) return;
    const {burst} = this.options.findBudget() ?? {burst: 1};
    const isDoubt = this.options.hasDoubt();
    const reserve = isDoubt ? 0 : Math.min(DOUBT_RESERVE, burst - 1);
    await this.probeNow(reserve);
  }

  /**
   * Sends a probe at once when the budget allows it. One that is under way
   * began before the doubt and may end with the connection that it was on, so
   * that it settles nothing.
   */
  async probeNow(reserve = 0): Promise<void> {
    const {running} = this;
    if (running) {
      await running;
      if (this.isProbing() || !this.options.hasDoubt()) return;
    }
    const budget = this.options.findBudget();
    if (!budget) return;
    const {ratePerSecond, burst} = budget;
    if (!this.bucket.take(ratePerSecond, burst, this.now(), reserve)) return;
    this.lastProbeAt = this.now();
    this.running = this.probe(budget);
    try {
      await this.running;
    } finally {
      this.running = undefined;
    }
  }

  private isProbing(): boolean {
    return this.running !== undefined;
  }

  private isNeeded(): boolean {
    const {admission, hasDoubt} = this.options;
    const {state} = admission.load;
    if (state === WorkerState.DRAINING) return false;
    if (state === WorkerState.FAILING || hasDoubt()) return true;
    const wanted = admission.hasStaleFigures?.(this.lastProbeAt);
    if (wanted !== undefined) return wanted;
    const shownAt = Math.max(admission.lastOutcomeAt, this.lastProbeAt);
    return this.now() - shownAt > IDLE_MS;
  }

  /**
   * The status steers nothing: health paths lag and mislead, so an answer
   * proves only that the worker accepts connections.
   */
  private async probe(budget: Profile['probes']): Promise<void> {
    const {admission, sendProbe, handleUnreachable} = this.options;
    const startedAt = this.now();
    try {
      const signal = AbortSignal.timeout(budget.timeLimit);
      admission.recordProbeAnswer(await sendProbe(budget.path, signal));
    } catch (error) {
      const isUnreachable =
        error instanceof RefusalError && error.reason === Reason.UNREACHABLE;
      // A request that ended meanwhile knows better.
      const isNews = admission.lastOutcomeAt < startedAt;
      if (isUnreachable && isNews) {
        admission.recordUnreachable();
        await handleUnreachable();
      }
    }
  }
}
