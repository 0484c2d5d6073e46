/**
 * Members as this node knows them, and the rule by which one update replaces
 * another. The rule is a total order on updates about one process, so nodes
 * that have seen the same updates agree, in whatever order they came.
 */
import {create} from '@bufbuild/protobuf';
import type {Member} from '../protocol/membership_pb.js';
import {MemberSchema, MemberStatus} from '../protocol/membership_pb.js';

/** Rank of a status among updates of equal sequence; the higher one wins. */
const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  [MemberStatus.UNSPECIFIED]: 0,
  [MemberStatus.ALIVE]: 1,
  [MemberStatus.SUSPECT]: 2,
  [MemberStatus.LEAVING]: 3,
  [MemberStatus.DEAD]: 4,
};

/** Whether an update replaces what is known of the same node. */
export function isNewer(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.sequence !== known.sequence) {
    return update.sequence > known.sequence;
  }
  return STATUS_RANK[update.status] > STATUS_RANK[known.status];
}

/** Copies a member with another status. */
export function copyWithStatus(member: Member, status: MemberStatus): Member {
  return create(MemberSchema, {...member, status});
}

/** Members by node id; at most one that is not dead at each address. */
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

  /** Whether a member that is not dead is known at an address. */
  hasLiving(peerAddress: string): boolean {
    return this.idByAddress.has(peerAddress);
  }

  /** All members. */
  list(): Member[] {
    return [...this.members.values()];
  }

  /** Members of one status. */
  listByStatus(status: MemberStatus): Member[] {
    return this.list().filter(member => member.status === status);
  }

  /**
   * Takes an update in. Returns the members that changed: none when it was old
   * news, two when a new process took over the address of another node.
   */
  apply(update: Member): Member[] {
    const known = this.members.get(update.nodeId);
    if (known) this.mergeStateVersion(known, update);
    const isNews = known ? isNewer(update, known) : isLiving(update);
    if (!isNews) return [];
    const holder = this.findOtherAt(update);
    if (!holder || !isLiving(update)) return [this.write(update)];
    if (holder.incarnation > update.incarnation) return [];
    const replaced = copyWithStatus(holder, MemberStatus.DEAD);
    return [this.write(replaced), this.write(update)];
  }

  /** Forgets the members that have been dead since before a time. */
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

  /** Another node, not dead, at the address of an update. */
  private findOtherAt(update: Member): Member | undefined {
    const holderId = this.idByAddress.get(update.peerAddress);
    if (holderId === undefined || holderId === update.nodeId) return undefined;
    return this.members.get(holderId);
  }

  /** A process's state version only grows, whatever order updates come in. */
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
