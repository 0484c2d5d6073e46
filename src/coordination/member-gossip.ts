/**
 * Queue of member updates that are piggybacked on probes and replies. The
 * number of sends per update grows with the logarithm of the cluster size,
 * which reaches all nodes with high probability. The bytes per message are
 * bounded.
 */
import {toBinary} from '@bufbuild/protobuf';
import type {Member} from '../protocol/membership_pb.js';
import {MemberSchema} from '../protocol/membership_pb.js';

/** Maximum bytes of updates in one message; a single update may exceed it. */
const MAX_UPDATE_BYTES = 1200;
/** Number of times an update is sent, per doubling of the member count. */
const SENDS_PER_DOUBLING = 3;

interface QueuedUpdate {
  readonly member: Member;
  readonly bytes: number;
  sendCount: number;
}

/** Holds the updates that still have to be sent. */
export class MemberGossip {
  private readonly queue = new Map<string, QueuedUpdate>();

  /** Number of queued updates. */
  get size(): number {
    return this.queue.size;
  }

  /** Adds an update, replacing any queued update about the same node. */
  enqueue(member: Member): void {
    const bytes = toBinary(MemberSchema, member).length;
    this.queue.set(member.nodeId, {member, bytes, sendCount: 0});
  }

  /** Takes the updates for one message, those sent least often first. */
  take(memberCount: number): Member[] {
    const limit = computeSendLimit(memberCount);
    const taken: Member[] = [];
    let bytes = 0;
    for (const update of this.listBySendCount()) {
      bytes += update.bytes;
      if (bytes > MAX_UPDATE_BYTES && taken.length > 0) break;
      taken.push(update.member);
      update.sendCount += 1;
      if (update.sendCount >= limit) this.queue.delete(update.member.nodeId);
    }
    return taken;
  }

  private listBySendCount(): QueuedUpdate[] {
    return [...this.queue.values()].sort((a, b) => a.sendCount - b.sendCount);
  }
}

/** Returns how many times an update is sent in a cluster of a given size. */
export function computeSendLimit(memberCount: number): number {
  return SENDS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 1));
}
