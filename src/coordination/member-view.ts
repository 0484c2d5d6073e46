/**
 * What this node knows of all members, its own record included, and the
 * updates that it still has to pass on.
 */
import {create} from '@bufbuild/protobuf';
import type {Member} from '../protocol/membership_pb.js';
import {MemberSchema, MemberStatus} from '../protocol/membership_pb.js';
import type {NodeIdentity} from '../protocol/node-identity.js';
import {MemberGossip} from './member-gossip.js';
import {copyWithStatus, isNewer, MemberTable} from './member-table.js';

/** How updates came here. */
export const UpdateSource = {
  /** On a probe or a reply: news that is still spreading. */
  GOSSIP: 'gossip',
  /** From the comparison of whole tables: mostly old news. */
  EXCHANGE: 'exchange',
} as const;

export type UpdateSource = (typeof UpdateSource)[keyof typeof UpdateSource];

/** A member that changed, with what was known before. */
export interface MemberChange {
  readonly member: Member;
  readonly known: Member | undefined;
}

/** What a view works with. */
export interface MemberViewOptions {
  readonly identity: NodeIdentity;
  readonly findStateVersion: () => number;
  /** Told of each change at once, before anything else is done. */
  readonly handleChange: (change: MemberChange) => void;
  /** Told when a later process with this node's id turned up. */
  readonly handleReplaced: (by: Member) => void;
}

/** The members as one node sees them. */
export class MemberView {
  readonly table = new MemberTable();
  private readonly gossip = new MemberGossip();
  private ownRecord: Member;

  constructor(private readonly options: MemberViewOptions) {
    const {identity} = options;
    this.ownRecord = create(MemberSchema, {
      nodeId: identity.nodeId,
      incarnation: identity.incarnation,
      status: MemberStatus.ALIVE,
      peerAddress: identity.peerAddress,
      callerAddress: identity.callerAddress,
      dataCentre: identity.dataCentre,
    });
    this.table.apply(this.ownRecord);
    this.gossip.enqueue(this.ownRecord);
  }

  /** This node's own record. */
  get self(): Member {
    this.ownRecord.stateVersion = this.options.findStateVersion();
    return this.ownRecord;
  }

  /** Other members that are not held dead. */
  listPeers(): Member[] {
    return this.table
      .list()
      .filter(
        member =>
          member.status !== MemberStatus.DEAD &&
          member.nodeId !== this.ownRecord.nodeId,
      );
  }

  /** Other members that are alive or merely suspected. */
  listActivePeers(): Member[] {
    return this.listPeers().filter(
      member => member.status !== MemberStatus.LEAVING,
    );
  }

  /** Changes this node's own record, which raises its sequence. */
  updateSelf(change: Partial<Pick<Member, 'workers' | 'status'>>): void {
    this.publishSelf(
      create(MemberSchema, {
        ...this.self,
        ...change,
        sequence: this.ownRecord.sequence + 1,
      }),
    );
  }

  /** Marks another member by this node's own finding. */
  markMember(known: Member, status: MemberStatus): void {
    this.applyToTable(copyWithStatus(known, status), true);
  }

  /** Takes updates of other nodes in. */
  applyUpdates(updates: readonly Member[], source: UpdateSource): void {
    for (const update of updates) {
      if (update.nodeId === this.ownRecord.nodeId) this.answerClaim(update);
      else this.applyUpdate(update, source);
    }
  }

  /**
   * Takes updates for one message. A receiver that is not held alive here gets
   * its own record first, so that it can refute it at once.
   */
  takeUpdates(receiverId: string): Member[] {
    const updates = this.gossip.take(this.table.size);
    const receiver = this.table.find(receiverId);
    const isDoubted =
      receiver !== undefined &&
      receiver.status !== MemberStatus.ALIVE &&
      !updates.includes(receiver);
    return isDoubted ? [receiver, ...updates] : updates;
  }

  private applyUpdate(update: Member, source: UpdateSource): void {
    const known = this.table.find(update.nodeId);
    const isOldNews = source === UpdateSource.EXCHANGE && known === undefined;
    this.applyToTable(resolveDeath(update, known), !isOldNews);
  }

  private applyToTable(update: Member, isSpread: boolean): void {
    const known = this.table.find(update.nodeId);
    for (const member of this.table.apply(update)) {
      const isUpdate = member.nodeId === update.nodeId;
      if (isSpread) this.gossip.enqueue(member);
      this.options.handleChange({
        member,
        known: isUpdate ? known : copyWithStatus(member, MemberStatus.ALIVE),
      });
    }
  }

  /** Refutes what others say of this node when it is not so. */
  private answerClaim(claim: Member): void {
    const own = this.ownRecord;
    if (claim.incarnation > own.incarnation) {
      this.options.handleReplaced(claim);
      return;
    }
    if (isNewer(claim, own)) {
      const sequence = claim.sequence + 1;
      this.publishSelf(create(MemberSchema, {...this.self, sequence}));
    } else if (isNewer(own, claim)) {
      // The sender missed the refutation: it has to be told again.
      this.gossip.enqueue(this.ownRecord);
    }
  }

  private publishSelf(record: Member): void {
    this.ownRecord = record;
    this.applyToTable(record, true);
  }
}

/**
 * Takes another node's word that a member is dead for a suspicion only, so
 * that each node waits the suspicion time itself: after a partition each side
 * calls the other dead, and dropping the members of this side for that would
 * leave requests without a worker.
 */
function resolveDeath(update: Member, known: Member | undefined): Member {
  const isHearsay =
    update.status === MemberStatus.DEAD &&
    (known?.status === MemberStatus.ALIVE ||
      known?.status === MemberStatus.SUSPECT) &&
    known.incarnation === update.incarnation;
  return isHearsay ? copyWithStatus(update, MemberStatus.SUSPECT) : update;
}
