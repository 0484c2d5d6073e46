/**
 * Seals a key at its earlier homes before a new home claims it. A home that
 * seals a key has not run it and promises not to claim it under an earlier
 * epoch.
 */
import type {
  KeyTransfer,
  StoredAnswer,
  KeySealRequest,
  KeySealReply,
} from '../protocol/key-messages.js';
import {KeySealOutcome} from '../protocol/key-messages.js';
import type {EarlierHome, HomeEpochs} from './home-epochs.js';

/**
 * Maximum time that an earlier home delays its reply while the key is running
 * there.
 */
const SEAL_WAIT_MS = 500;

/** Calls to other key homes, implemented by the transport layer. */
export interface KeyHomeCalls {
  /**
   * Asks a home to seal a key.
   *
   * @throws when no reply arrives, for any reason.
   */
  sealKey(sealRequest: KeySealRequest): Promise<KeySealReply>;
  /**
   * Copies claims to another home and resolves with how many it accepted.
   *
   * @throws when no reply arrives or the address belongs to another process.
   */
  handOverKeys(handOver: KeyTransfer): Promise<number>;
}

/** Combined result of sealing a key at all its earlier homes. */
export type SealSummary =
  | {readonly outcome: typeof KeySealOutcome.SEALED}
  | {readonly outcome: typeof KeySealOutcome.RUNNING}
  | {readonly outcome: typeof KeySealOutcome.IN_DOUBT; readonly detail: string}
  | {
      readonly outcome: typeof KeySealOutcome.FINISHED;
      readonly fingerprint: string;
      readonly answer: StoredAnswer | undefined;
    };

interface HomeReply {
  readonly earlier: EarlierHome;
  readonly reply: KeySealReply;
}

/** Seals a key at each of its earlier homes. */
export async function sealAtHomes(
  homes: readonly EarlierHome[],
  keyAtEpoch: {
    readonly service: string;
    readonly key: string;
    readonly epoch: number;
  },
  calls: KeyHomeCalls,
  epochs: HomeEpochs,
): Promise<SealSummary> {
  const {service, key, epoch} = keyAtEpoch;
  const replies = await Promise.all(
    homes.map(async earlier => ({
      earlier,
      reply: await sealAtHome(calls, {
        service,
        key,
        epoch,
        home: earlier.home,
        waitMs: SEAL_WAIT_MS,
      }),
    })),
  );
  for (const {reply} of replies) {
    epochs.recordFirstOpenEpoch(service, reply.firstOpenEpoch);
  }
  return mergeReplies(replies, epochs.computeFirstOpenEpoch(service));
}

async function sealAtHome(
  calls: KeyHomeCalls,
  sealRequest: KeySealRequest,
): Promise<KeySealReply> {
  try {
    return await calls.sealKey(sealRequest);
  } catch {
    return {outcome: KeySealOutcome.IN_DOUBT, firstOpenEpoch: 0};
  }
}

/**
 * Combines the replies of all earlier homes. If one home ran the key, its reply
 * decides whatever the others report. An in-doubt reply is ignored if its epoch
 * turns out to be closed.
 */
function mergeReplies(
  replies: readonly HomeReply[],
  firstOpenEpoch: number,
): SealSummary {
  const find = (outcome: KeySealOutcome): HomeReply | undefined =>
    replies.find(
      ({reply, earlier}) =>
        reply.outcome === outcome &&
        (outcome !== KeySealOutcome.IN_DOUBT ||
          earlier.epoch >= firstOpenEpoch),
    );
  const finished = find(KeySealOutcome.FINISHED)?.reply;
  if (finished) {
    return {
      outcome: KeySealOutcome.FINISHED,
      fingerprint: finished.fingerprint ?? '',
      answer: finished.answer,
    };
  }
  if (find(KeySealOutcome.RUNNING)) return {outcome: KeySealOutcome.RUNNING};
  const undecided = find(KeySealOutcome.IN_DOUBT)?.earlier;
  if (undecided) {
    const {home, epoch} = undecided;
    const detail = `home ${home.nodeId} of epoch ${epoch} could not rule out a run`;
    return {outcome: KeySealOutcome.IN_DOUBT, detail};
  }
  return {outcome: KeySealOutcome.SEALED};
}
