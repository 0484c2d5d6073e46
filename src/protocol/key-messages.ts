/**
 * What key homes ask and tell each other. The types are independent of the
 * wire format, so that the rule can be tested without a network.
 */
import type {KeyHome} from './records.js';
import type {Headers} from './service-request.js';

/** An answer that is small enough to be kept for replay. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: {readonly held: Buffer};
}

/** Asks an earlier home never to run a key, or for what became of it. */
export interface SealQuestion {
  readonly service: string;
  readonly key: string;
  /** Epoch of the list under which the asker is the key's home. */
  readonly epoch: number;
  /** The process that the earlier list names. */
  readonly home: KeyHome;
  /** How long the earlier home may hold the question while the key runs. */
  readonly waitMs: number;
}

/** What an earlier home says of a key. */
export const SealOutcome = {
  /** It has not run the key and never will at an epoch below the asker's. */
  SEALED: 'sealed',
  /** It can't tell whether the key ran. */
  IN_DOUBT: 'in-doubt',
  /** The key is running there. */
  RUNNING: 'running',
  /** The key ran there; the answer is attached when it was kept. */
  FINISHED: 'finished',
} as const;

export type SealOutcome = (typeof SealOutcome)[keyof typeof SealOutcome];

const SEAL_OUTCOMES = new Set<string>(Object.values(SealOutcome));

/** Reads an outcome; an unknown one leaves the key in doubt. */
export function readSealOutcome(text: string): SealOutcome {
  return SEAL_OUTCOMES.has(text) ? (text as SealOutcome) : SealOutcome.IN_DOUBT;
}

/** Reply to a SealQuestion. */
export interface SealReply {
  readonly outcome: SealOutcome;
  readonly fingerprint?: string;
  readonly answer?: KeptAnswer;
  /** Epochs below it ended too long ago for any resend to come. */
  readonly firstOpenEpoch: number;
}

/** A remembered key as a leaving home copies it to another. */
export interface ClaimCopy {
  readonly service: string;
  readonly key: string;
  readonly fingerprint: string;
  readonly state: 'finished' | 'in-doubt';
  readonly answer?: KeptAnswer;
  /** Time since the key was claimed. */
  readonly ageMs: number;
}

/** Copies of the claims of a leaving home, for one other home. */
export interface HandOver {
  readonly fromNodeId: string;
  readonly to: KeyHome;
  readonly claims: readonly ClaimCopy[];
}
