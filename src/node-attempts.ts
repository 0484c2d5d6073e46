/**
 * Joins the question about an attempt in doubt with the transport that asks it.
 */
import {SealError} from './protocol/seal.js';
import type {Attempt} from './protocol/attempt.js';
import type {SealOutcome, SealResult} from './protocol/seal.js';
import {AskError, askSealAttempt} from './transport/attempt-service.js';

/**
 * Asks the gate of an attempt, on a new connection, what became of it.
 *
 * @throws SealError
 */
export async function askSeal(
  attempt: Attempt,
  waitMs: number,
): Promise<SealResult> {
  try {
    const {outcome, answer} = await askSealAttempt(attempt, waitMs);
    return {outcome: outcome as SealOutcome, ...(answer ? {answer} : {})};
  } catch (error) {
    if (!(error instanceof AskError)) throw error;
    throw new SealError(error.isRefused, error.message);
  }
}
