/**
 * Probes one worker. Requests already show a worker's state, so a probe is sent
 * only when none has ended for a while, or when the worker is failing and gets
 * few requests. Each probe costs a token of the profile's budget whether or not
 * it is answered. Only the worker's local gate probes it, so the number of
 * probes does not depend on the number of nodes.
 */
import type {Profile} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {ProbeAnswer} from '../protocol/worker-load.js';
import {WorkerState} from '../protocol/worker-load.js';
import type {WorkerAdmission} from './admission/worker-admission.js';
import {TokenBucket} from './token-bucket.js';

const CHECK_INTERVAL_MS = 250;
/** The same while the worker is idle; its next request is then some time off. */
const IDLE_CHECK_INTERVAL_MS = 250;
/** Age of the newest outcome after which a worker's state is unknown. */
const MAX_OUTCOME_AGE_MS = 1000;

/** Tokens that regular probes leave for probes after a lost connection. */
const LOST_CONNECTION_RESERVE = 1;

/** Options of a prober. */
export interface ProberOptions {
  /** Sends a probe; rejects when it is not answered. */
  readonly sendProbe: (
    path: string,
    signal: AbortSignal,
  ) => Promise<ProbeAnswer>;
  readonly admission: WorkerAdmission;
  /** Whether a lost connection is unexplained, which a probe may settle. */
  readonly hasUnexplainedLoss: () => boolean;
  /** Handles a probe whose connection the worker did not accept. */
  readonly handleUnreachable: () => Promise<void>;
  /** Returns the current budget; undefined for an unconfigured service. */
  readonly findBudget: () => Profile['probes'] | undefined;
  /** Milliseconds between checks whether a probe is needed. */
  readonly checkIntervalMs?: number;
  readonly now?: () => number;
}

/** Probes one worker. */
export class Prober {
  private readonly now: () => number;
  private readonly bucket: TokenBucket;
  private lastProbeAt = -Infinity;
  private running: Promise<void> | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: ProberOptions) {
    this.now = options.now ?? (() => performance.now());
    this.bucket = new TokenBucket(this.now());
  }

  /** Starts to check periodically whether a probe is needed. */
  start(): void {
    this.isStopped = false;
    this.scheduleCheck();
  }

  /** Stops the periodic checks. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Sends a probe when one is needed and the budget allows it. */
  async run(): Promise<void> {
    if (this.running || !this.isNeeded()) return;
    const {burst} = this.options.findBudget() ?? {burst: 1};
    const isLossUnexplained = this.options.hasUnexplainedLoss();
    const reserve = isLossUnexplained
      ? 0
      : Math.min(LOST_CONNECTION_RESERVE, burst - 1);
    await this.probeNow(reserve);
  }

  /**
   * Sends a probe at once when the budget allows it. First waits for a probe in
   * progress: that one started before the connection was lost and may fail with
   * its own connection, so it does not show whether the worker crashed.
   *
   * @param reserve Tokens to leave in the bucket.
   */
  async probeNow(reserve = 0): Promise<void> {
    const {running} = this;
    if (running) {
      await running;
      if (this.isProbing() || !this.options.hasUnexplainedLoss()) return;
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

  private scheduleCheck(): void {
    if (this.isStopped) return;
    const {admission, checkIntervalMs = CHECK_INTERVAL_MS} = this.options;
    const {inFlight, queued} = admission.load;
    const isIdle = inFlight === 0 && queued === 0;
    const intervalMs = isIdle
      ? Math.max(checkIntervalMs, IDLE_CHECK_INTERVAL_MS)
      : checkIntervalMs;
    this.timer = setTimeout(() => {
      void this.run();
      this.scheduleCheck();
    }, intervalMs);
    this.timer.unref();
  }

  private isProbing(): boolean {
    return this.running !== undefined;
  }

  private isNeeded(): boolean {
    const {admission, hasUnexplainedLoss} = this.options;
    const {state} = admission.load;
    if (state === WorkerState.DRAINING) return false;
    if (state === WorkerState.FAILING || hasUnexplainedLoss()) return true;
    const isProbeDue = admission.hasStaleFigures?.(this.lastProbeAt);
    if (isProbeDue !== undefined) return isProbeDue;
    const lastEvidenceAt = Math.max(admission.lastOutcomeAt, this.lastProbeAt);
    return this.now() - lastEvidenceAt > MAX_OUTCOME_AGE_MS;
  }

  /**
   * Sends one probe and records its result. The status is ignored: health
   * endpoints lag and mislead, so an answer only proves that the worker accepts
   * connections.
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
      // A request that ended in the meantime is newer evidence.
      const isLatest = admission.lastOutcomeAt < startedAt;
      if (isUnreachable && isLatest) {
        admission.recordUnreachable();
        await handleUnreachable();
      }
    }
  }
}
