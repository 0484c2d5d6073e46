/**
 * Backlog of the workers that one entry chooses among, and the rate at which
 * they finish requests, from their latest load figures.
 */
import type {Profile} from '../../protocol/configuration.js';
import {WorkerState} from '../../protocol/worker-load.js';
import type {WorkerRow} from '../../state/worker-table.js';
import {countSentSince, isUnusable, MAX_ROWS} from './entry-refusal.js';

/** Age up to which figures tell the rate; service times change slowly. */
const MAX_FIGURES_AGE_MS = 2000;
const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Backlog and rate at one time. */
export interface Backlog {
  /** Workers with figures. */
  readonly workers: number;
  /** Requests queued, and running above the limits. */
  readonly requests: number;
  /** Requests per millisecond that the workers finish together. */
  readonly ratePerMs: number;
  /** Mean service time in milliseconds. */
  readonly serviceMs: number;
  /** Age of the oldest figures in milliseconds. */
  readonly ageMs: number;
}

/** Computes the backlog; undefined when no worker has figures. */
export function computeBacklog(
  rows: readonly WorkerRow[],
  {coldRate}: Profile['limits'],
  now: number,
): Backlog | undefined {
  const count = Math.min(rows.length, MAX_ROWS);
  let workers = 0;
  let requests = 0;
  let ratePerMs = 0;
  let totalServiceMs = 0;
  let ageMs = 0;
  for (let index = 0; index < count; index++) {
    const row = rows[index]!;
    const {observed} = row;
    if (!observed || isUnusable(row, now)) continue;
    const {state, inFlight, queued, limit, serviceTimeUs} = observed.figures;
    const isOld = now - observed.at > MAX_FIGURES_AGE_MS;
    if (isOld || serviceTimeUs === 0) continue;
    const serviceMs = serviceTimeUs / US_PER_MS;
    const slots = Math.max(1, limit);
    const coldRatePerMs =
      state === WorkerState.COLD && coldRate !== undefined
        ? coldRate / MS_PER_SECOND
        : Infinity;
    workers += 1;
    requests += Math.max(0, inFlight + queued + countSentSince(row) - limit);
    ratePerMs += Math.min(slots / serviceMs, coldRatePerMs);
    totalServiceMs += serviceMs;
    ageMs = Math.max(ageMs, now - observed.at);
  }
  if (workers === 0) return undefined;
  const serviceMs = totalServiceMs / workers;
  return {workers, requests, ratePerMs, serviceMs, ageMs};
}
