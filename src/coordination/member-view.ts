/**
 * This node's view of the membership: all members, its own record included,
 * and the updates that it still has to gossip.
 */
import {create} from '@bufbuild/protobuf';
import type {Member} from '../protocol/membership_pb.js';
import {MemberSchema, MemberStatus} from '../protocol/membership_pb.js';
import type {NodeIdentity} from '../protocol/node-identity.js';
import {MemberGossip} from './member-gossip.js';
import {copyWithStatus, isNewer, MemberTable} from './member-table.js';

/** Channel through which updates were received. */
export const UpdateSource = {
  /** On a probe or a reply: recent updates that are still being gossiped. */
  GOSSIP: 'gossip',
  /** In a table exchange: updates that most nodes know already. */
  EXCHANGE: 'exchange',
} as const;

export type UpdateSource = (typeof UpdateSource)[keyof typeof UpdateSource];

/** A changed member and its previous record. */
export interface MemberChange {
  readonly member: Member;
  readonly known: Member | undefined;
}

/** Dependencies of a view. */
export interface MemberViewOptions {
  readonly identity: NodeIdentity;
  readonly findStateVersion: () => number;
  /** Called synchronously for each change, before the next one is applied. */
  readonly handleChange: (change: MemberChange) => void;
  /** Called when an update shows a later process with this node's id. */
  readonly handleReplaced: (by: Member) => void;
}

/** Membership view of one node. */
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

  /** Returns the other members that are not dead. */
  listPeers(): Member[] {
    return this.table
      .list()
      .filter(
        member =>
          member.status !== MemberStatus.DEAD &&
          member.nodeId !== this.ownRecord.nodeId,
      );
  }

  /** Returns the other members that are alive or suspected. */
  listActivePeers(): Member[] {
    return this.listPeers().filter(
      member => member.status !== MemberStatus.LEAVING,
    );
  }

  /** Changes this node's own record and increments its sequence. */
  updateSelf(change: Partial<Pick<Member, 'workers' | 'status'>>): void {
    this.publishSelf(
      create(MemberSchema, {
        ...this.self,
        ...change,
        sequence: this.ownRecord.sequence + 1,
      }),
    );
  }

  /** Sets the status of another member that this node itself has detected. */
  markMember(known: Member, status: MemberStatus): void {
    this.applyToTable(copyWithStatus(known, status), true);
  }

  /** Applies updates received from other nodes. */
  applyUpdates(updates: readonly Member[], source: UpdateSource): void {
    for (const update of updates) {
      if (update.nodeId === this.ownRecord.nodeId)
        this.handleUpdateAboutSelf(update);
      else this.applyUpdate(update, source);
    }
  }

  /**
   * Takes the updates for one message. When the receiver is not alive in this
   * view, its own record comes first, so that it can refute it at once.
   */
  takeUpdates(receiverId: string): Member[] {
    const updates = this.gossip.take(this.table.size);
    const receiver = this.table.find(receiverId);
    const isNotAlive =
      receiver !== undefined &&
      receiver.status !== MemberStatus.ALIVE &&
      !updates.includes(receiver);
    return isNotAlive ? [receiver, ...updates] : updates;
  }

  private applyUpdate(update: Member, source: UpdateSource): void {
    const known = this.table.find(update.nodeId);
    const isWidelyKnown =
      source === UpdateSource.EXCHANGE && known === undefined;
    this.applyToTable(resolveDeadStatus(update, known), !isWidelyKnown);
  }

  private applyToTable(update: Member, isGossiped: boolean): void {
    const known = this.table.find(update.nodeId);
    for (const member of this.table.apply(update)) {
      const isUpdate = member.nodeId === update.nodeId;
      if (isGossiped) this.gossip.enqueue(member);
      this.options.handleChange({
        member,
        known: isUpdate ? known : copyWithStatus(member, MemberStatus.ALIVE),
      });
    }
  }

  /**
   * Handles an update about this node: refutes it when it takes precedence over
   * the own record, and sends the own record again when it is outdated.
   */
  private handleUpdateAboutSelf(update: Member): void {
    const own = this.ownRecord;
    if (update.incarnation > own.incarnation) {
      this.options.handleReplaced(update);
      return;
    }
    if (isNewer(update, own)) {
      const sequence = update.sequence + 1;
      this.publishSelf(create(MemberSchema, {...this.self, sequence}));
    } else if (isNewer(own, update)) {
      // The sender missed the latest own record, such as a refutation.
      this.gossip.enqueue(this.ownRecord);
    }
  }

  private publishSelf(record: Member): void {
    this.ownRecord = record;
    this.applyToTable(record, true);
  }
}

/**
 * Turns another node's report that an active member is dead into a suspicion,
 * so that each node waits for the suspicion timeout itself. After a partition
 * each side reports the other dead; dropping the members of this side on such a
 * report would leave requests without a worker.
 */
function resolveDeadStatus(update: Member, known: Member | undefined): Member {
  const isUnconfirmed =
    update.status === MemberStatus.DEAD &&
    (known?.status === MemberStatus.ALIVE ||
      known?.status === MemberStatus.SUSPECT) &&
    known.incarnation === update.incarnation;
  return isUnconfirmed ? copyWithStatus(update, MemberStatus.SUSPECT) : update;
}
