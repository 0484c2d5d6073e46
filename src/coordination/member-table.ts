/**
 * Member table of this node and the precedence of updates. Precedence is a
 * total order on the updates about one process, so that nodes that have seen
 * the same updates agree, regardless of the order of arrival.
 */
import {create} from '@bufbuild/protobuf';
import type {Member} from '../protocol/membership_pb.js';
import {MemberSchema, MemberStatus} from '../protocol/membership_pb.js';

/** Precedence of statuses among updates of equal sequence; the highest wins. */
const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  [MemberStatus.UNSPECIFIED]: 0,
  [MemberStatus.ALIVE]: 1,
  [MemberStatus.SUSPECT]: 2,
  [MemberStatus.LEAVING]: 3,
  [MemberStatus.DEAD]: 4,
};

/** Returns whether an update takes precedence over its node's known record. */
export function isNewer(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.sequence !== known.sequence) {
    return update.sequence > known.sequence;
  }
  return STATUS_RANK[update.status] > STATUS_RANK[known.status];
}

/** Returns a copy of a member with another status. */
export function copyWithStatus(member: Member, status: MemberStatus): Member {
  return create(MemberSchema, {...member, status});
}

/** Members by node id, with at most one that is not dead per address. */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private readonly idByAddress = new Map<string, string>();
  private readonly deadSince = new Map<string, number>();

  /** Number of members, dead ones included. */
  get size(): number {
    return this.members.size;
  }

  /** Finds a member by node id. */
  find(nodeId: string): Member | undefined {
    return this.members.get(nodeId);
  }

  /** Returns whether a member that is not dead is known at an address. */
  hasLivingMember(peerAddress: string): boolean {
    return this.idByAddress.has(peerAddress);
  }

  /** Returns all members, dead ones included. */
  list(): Member[] {
    return [...this.members.values()];
  }

  /** Returns the members with a status. */
  listByStatus(status: MemberStatus): Member[] {
    return this.list().filter(member => member.status === status);
  }

  /**
   * Applies an update. Returns the members that changed: none when the update
   * is outdated, two when a new process took over the address of another node.
   */
  apply(update: Member): Member[] {
    const known = this.members.get(update.nodeId);
    if (known) this.mergeStateVersion(known, update);
    const isAccepted = known ? isNewer(update, known) : isLiving(update);
    if (!isAccepted) return [];
    const holder = this.findAddressHolder(update);
    if (!holder || !isLiving(update)) return [this.write(update)];
    if (holder.incarnation > update.incarnation) return [];
    const replaced = copyWithStatus(holder, MemberStatus.DEAD);
    return [this.write(replaced), this.write(update)];
  }

  /** Removes the members that have been dead since before a time. */
  expireDead(before: number): void {
    for (const [nodeId, since] of this.deadSince) {
      if (since >= before) continue;
      this.deadSince.delete(nodeId);
      this.members.delete(nodeId);
    }
  }

  private write(member: Member): Member {
    const {nodeId, peerAddress} = member;
    const known = this.members.get(nodeId);
    if (known && this.idByAddress.get(known.peerAddress) === nodeId) {
      this.idByAddress.delete(known.peerAddress);
    }
    this.members.set(nodeId, member);
    if (isLiving(member)) {
      this.idByAddress.set(peerAddress, nodeId);
      this.deadSince.delete(nodeId);
    } else {
      this.deadSince.set(nodeId, performance.now());
    }
    return member;
  }

  /** Finds another node, not dead, at the address of an update. */
  private findAddressHolder(update: Member): Member | undefined {
    const holderId = this.idByAddress.get(update.peerAddress);
    if (holderId === undefined || holderId === update.nodeId) return undefined;
    return this.members.get(holderId);
  }

  /**
   * Keeps the higher state version of the two, since the version of a process
   * only grows but updates may arrive out of order.
   */
  private mergeStateVersion(known: Member, update: Member): void {
    if (known.incarnation !== update.incarnation) return;
    const newest = Math.max(known.stateVersion, update.stateVersion);
    known.stateVersion = newest;
    update.stateVersion = newest;
  }
}

function isLiving(member: Member): boolean {
  return member.status !== MemberStatus.DEAD;
}
