/**
 * Refusals for lack of capacity at one entry: which requests it refuses itself
 * and when refused callers return. The load is one above the capacity of all
 * workers of a service, with callers that retry once at the time they are
 * told. Applies to the policy `paced`, whose gates refuse by the expected wait.
 */
import type {Profile} from '../../protocol/configuration.js';
import {Reason, RefusalError} from '../../protocol/reasons.js';
import type {ServiceRequest} from '../../protocol/service-request.js';
import {Verdict} from '../../protocol/verdict.js';
import type {RequestExplainer} from '../../state/explanations.js';
import type {WorkerRow} from '../../state/worker-table.js';
import {computeBacklog} from './backlog.js';
import {EntryDecision, EntryRefusal} from './entry-refusal.js';
import {Arrival, PromisedReturns} from './promised-returns.js';
import {ReturnTimes} from './return-time.js';
import {RouteKinds} from './route-kinds.js';

/** Minimum interval between two log lines of one service. */
const LOG_INTERVAL_MS = 1000;
/** Interval at which this entry's share of the workers is computed. */
const SHARE_INTERVAL_MS = 1000;

/** Refusals whose time to return follows the workers' backlog. */
const RETURN_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  Reason.QUEUE_FULL,
  Reason.QUEUE_TIMEOUT,
  Reason.WORKER_COLD,
]);

/** Dependencies on the entry. */
export interface CapacityRefusalsOptions {
  readonly random: () => number;
  readonly count: (name: string) => void;
  /** Counts the workers of a service and the entries that send to them. */
  readonly countSenders: (service: string) => {
    workers: number;
    entries: number;
  };
  /** Writes a line to the node's log. */
  readonly report?:
    | ((
        text: string,
        context: Readonly<Record<string, string | number>>,
      ) => void)
    | undefined;
}

/** State that an entry keeps for the refusals of one service. */
export class CapacityRefusals {
  readonly entry: EntryRefusal;
  private refused = 0;
  private sentAnyway = 0;
  private loggedAt = -Infinity;
  private share = 1;
  private shareAt = -Infinity;

  constructor(
    private readonly service: string,
    readonly options: CapacityRefusalsOptions,
    readonly kinds = new RouteKinds(),
    readonly times = new ReturnTimes(),
    readonly returns = new PromisedReturns(),
  ) {
    this.entry = new EntryRefusal(kinds);
  }

  /**
   * Copies the state, so that a decision can be made without changing it. The
   * copy counts and logs nothing.
   */
  copy(random: () => number): CapacityRefusals {
    const {countSenders} = this.options;
    const copy = new CapacityRefusals(
      this.service,
      {random, countSenders, count: () => {}},
      this.kinds.copy(),
      this.times.copy(),
      this.returns.copy(),
    );
    copy.share = this.share;
    copy.shareAt = this.shareAt;
    return copy;
  }

  /** Creates the state of one call; undefined where the profile is off. */
  start(
    request: ServiceRequest,
    profile: Profile,
    explainer: RequestExplainer,
  ): CallRefusals | undefined {
    const isOn = profile.refusals.atEntry && profile.balancing === 'paced';
    if (!isOn || request.isNested) return undefined;
    return new CallRefusals(this, request, profile, explainer);
  }

  /** Counts a decision; writes at most one log line a second. */
  record(decision: EntryDecision, now: number): void {
    const isRefused = decision === EntryDecision.REFUSE;
    if (isRefused) this.refused += 1;
    else this.sentAnyway += 1;
    const {count, report} = this.options;
    count(isRefused ? 'refusals.at-entry' : 'refusals.at-entry.sent-anyway');
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const {workers, waitMs, maxWaitMs, ageMs} = this.entry;
    report?.('refusing at the entry', {
      service: this.service,
      refused: this.refused,
      sentAnyway: this.sentAnyway,
      workers,
      waitMs: Math.round(waitMs),
      maxWaitMs: Math.round(maxWaitMs),
      ageMs: Math.round(ageMs),
    });
    this.refused = 0;
    this.sentAnyway = 0;
  }

  /**
   * Returns the part of one worker's rate that this entry may count on, as all
   * entries send about equally much.
   */
  findShare(now: number): number {
    if (now - this.shareAt < SHARE_INTERVAL_MS) return this.share;
    this.shareAt = now;
    const {workers, entries} = this.options.countSenders(this.service);
    this.share = workers / Math.max(1, entries);
    return this.share;
  }
}

/** Refusals for lack of capacity in one call. */
export class CallRefusals {
  /** Refusal by this entry, if it has refused the request. */
  refusal: RefusalError | undefined;
  private rows: readonly WorkerRow[] = [];
  private arrival: Arrival | undefined;

  constructor(
    private readonly state: CapacityRefusals,
    private readonly request: ServiceRequest,
    private readonly profile: Profile,
    private readonly explainer: RequestExplainer,
  ) {}

  /**
   * Returns the workers that the next attempt may be sent to: none when this
   * entry refuses the request. All but the first attempt may go to any.
   */
  selectRows(
    rows: readonly WorkerRow[],
    now = performance.now(),
  ): readonly WorkerRow[] {
    if (this.arrival !== undefined) return rows;
    this.rows = rows;
    this.state.kinds.record(this.request, now);
    this.arrival = this.recordArrival(now);
    if (this.arrival === Arrival.PROMISED) return rows;
    return this.refuseAtEntry(now) ? [] : rows;
  }

  /**
   * Whether a request that a gate refused may be sent to the worker chosen
   * next. Only the chosen one counts: a worker without recent figures or with
   * a long queue of late requests is not a better choice because others are
   * full. On emulated days retries limited to workers not shown as full went
   * to slow hosts, and a tenth less was served in time.
   */
  checkFurther(row: WorkerRow, now = performance.now()): boolean {
    const {entry, options} = this.state;
    if (entry.hasRoom(row, this.request, this.profile, now)) return true;
    options.count('refusals.further-full');
    this.explainer.add('further-full', {node: row.target.nodeId});
    return false;
  }

  /** Records the answer of an attempt. */
  recordAnswer(durationMs: number, pace: number | undefined): void {
    if (pace === undefined) return;
    this.state.kinds.recordAnswer(this.request.route, durationMs, pace);
  }

  /** Sets the time to return in a refusal for lack of capacity. */
  setReturnTime(last: RefusalError, now = performance.now()): RefusalError {
    const {reason, verdict, detail} = last;
    if (verdict !== Verdict.NOT_RUN || !RETURN_REASONS.has(reason)) return last;
    const delayMs = this.chooseReturn(now);
    if (delayMs === undefined) return last;
    return new RefusalError(reason, verdict, detail, Math.round(delayMs));
  }

  private refuseAtEntry(now: number): boolean {
    const {state, request, profile, rows, arrival} = this;
    // One that returns too often gets no share of those sent anyway.
    const random =
      arrival === Arrival.REPEATED ? () => 1 : state.options.random;
    const {entry} = state;
    const decision = entry.chooseDecision(rows, request, profile, now, random);
    if (decision === EntryDecision.SEND) return false;
    state.record(decision, now);
    const detail = {
      workers: entry.workers,
      waitMs: Math.round(entry.waitMs),
      maxWaitMs: Math.round(entry.maxWaitMs),
      ageMs: Math.round(entry.ageMs),
    };
    this.explainer.add(decision, {...detail, rank: request.rank});
    if (decision === EntryDecision.SEND_ANYWAY) return false;
    this.refusal = new RefusalError(
      Reason.QUEUE_TIMEOUT,
      Verdict.NOT_RUN,
      Object.entries(detail)
        .map(([name, value]) => `${name} ${value}`)
        .join(', '),
    );
    return true;
  }

  private recordArrival(now: number): Arrival {
    const {returns, options} = this.state;
    if (returns.size === 0) return Arrival.NEW;
    const arrival = returns.recordArrival(this.buildKey(), now);
    if (arrival === Arrival.NEW) return arrival;
    const isPromised = arrival === Arrival.PROMISED;
    options.count(isPromised ? 'refusals.promised' : 'refusals.returned-early');
    this.explainer.add('return', {arrival});
    return arrival;
  }

  private chooseReturn(now: number): number | undefined {
    const {state, request, profile, rows} = this;
    const backlog = computeBacklog(rows, profile.limits, now);
    if (!backlog) return undefined;
    const {rank, awaitedUntil, deadline} = request;
    const {workers, requests, serviceMs, ageMs} = backlog;
    // A more urgent request goes before the backlog.
    const isLast = !state.kinds.hasLessUrgent(request, now);
    const key = this.buildKey();
    const promisedAt = state.returns.findPromisedAt(key, now) ?? now;
    const backlogMs = isLast ? requests / backlog.ratePerMs : 0;
    const remainingMs = (awaitedUntil ?? deadline) - now;
    const delayMs = state.times.choose(
      {
        now,
        remainingMs,
        targetMs: (request.targetAt ?? Infinity) - now,
        serviceMs,
        earliestMs: Math.max(backlogMs, promisedAt - now),
        ratePerMs: (backlog.ratePerMs / workers) * state.findShare(now),
        rank,
      },
      state.options.random,
    );
    if (delayMs === undefined) return undefined;
    const at = now + delayMs;
    const isWithinRoom = state.times.isWithinRoom;
    if (this.arrival !== Arrival.REPEATED) state.times.record(at, rank);
    state.returns.add(key, at, isWithinRoom, now);
    this.explainer.add('return-time', {
      delayMs: Math.round(delayMs),
      backlog: requests,
      backlogMs: Math.round(backlogMs),
      isWithinRoom,
      ageMs: Math.round(ageMs),
    });
    return delayMs;
  }

  /** Builds the name by which a returned request is recognized. */
  private buildKey(): string {
    const {caller, fingerprint} = this.request;
    return `${caller} ${fingerprint}`;
  }
}
