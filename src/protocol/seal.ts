/**
 * Query for the outcome of an attempt. If the gate never received the attempt,
 * the query seals it, which guarantees that the gate never runs it.
 */
import type {AttemptAnswer} from './attempt.js';

/** Outcome of an attempt as its gate reports it. */
export const SealOutcome = {
  /** The attempt did not run at this gate and never will. */
  NOT_RUN: 'not-run',
  RUNNING: 'running',
  /** The attempt ran; the gate may still hold its answer. */
  RAN: 'ran',
  MAY_HAVE_RUN: 'may-have-run',
} as const;

export type SealOutcome = (typeof SealOutcome)[keyof typeof SealOutcome];

/** Reply to an entry that queries an attempt. */
export interface SealResult {
  readonly outcome: SealOutcome;
  readonly answer?: AttemptAnswer;
}

/** Thrown when the gate of an attempt cannot be queried. */
export class SealError extends Error {
  constructor(
    /** Whether the process that the attempt was sent to has certainly ended. */
    readonly isGateGone: boolean,
    detail: string,
  ) {
    super(detail);
    this.name = 'SealError';
  }
}
