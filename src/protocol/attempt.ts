/**
 * One try of a request at one gate. The entry chooses the target, the gate
 * echoes the attempt's id, and whatever goes wrong ends as an AttemptError
 * whose verdict says whether the request may have run.
 */
import type {Reason} from './reasons.js';
import {RefusalError} from './reasons.js';
import type {ServiceAnswer, ServiceRequest} from './service-request.js';
import type {Verdict} from './verdict.js';
import type {WorkerLoad} from './worker-load.js';

/** The process that an attempt is meant for. */
export interface AttemptTarget {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly peerAddress: string;
}

/** One attempt. */
export interface Attempt {
  readonly id: string;
  readonly request: ServiceRequest;
  readonly target: AttemptTarget;
  /** Version of the service that the entry chose; any when absent. */
  readonly version?: string;
  /** Epoch of the home list, when the target is meant as the key's home. */
  readonly keyHomeEpoch?: number;
}

/** Answer of an attempt, with the load figures that came along. */
export interface AttemptAnswer extends ServiceAnswer {
  readonly load?: WorkerLoad;
  /** Version of the worker that ran the request, when known. */
  readonly version?: string;
}

/** An attempt that brought no answer of an upstream. */
export class AttemptError extends RefusalError {
  constructor(
    reason: Reason,
    verdict: Verdict,
    detail: string,
    /** Load figures that came with a refusal. */
    readonly load?: WorkerLoad,
    retryAfterMs?: number,
  ) {
    super(reason, verdict, detail, retryAfterMs);
    this.name = 'AttemptError';
  }
}

/**
 * Sends one attempt and waits for its answer. Aborting the signal cancels it.
 *
 * @throws AttemptError when no whole or streaming answer came.
 */
export type SendAttempt = (
  attempt: Attempt,
  signal: AbortSignal,
) => Promise<AttemptAnswer>;
