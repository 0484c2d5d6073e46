/**
 * Wraps a worker connection to record how each request ended, as evidence about
 * the worker's version, and to count probes. Durations are divided by the
 * host's pace, and those of a cold worker are omitted; otherwise a new version
 * on busy hosts would look slow.
 */
import type {Announcement} from '../protocol/announcement.js';
import type {AttemptAnswer} from '../protocol/attempt.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import type {ObservedRequest} from '../state/version-evidence.js';
import {RequestEnd} from '../state/version-evidence.js';
import type {WorkerConnection} from './local-worker.js';

const SERVER_ERROR = 500;

/** Failure reasons that are no evidence about a version. */
const NEUTRAL_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  Reason.WORKER_SHED,
  Reason.CALLER_GONE,
]);

/** Conditions other than its version that slow a worker down. */
export interface WorkerCondition {
  /** Slowdown factor of the host; 1 is its usual speed. */
  readonly pace: number;
  readonly isCold: boolean;
}

/** A warm worker on a host at its usual speed. */
export const NORMAL_CONDITION: WorkerCondition = {pace: 1, isCold: false};

/** Receives what an observed connection records. */
export interface ConnectionObserver {
  readonly record: (seen: ObservedRequest) => void;
  readonly countProbe: () => void;
  readonly readCondition: () => WorkerCondition;
}

/** Wraps a connection so that its requests and probes are recorded. */
export function createObservedConnection(
  connection: WorkerConnection,
  announcement: Announcement,
  {record, countProbe, readCondition}: ConnectionObserver,
): WorkerConnection {
  const {service, version} = announcement;
  const sendRequest = async (
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> => {
    const startedAt = performance.now();
    const before = readCondition();
    const recordEnd = (end: RequestEnd): void => {
      const after = readCondition();
      const elapsedMs = performance.now() - startedAt;
      // A host that is faster than usual must not make a version look slower.
      const pace = Math.max(NORMAL_CONDITION.pace, before.pace, after.pace);
      const durationMs =
        before.isCold || after.isCold ? undefined : elapsedMs / pace;
      record({service, version, route: request.route, end, durationMs});
    };
    try {
      const answer = await connection.sendRequest(request, signal);
      const hasFailed = answer.status >= SERVER_ERROR;
      recordEnd(hasFailed ? RequestEnd.FAILED : RequestEnd.ANSWERED);
      return answer;
    } catch (error) {
      // Without this, a slow version whose requests are all cancelled would
      // leave no evidence.
      if (signal.aborted) recordEnd(RequestEnd.CANCELLED);
      else if (!isNeutral(error)) recordEnd(RequestEnd.FAILED);
      throw error;
    }
  };
  return {
    sendRequest,
    sendProbe: (path, signal) => {
      countProbe();
      return connection.sendProbe(path, signal);
    },
    watchLoadReports: handler => connection.watchLoadReports?.(handler),
    close: () => connection.close(),
  };
}

function isNeutral(error: unknown): boolean {
  return error instanceof RefusalError && NEUTRAL_REASONS.has(error.reason);
}
