/**
 * Whether a worker is usable, its free slots and its expected wait, by its last
 * load figures. Figures that are too old count as unknown: under uneven demand
 * the load of a worker changes within some 100 ms.
 */
import {WorkerState} from '../../protocol/worker-load.js';
import type {WorkerRow} from '../../state/worker-table.js';
import type {ChoiceContext} from './worker-choice.js';
import {computeInFlight, REFERENCE_SERVICE_TIME_MS} from './worker-choice.js';

/**
 * Age of load figures up to which the share may be used. Idle workers report
 * every 1 to 1.5 s, so this survives a lost datagram.
 */
const MAX_ROOM_AGE_MS = 3000;
/**
 * Age up to which a worker that failed is not usable. Later its cost has
 * decayed below MAX_COST_FACTOR, and it may be tried again.
 */
const FAILING_LIFETIME_MS = 10_000;
const US_PER_MS = 1000;

/** Returns why a worker is not usable; undefined if it is. */
export function findUnusableRule(
  row: WorkerRow,
  now: number,
): 'suspect' | 'failing' | undefined {
  if (row.isSuspect) return 'suspect';
  const state = row.observed?.figures.state ?? row.state;
  if (state !== WorkerState.FAILING) return undefined;
  const isOld =
    row.observed !== undefined && computeAge(row, now) > FAILING_LIFETIME_MS;
  return isOld ? undefined : 'failing';
}

/** Computes the age of a worker's load figures; infinite without any. */
export function computeAge({observed}: WorkerRow, now: number): number {
  return observed ? now - observed.at : Infinity;
}

/** Computes the free slots; undefined without figures that are recent enough. */
export function computeKnownRoom(
  row: WorkerRow,
  now: number,
): number | undefined {
  if (computeAge(row, now) > MAX_ROOM_AGE_MS) return undefined;
  return Math.max(0, computeRoom(row));
}

/**
 * Computes the free slots by the last figures, less what this entry has sent
 * since. Unlike in a cost, the requests of others do not decay, and a cold
 * worker has no room.
 */
function computeRoom({observed, inFlightHere}: WorkerRow): number {
  if (observed?.figures.state !== WorkerState.READY) return 0;
  const {limit, inFlight, queued} = observed.figures;
  const sentSince = Math.max(0, inFlightHere - observed.inFlightHere);
  return limit - inFlight - queued - sentSince;
}

/** Estimates the time that a request waits for a slot of a worker. */
export function computeWaitMs(row: WorkerRow, context: ChoiceContext): number {
  const {observed} = row;
  if (!observed) return 0;
  const {limit, serviceTimeUs} = observed.figures;
  const load = computeInFlight(row, computeAge(row, context.now));
  const waiting = Math.max(0, load + 1 - Math.max(1, limit));
  const serviceTimeMs = serviceTimeUs / US_PER_MS || REFERENCE_SERVICE_TIME_MS;
  return (waiting / Math.max(1, limit)) * serviceTimeMs;
}

/** Computes the age of the newest figures in milliseconds; -1 for none. */
export function computeLeastAge(
  rows: readonly WorkerRow[],
  now: number,
): number {
  const age = Math.min(...rows.map(row => computeAge(row, now)));
  return Number.isFinite(age) ? Math.round(age) : -1;
}
