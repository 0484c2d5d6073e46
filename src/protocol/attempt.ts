/**
 * An attempt to run a request at one gate. The entry chooses the target and the
 * gate echoes the attempt's id. Every failure is thrown as an AttemptError
 * whose verdict says whether the request may have run.
 */
import type {SentBody} from './body-rest.js';
import type {Reason} from './reasons.js';
import {RefusalError} from './reasons.js';
import type {ServiceAnswer, ServiceRequest} from './service-request.js';
import type {Verdict} from './verdict.js';
import type {WorkerLoad} from './worker-load.js';

/** Process that an attempt is addressed to. */
export interface AttemptTarget {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly peerAddress: string;
}

/** An attempt to run a request at one gate. */
export interface Attempt {
  readonly id: string;
  readonly request: ServiceRequest;
  readonly target: AttemptTarget;
  /** Version of the service that the entry chose; any version if absent. */
  readonly version?: string;
  /** Epoch of the home list, if the target is addressed as the key's home. */
  readonly keyHomeEpoch?: number;
  /** Whether kept connections may be dead, since one of this call was silent. */
  readonly needsNewConnection?: boolean;
  /** Called when no more of a streamed body is sent to the target. */
  readonly handleBodyEnd?: (sent: SentBody) => void;
}

/** Answer of an attempt, with the worker's load as the gate reported it. */
export interface AttemptAnswer extends ServiceAnswer {
  readonly load?: WorkerLoad;
  /** Version of the worker that ran the request, if known. */
  readonly version?: string;
}

/** An attempt that ended without an answer of an upstream. */
export class AttemptError extends RefusalError {
  constructor(
    reason: Reason,
    verdict: Verdict,
    detail: string,
    /** Load of the worker that came with a refusal. */
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
 * @param handleSilence called at most once, when the gate of an idempotent
 *     attempt has stopped acknowledging it; the attempt goes on.
 * @throws AttemptError when no complete or streaming answer arrived.
 */
export type SendAttempt = (
  attempt: Attempt,
  signal: AbortSignal,
  handleSilence: () => void,
) => Promise<AttemptAnswer>;
