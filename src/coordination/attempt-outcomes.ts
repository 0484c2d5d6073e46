/**
 * What an entry learns of a worker from an attempt that was not answered, in the
 * place of the load figures that come with an answer.
 */
import type {AttemptError} from '../protocol/attempt.js';
import {Reason} from '../protocol/reasons.js';
import {WorkerState} from '../protocol/worker-load.js';
import type {WorkerRow} from '../state/worker-table.js';
import {recordLoad} from '../state/worker-table.js';

const US_PER_MS = 1000;

/** Failure reasons that concern the connection to a gate, not its worker. */
const CONNECTION_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  Reason.UNREACHABLE,
  Reason.CONNECTION_LOST,
  Reason.CONNECTION_SILENT,
  Reason.TRUNCATED_ANSWER,
  Reason.SEALED,
]);

/**
 * Records the elapsed time of a cancelled attempt as a lower bound of the
 * service time. A cancelled attempt returns no load figures; without this
 * bound a slow worker whose attempts are all hedged would keep looking fast.
 */
export function recordCancelled(row: WorkerRow, elapsedMs: number): void {
  const {observed} = row;
  const elapsedUs = elapsedMs * US_PER_MS;
  if (observed && observed.figures.serviceTimeUs >= elapsedUs) return;
  row.observed = {
    figures: {
      state: row.state,
      inFlight: row.inFlightHere,
      queued: 0,
      limit: observed?.figures.limit ?? row.slots,
      serviceTimeUs: elapsedUs,
      failureShare: observed?.figures.failureShare ?? 0,
      pace: observed?.figures.pace ?? 1,
    },
    at: performance.now(),
    inFlightHere: row.inFlightHere,
  };
}

/**
 * Records the load figures of a failed attempt. When the connection failed,
 * records the worker as failing.
 */
export function recordFailedAttempt(row: WorkerRow, error: AttemptError): void {
  if (error.load) {
    recordLoad(row, error.load);
    return;
  }
  if (!CONNECTION_REASONS.has(error.reason)) return;
  row.observed = {
    figures: {
      state: WorkerState.FAILING,
      inFlight: row.inFlightHere,
      queued: 0,
      limit: 1,
      serviceTimeUs: row.observed?.figures.serviceTimeUs ?? 0,
      failureShare: 1,
      pace: row.observed?.figures.pace ?? 1,
    },
    at: performance.now(),
    inFlightHere: row.inFlightHere,
  };
}
