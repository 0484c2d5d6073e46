/**
 * Connects the query for the outcome of an attempt with the transport that
 * sends it.
 */
import {SealError} from './protocol/seal.js';
import type {Attempt} from './protocol/attempt.js';
import type {SealOutcome, SealResult} from './protocol/seal.js';
import {SealCallError, askSealAttempt} from './transport/attempt-service.js';

/**
 * Queries the outcome of an attempt from its gate, on a new connection.
 *
 * @throws SealError when the gate cannot be queried.
 */
export async function askSeal(
  attempt: Attempt,
  waitMs: number,
): Promise<SealResult> {
  try {
    const {outcome, answer} = await askSealAttempt(attempt, waitMs);
    return {outcome: outcome as SealOutcome, ...(answer ? {answer} : {})};
  } catch (error) {
    if (!(error instanceof SealCallError)) throw error;
    throw new SealError(error.isRefused, error.message);
  }
}
