/**
 * Admits fewer requests whose nested calls fail. The load that it addresses is
 * a called service without capacity: each run that makes a call there holds a
 * slot, waits and fails with its call, so that the work done so far is wasted
 * and the calls keep the called service overloaded. A request refused before it
 * runs costs nothing and can come back.
 *
 * The node beside the worker that runs the parents sees how the calls end,
 * because they come in at its own entry. Which kinds (routes) make calls is
 * learned from calls that arrive while only one kind runs here.
 */
import {Reason, RefusalError} from '../../protocol/reasons.js';
import {Verdict} from '../../protocol/verdict.js';
import type {ReportEstimate} from './estimate-log.js';
import {EstimateLog} from './estimate-log.js';

/** How a nested call ended; `late` is after its target. */
export type CallOutcome = 'served' | 'late' | 'refused';

/** Time constant with which outcomes of calls are forgotten. */
const OUTCOME_MEMORY_MS = 2000;
/**
 * Fewest recent calls from which a failing part is computed, so that single
 * failures have no effect.
 */
const MIN_CALLS = 8;
/**
 * Part of failed calls above which fewer parents are admitted: with two calls
 * per run, half of the runs fail at 0.3.
 */
const MAX_FAILED_PART = 0.3;
/**
 * Part below which more are admitted. Between the two the level holds, which
 * keeps it from alternating.
 */
const MIN_FAILED_PART = 0.1;
/**
 * Interval of changes, and the change of the level. A whole kind takes ten
 * steps, longer than outcomes are remembered, so that the effect of a step is
 * seen before many more follow.
 */
const STEP_INTERVAL_MS = 250;
const LEVEL_PER_STEP = 0.1;
/** Smallest part of a kind that is admitted. */
const MIN_SHARE = 0.25;
/** Calls after which a kind is known to call a service. */
const MIN_SEEN_CALLS = 3;
/** Time after which a kind that made no call is no longer a parent. */
const CALLER_RETENTION_MS = 30_000;
/** Weight of a new interval in the moving average of a kind's arrivals. */
const AVERAGE_WEIGHT = 0.1;
/** Kinds and called services tracked; further ones are admitted. */
const MAX_KINDS = 64;
const MAX_CALLED = 32;

/** A request that may make nested calls. */
export interface ParentRequest {
  readonly service: string;
  readonly route: string;
  readonly rank: number;
  readonly isNested?: boolean;
}

/** Hooks of the admission of parents. */
export interface ParentHooks {
  readonly count: (name: string) => void;
  readonly report: ReportEstimate;
}

interface Kind {
  readonly service: string;
  readonly route: string;
  rank: number;
  /** Services that this kind calls, with the number and time of calls. */
  readonly calls: Map<string, {count: number; lastAt: number}>;
  /** Part of the next admission that has accumulated. */
  credit: number;
  intervalMs: number;
  lastArrivalAt: number;
  readonly log: EstimateLog;
}

/** Recent outcomes of the calls to one service. */
interface CalledService {
  calls: number;
  failed: number;
  updatedAt: number;
  /** Number of ranks thinned to the smallest share, least urgent first. */
  level: number;
  steppedAt: number;
}

/** Returns the key of a kind of request. */
export function formatKind(service: string, route: string): string {
  return `${service}/${route}`;
}

/** Admits the requests of one host by the outcomes of the calls they make. */
export class ParentAdmission {
  private readonly kinds = new Map<string, Kind>();
  private readonly called = new Map<string, CalledService>();

  constructor(private readonly hooks: ParentHooks) {}

  /**
   * Records that a running request makes a call.
   *
   * @param kind key of the kind that makes it, if known.
   */
  recordCall(called: string, kind: string | undefined, now: number): void {
    const calls = kind === undefined ? undefined : this.kinds.get(kind)?.calls;
    if (!calls) return;
    const seen = calls.get(called);
    if (seen) {
      seen.count += 1;
      seen.lastAt = now;
    } else if (calls.size < MAX_CALLED) {
      calls.set(called, {count: 1, lastAt: now});
    }
  }

  /** Records how a call to a service ended. */
  recordOutcome(called: string, outcome: CallOutcome, now: number): void {
    let service = this.called.get(called);
    if (!service) {
      if (this.called.size >= MAX_CALLED) return;
      service = {
        calls: 0,
        failed: 0,
        updatedAt: now,
        level: 0,
        steppedAt: now,
      };
      this.called.set(called, service);
    }
    expireOutcomes(service, now);
    service.calls += 1;
    if (outcome !== 'served') service.failed += 1;
  }

  /**
   * Admits a request, or refuses it before it runs.
   *
   * @throws RefusalError with verdict `not-run`.
   */
  admit(request: ParentRequest, now: number): void {
    if (request.isNested) return;
    const kind = this.recordArrival(request, now);
    if (!kind) return;
    for (const service of this.called.values()) {
      this.updateLevel(service, now);
    }
    const {share, cause} = this.computeShare(kind, now);
    const {service, route} = kind;
    kind.log.report('part of parents admitted', share, now, {
      service,
      route,
      ...(cause ? {called: cause} : {}),
    });
    kind.credit += share;
    if (kind.credit >= 1) {
      kind.credit -= 1;
      return;
    }
    this.hooks.count('admission.parents-refused');
    throw this.buildRefusal(kind, share, cause!, now);
  }

  private recordArrival(
    {service, route, rank}: ParentRequest,
    now: number,
  ): Kind | undefined {
    const key = formatKind(service, route);
    let kind = this.kinds.get(key);
    if (!kind) {
      if (this.kinds.size >= MAX_KINDS) return undefined;
      kind = {
        service,
        route,
        rank,
        calls: new Map(),
        credit: 0,
        intervalMs: 0,
        lastArrivalAt: now,
        log: new EstimateLog(this.hooks.report),
      };
      this.kinds.set(key, kind);
    }
    const intervalMs = now - kind.lastArrivalAt;
    const weight = kind.intervalMs === 0 ? 1 : AVERAGE_WEIGHT;
    kind.intervalMs += weight * (intervalMs - kind.intervalMs);
    kind.lastArrivalAt = now;
    kind.rank = rank;
    return kind;
  }

  /** Changes the level by the recent outcomes, in small steps over time. */
  private updateLevel(service: CalledService, now: number): void {
    const steps = Math.floor((now - service.steppedAt) / STEP_INTERVAL_MS);
    if (steps < 1) return;
    service.steppedAt += steps * STEP_INTERVAL_MS;
    expireOutcomes(service, now);
    const {calls, failed} = service;
    const part = calls < MIN_CALLS ? 0 : failed / calls;
    if (part > MAX_FAILED_PART) {
      const level = service.level + LEVEL_PER_STEP;
      service.level = Math.min(this.countMostRanks(), level);
    } else if (part < MIN_FAILED_PART) {
      service.level = Math.max(0, service.level - steps * LEVEL_PER_STEP);
    }
  }

  /** Returns the largest number of ranks among the kinds of one service. */
  private countMostRanks(): number {
    const ranks = new Map<string, Set<number>>();
    for (const {service, rank} of this.kinds.values()) {
      const seen = ranks.get(service) ?? new Set();
      ranks.set(service, seen.add(rank));
    }
    return Math.max(0, ...[...ranks.values()].map(({size}) => size));
  }

  /**
   * Returns the part of a kind that is admitted, and the called service that
   * decides it. The least urgent rank that calls the service is thinned first.
   */
  private computeShare(
    kind: Kind,
    now: number,
  ): {share: number; cause?: string} {
    let result: {share: number; cause?: string} = {share: 1};
    for (const [called, {level}] of this.called) {
      if (level === 0 || !hasCalled(kind, called, now)) continue;
      const lessUrgent = new Set<number>();
      for (const other of this.kinds.values()) {
        const isLessUrgent =
          other.service === kind.service && other.rank > kind.rank;
        if (isLessUrgent && hasCalled(other, called, now)) {
          lessUrgent.add(other.rank);
        }
      }
      const thinned = Math.min(1, Math.max(0, level - lessUrgent.size));
      const share = 1 - (1 - MIN_SHARE) * thinned;
      if (share < result.share) result = {share, cause: called};
    }
    return result;
  }

  /** Builds the refusal with the time until the next request is admitted. */
  private buildRefusal(
    kind: Kind,
    share: number,
    cause: string,
    now: number,
  ): RefusalError {
    const {calls, failed, steppedAt} = this.called.get(cause)!;
    const untilStepMs = steppedAt + STEP_INTERVAL_MS - now;
    const untilNextMs = ((1 - kind.credit) / share) * kind.intervalMs;
    const detail = [
      `calls to ${cause}: ${Math.round((100 * failed) / Math.max(1, calls))} %`,
      `of ${Math.round(calls)} failed lately;`,
      `admitting ${share.toFixed(2)} of ${kind.route}`,
    ].join(' ');
    return new RefusalError(
      Reason.CALLS_FAILING,
      Verdict.NOT_RUN,
      detail,
      Math.round(Math.max(untilStepMs, untilNextMs)),
    );
  }
}

function hasCalled({calls}: Kind, called: string, now: number): boolean {
  const seen = calls.get(called);
  if (!seen || seen.count < MIN_SEEN_CALLS) return false;
  return now - seen.lastAt < CALLER_RETENTION_MS;
}

function expireOutcomes(service: CalledService, now: number): void {
  const factor = Math.exp((service.updatedAt - now) / OUTCOME_MEMORY_MS);
  service.calls *= factor;
  service.failed *= factor;
  service.updatedAt = now;
}
