/**
 * Messages between key homes. A key home is the node that owns an idempotency
 * key under a home list. The types are independent of the wire format, so that
 * the protocol can be tested without a network.
 */
import type {KeyHome} from './records.js';
import type {Headers} from './service-request.js';

/** A complete answer that is small enough to be stored for replay. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: {readonly held: Buffer};
}

/** Asks an earlier home never to run a key, or else to report its outcome. */
export interface KeySealRequest {
  readonly service: string;
  readonly key: string;
  /** Epoch of the home list under which the sender is the key's home. */
  readonly epoch: number;
  /** Process in the earlier home list, to which the request is addressed. */
  readonly home: KeyHome;
  /** Maximum time that the receiver may hold the request while the key runs. */
  readonly waitMs: number;
}

/** State of a key as an earlier home reports it. */
export const KeySealOutcome = {
  /** The key did not run there and never will below the sender's epoch. */
  SEALED: 'sealed',
  /** Whether the key ran is unknown there. */
  IN_DOUBT: 'in-doubt',
  /** The key is running there. */
  RUNNING: 'running',
  /** The key ran there; the answer is attached if it was stored. */
  FINISHED: 'finished',
} as const;

export type KeySealOutcome =
  (typeof KeySealOutcome)[keyof typeof KeySealOutcome];

const KEY_SEAL_OUTCOMES = new Set<string>(Object.values(KeySealOutcome));

/** Reads an outcome; an unknown value is read as in-doubt. */
export function readKeySealOutcome(text: string): KeySealOutcome {
  return KEY_SEAL_OUTCOMES.has(text)
    ? (text as KeySealOutcome)
    : KeySealOutcome.IN_DOUBT;
}

/** Reply to a KeySealRequest. */
export interface KeySealReply {
  readonly outcome: KeySealOutcome;
  readonly fingerprint?: string;
  readonly answer?: StoredAnswer;
  /** Epochs below it ended so long ago that no caller resends their keys. */
  readonly firstOpenEpoch: number;
}

/** The claim of a key, as a leaving home copies it to another home. */
export interface ClaimCopy {
  readonly service: string;
  readonly key: string;
  readonly fingerprint: string;
  readonly state: 'finished' | 'in-doubt';
  readonly answer?: StoredAnswer;
  /** Milliseconds since the key was claimed. */
  readonly ageMs: number;
}

/** Copies of the claims of a leaving home, sent to one other home. */
export interface KeyTransfer {
  readonly fromNodeId: string;
  readonly to: KeyHome;
  readonly claims: readonly ClaimCopy[];
}
