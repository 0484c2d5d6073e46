/**
 * Anti-entropy between the member tables of two nodes. It runs when a node
 * joins, periodically to recover lost updates, and to rejoin nodes after a
 * partition.
 */
import {create} from '@bufbuild/protobuf';
import type {
  ExchangeMembersReply,
  ExchangeMembersRequest,
  Member,
} from '../protocol/membership_pb.js';
import {
  ExchangeMembersReplySchema,
  ExchangeMembersRequestSchema,
  MemberStatus,
} from '../protocol/membership_pb.js';
import {
  compareBucketDigests,
  computeBucket,
  computeBucketDigests,
} from './member-digest.js';
import {isNewer} from './member-table.js';
import type {MemberView} from './member-view.js';
import {UpdateSource} from './member-view.js';
import type {MembershipCalls} from './membership-calls.js';

/** Allows for tables of thousands of members, unlike the probe timeout. */
const EXCHANGE_TIMEOUT_MS = 2000;

/** Starts and answers table exchanges for one node. */
export class MemberExchange {
  constructor(
    private readonly view: MemberView,
    private readonly calls: MembershipCalls,
  ) {}

  /**
   * Exchanges differing members with the node at an address. Resolves with
   * false when a call fails.
   */
  async run(peerAddress: string): Promise<boolean> {
    try {
      const reply = await this.send(
        peerAddress,
        this.listInitialMembers(peerAddress),
        computeBucketDigests(this.view.table.list()),
      );
      this.view.applyUpdates(reply.members, UpdateSource.EXCHANGE);
      const missing = this.listMissingMembers(reply);
      if (missing.length > 0) await this.send(peerAddress, missing, []);
      return true;
    } catch {
      return false;
    }
  }

  /** Applies the members of another node's request and builds the reply. */
  answer(request: ExchangeMembersRequest): ExchangeMembersReply {
    this.view.applyUpdates(request.members, UpdateSource.GOSSIP);
    if (request.bucketDigests.length === 0) {
      return create(ExchangeMembersReplySchema);
    }
    const members = this.listMembers();
    const differingBuckets = compareBucketDigests(
      computeBucketDigests(members),
      request.bucketDigests,
    );
    const differing = new Set(differingBuckets);
    return create(ExchangeMembersReplySchema, {
      members: members.filter(({nodeId}) =>
        differing.has(computeBucket(nodeId)),
      ),
      differingBuckets,
    });
  }

  private send(
    peerAddress: string,
    members: Member[],
    bucketDigests: number[],
  ): Promise<ExchangeMembersReply> {
    const request = create(ExchangeMembersRequestSchema, {
      members,
      bucketDigests,
    });
    return this.calls.exchangeMembers(
      peerAddress,
      request,
      EXCHANGE_TIMEOUT_MS,
    );
  }

  /**
   * Returns this node's record and those of the receiver that are not alive,
   * so that the receiver can refute them.
   */
  private listInitialMembers(peerAddress: string): Member[] {
    const notAlive = this.view.table
      .list()
      .filter(
        member =>
          member.peerAddress === peerAddress &&
          member.status !== MemberStatus.ALIVE,
      );
    return [this.view.self, ...notAlive];
  }

  /** Returns the members of which the peer has an older record or none. */
  private listMissingMembers(reply: ExchangeMembersReply): Member[] {
    const differing = new Set(reply.differingBuckets);
    const peerMembers = new Map(
      reply.members.map(member => [member.nodeId, member]),
    );
    return this.listMembers().filter(member => {
      if (!differing.has(computeBucket(member.nodeId))) return false;
      const peerMember = peerMembers.get(member.nodeId);
      if (peerMember) return isNewer(member, peerMember);
      return member.status !== MemberStatus.DEAD;
    });
  }

  private listMembers(): Member[] {
    const {self, table} = this.view;
    return table
      .list()
      .map(member => (member.nodeId === self.nodeId ? self : member));
  }
}
