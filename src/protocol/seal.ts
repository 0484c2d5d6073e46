/**
 * The question what became of an attempt. Sealing one that its gate never saw
 * is a promise never to run it.
 */
import type {AttemptAnswer} from './attempt.js';

/** What became of an attempt that an entry asks about. */
export const SealOutcome = {
  /** It did not run here and never will. */
  NOT_RUN: 'not-run',
  RUNNING: 'running',
  /** It ran; its answer may still be held. */
  RAN: 'ran',
  MAY_HAVE_RUN: 'may-have-run',
} as const;

export type SealOutcome = (typeof SealOutcome)[keyof typeof SealOutcome];

/** Answer to an entry that asks about an attempt. */
export interface SealResult {
  readonly outcome: SealOutcome;
  readonly answer?: AttemptAnswer;
}

/** The gate of an attempt can't be asked. */
export class SealError extends Error {
  constructor(
    /** Whether the process that the attempt went to is certainly gone. */
    readonly isGateGone: boolean,
    detail: string,
  ) {
    super(detail);
    this.name = 'SealError';
  }
}
