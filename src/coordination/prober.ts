/**
 * Probes of one worker. Requests show a worker's state for nothing, so it is
 * probed only when they don't: when none has ended for a while, or when it
 * fails and gets hardly any. Each probe costs a token of the profile's budget
 * whether or not it is answered, and only the gate beside the worker probes,
 * so the number of nodes doesn't matter.
 */
import type {Profile} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import {WorkerState} from '../protocol/worker-load.js';
import type {Admission} from './admission.js';
import {TokenBucket} from './token-bucket.js';

const CHECK_INTERVAL_MS = 250;
/** Time without an outcome after which a worker's state is unknown. */
const IDLE_MS = 1000;

/** What a prober works with. */
export interface ProberOptions {
  /** Resolves with the HTTP status; rejects when no answer came. */
  readonly sendProbe: (path: string, signal: AbortSignal) => Promise<number>;
  readonly admission: Admission;
  /** Whether requests left a doubt that a probe would settle. */
  readonly hasDoubt: () => boolean;
  /** Called when the worker accepted no connection. */
  readonly handleUnreachable: () => Promise<void>;
  /** The budget in force; undefined while the service is not configured. */
  readonly findBudget: () => Profile['probes'] | undefined;
  readonly now?: () => number;
}

/** Prober of one worker. */
export class Prober {
  private readonly now: () => number;
  private readonly bucket: TokenBucket;
  private lastProbeAt = -Infinity;
  private isProbing = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ProberOptions) {
    this.now = options.now ?? (() => performance.now());
    this.bucket = new TokenBucket(this.now());
  }

  /** Begins to look regularly whether a probe is needed. */
  start(): void {
    this.timer = setInterval(() => void this.run(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Sends no further probe. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Sends a probe when one is needed and the budget allows it. */
  async run(): Promise<void> {
    if (this.isNeeded()) await this.probeNow();
  }

  /** Sends a probe at once when the budget allows it. */
  async probeNow(): Promise<void> {
    const budget = this.options.findBudget();
    if (!budget || this.isProbing) return;
    const {ratePerSecond, burst} = budget;
    if (!this.bucket.take(ratePerSecond, burst, this.now())) return;
    this.lastProbeAt = this.now();
    this.isProbing = true;
    try {
      await this.probe(budget);
    } finally {
      this.isProbing = false;
    }
  }

  private isNeeded(): boolean {
    const {admission, hasDoubt} = this.options;
    const {state} = admission.load;
    if (state === WorkerState.DRAINING) return false;
    if (state === WorkerState.FAILING || hasDoubt()) return true;
    const shownAt = Math.max(admission.lastOutcomeAt, this.lastProbeAt);
    return this.now() - shownAt > IDLE_MS;
  }

  /**
   * The status is not read: health paths lag and mislead, so an answer proves
   * only that the worker accepts connections.
   */
  private async probe(budget: Profile['probes']): Promise<void> {
    const {admission, sendProbe, handleUnreachable} = this.options;
    const startedAt = this.now();
    try {
      await sendProbe(budget.path, AbortSignal.timeout(budget.timeLimit));
      admission.recordProbeAnswer();
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
