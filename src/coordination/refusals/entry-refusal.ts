/**
 * Decides whether an entry refuses a request itself. Under a load above the
 * capacity of all workers, each refusal by a gate costs two messages and
 * processor time at two nodes, and comes late when they are busy. An entry that
 * knows from recent figures that each gate would refuse answers at once.
 *
 * All uncertainty speaks for sending: missing or old figures, unknown
 * routes, and queues that may hold less urgent requests.
 */
import type {Profile} from '../../protocol/configuration.js';
import type {ServiceRequest} from '../../protocol/service-request.js';
import {WorkerState} from '../../protocol/worker-load.js';
import type {WorkerRow} from '../../state/worker-table.js';
import type {RouteKinds} from './route-kinds.js';

/**
 * Age up to which figures count. Slow periods of hosts and full queues last
 * some 100 ms.
 */
export const MAX_FIGURES_AGE_MS = 300;
/** Rows examined for one decision; with more the entry doesn't refuse. */
export const MAX_ROWS = 10;
/** Fraction of refusable requests that are sent, so that figures renew. */
export const SENT_FRACTION = 1 / 8;
/**
 * Ratios of the longest wait at a gate to a request's spare time, and the
 * margin on its service time, as in `wait-policy.ts`. A test compares both.
 */
const WAIT_RATIO = 0.2;
const HIGH_PRIORITY_WAIT_RATIO = 0.4;
const SERVICE_TIME_MARGIN = 1.3;
/**
 * Time limit from which a gate that queues patient work may let a request wait
 * until its deadline. Requests with shorter limits have no seconds of slack.
 */
const PATIENT_LIMIT_MS = 1500;
const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** What an entry does with a request. */
export const EntryDecision = {
  SEND: 'send',
  REFUSE: 'refuse-at-entry',
  /** It would be refused, and is sent so that the figures renew. */
  SEND_ANYWAY: 'send-anyway',
} as const;

export type EntryDecision = (typeof EntryDecision)[keyof typeof EntryDecision];

/** Settings of a service's profile that a decision depends on. */
export type RefusalProfile = Pick<Profile, 'limits' | 'admission'>;

/** Decides on the requests of one service. */
export class EntryRefusal {
  /** Inputs of the last decision to refuse, for its explanation. */
  workers = 0;
  waitMs = 0;
  maxWaitMs = 0;
  ageMs = 0;

  constructor(private readonly kinds: RouteKinds) {}

  /** Decides whether a request is sent to one of the usable workers. */
  chooseDecision(
    rows: readonly WorkerRow[],
    request: ServiceRequest,
    profile: RefusalProfile,
    now: number,
    random: () => number,
  ): EntryDecision {
    if (request.isNested || rows.length > MAX_ROWS) return EntryDecision.SEND;
    this.workers = 0;
    this.waitMs = Infinity;
    this.ageMs = 0;
    for (const row of rows) {
      if (isUnusable(row, now)) continue;
      if (!this.isFull(row, request, profile, now)) return EntryDecision.SEND;
    }
    if (this.workers === 0) return EntryDecision.SEND;
    return random() < SENT_FRACTION
      ? EntryDecision.SEND_ANYWAY
      : EntryDecision.REFUSE;
  }

  /** Whether a further gate may take a request that another gate refused. */
  hasRoom(
    row: WorkerRow,
    request: ServiceRequest,
    profile: RefusalProfile,
    now: number,
  ): boolean {
    return !isUnusable(row, now) && !this.isFull(row, request, profile, now);
  }

  /** Whether recent figures show that a gate would refuse a request. */
  private isFull(
    row: WorkerRow,
    request: ServiceRequest,
    profile: RefusalProfile,
    now: number,
  ): boolean {
    if (!hasRecentFigures(row, now) || !this.kinds.isComplete(now))
      return false;
    const {queuesPatientWork} = profile.admission;
    const {figures} = row.observed!;
    const isLast = this.kinds.isLast(request, figures, queuesPatientWork, now);
    const waitMs = computeShownWait(row, profile.limits, isLast);
    const maxWaitMs = this.computeMaxWait(row, request, profile, now);
    // A free slot is given whatever the request may wait.
    if (waitMs === 0 || waitMs <= maxWaitMs) return false;
    this.workers += 1;
    this.ageMs = Math.max(this.ageMs, now - row.observed!.at);
    if (waitMs < this.waitMs) {
      this.waitMs = waitMs;
      this.maxWaitMs = maxWaitMs;
    }
    return true;
  }

  /** Returns the longest time that a request may wait at a gate. */
  private computeMaxWait(
    row: WorkerRow,
    request: ServiceRequest,
    {limits, admission}: RefusalProfile,
    now: number,
  ): number {
    const {route, targetAt, deadline} = request;
    const remainingMs = deadline - now;
    if (admission.queuesPatientWork && remainingMs >= PATIENT_LIMIT_MS)
      return remainingMs;
    const {serviceTimeUs, pace} = row.observed!.figures;
    const meanMs = serviceTimeUs / US_PER_MS;
    const routeMs = this.kinds.findServiceMs(route) * pace;
    // A gate that judges a request to be late lets it wait for its deadline.
    const mayBeLate =
      targetAt === undefined || now + Math.max(meanMs, routeMs) > targetAt;
    const dueAt = mayBeLate ? deadline : targetAt;
    const spareMs =
      dueAt - now - Math.min(meanMs, routeMs) * SERVICE_TIME_MARGIN;
    const ratio = this.kinds.hasLessUrgent(request, now)
      ? HIGH_PRIORITY_WAIT_RATIO
      : WAIT_RATIO;
    return Math.min(limits.queueWait, spareMs * ratio);
  }
}

/** Whether a worker is left out of a decision: it fails or is suspect. */
export function isUnusable(row: WorkerRow, now: number): boolean {
  if (row.isSuspect) return true;
  const isFailing = row.observed?.figures.state === WorkerState.FAILING;
  return isFailing && now - row.observed!.at <= MAX_FIGURES_AGE_MS;
}

function hasRecentFigures({observed}: WorkerRow, now: number): boolean {
  return (
    observed !== undefined &&
    observed.figures.serviceTimeUs > 0 &&
    now - observed.at <= MAX_FIGURES_AGE_MS
  );
}

/** Returns the attempts that this entry has sent since the figures. */
export function countSentSince({observed, inFlightHere}: WorkerRow): number {
  return Math.max(0, inFlightHere - (observed?.inFlightHere ?? 0));
}

/**
 * Returns the wait that a worker's figures show, computed as its gate does.
 *
 * @param isLast whether all that is queued goes before the request.
 */
function computeShownWait(
  row: WorkerRow,
  {queueLength, coldRate}: Profile['limits'],
  isLast: boolean,
): number {
  const {state, inFlight, queued, limit, serviceTimeUs} = row.observed!.figures;
  const freeSlots = Math.max(0, limit - inFlight);
  const sentBeyond = countSentSince(row) - freeSlots;
  const ahead = isLast ? queued + Math.max(0, sentBeyond) : 0;
  if (state === WorkerState.COLD) {
    // The rate so far isn't in the figures: only the queue makes a wait.
    return coldRate === undefined ? 0 : (ahead * MS_PER_SECOND) / coldRate;
  }
  if (sentBeyond < 0) return 0;
  if (queued >= queueLength) return Infinity;
  // While requests wait, a gate admits some that would be next beyond its
  // limit, to measure the throughput there.
  if (!isLast && queued > 0 && limit < row.slots) return 0;
  return ((ahead + 1) * serviceTimeUs) / US_PER_MS / Math.max(1, limit);
}
