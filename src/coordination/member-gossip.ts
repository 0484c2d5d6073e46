/**
 * Updates about members that ride on probes and replies. Each is sent a
 * number of times that grows with the logarithm of the cluster, which reaches
 * all nodes with high probability, and a message carries bounded bytes.
 */
import {toBinary} from '@bufbuild/protobuf';
import type {Member} from '../protocol/membership_pb.js';
import {MemberSchema} from '../protocol/membership_pb.js';

/** Most bytes of updates in one message. */
const MAX_UPDATE_BYTES = 1200;
/** Sends of one update for each doubling of the number of members. */
const SENDS_PER_DOUBLING = 3;

interface QueuedUpdate {
  readonly member: Member;
  readonly bytes: number;
  sendCount: number;
}

/** Updates that still have to be sent. */
export class MemberGossip {
  private readonly queue = new Map<string, QueuedUpdate>();

  /** Number of updates that wait. */
  get size(): number {
    return this.queue.size;
  }

  /** Adds an update; it replaces an older one about the same node. */
  enqueue(member: Member): void {
    const bytes = toBinary(MemberSchema, member).length;
    this.queue.set(member.nodeId, {member, bytes, sendCount: 0});
  }

  /** Takes the updates for one message, those sent least often first. */
  take(memberCount: number): Member[] {
    const limit = computeSendLimit(memberCount);
    const taken: Member[] = [];
    let bytes = 0;
    for (const update of this.listByUrgency()) {
      bytes += update.bytes;
      if (bytes > MAX_UPDATE_BYTES && taken.length > 0) break;
      taken.push(update.member);
      update.sendCount += 1;
      if (update.sendCount >= limit) this.queue.delete(update.member.nodeId);
    }
    return taken;
  }

  private listByUrgency(): QueuedUpdate[] {
    return [...this.queue.values()].sort((a, b) => a.sendCount - b.sendCount);
  }
}

/** Sends of one update among so many members. */
export function computeSendLimit(memberCount: number): number {
  return SENDS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 1));
}
