/**
 * Calls to other nodes that membership makes; the transport implements them.
 * Each rejects when no answer came in time.
 */
import type {
  ExchangeMembersReply,
  ExchangeMembersRequest,
  ProbeIndirectReply,
  ProbeIndirectRequest,
  ProbeReply,
  ProbeRequest,
} from '../protocol/membership_pb.js';

/** Calls of one node to the membership service of others. */
export interface MembershipCalls {
  probe(
    peerAddress: string,
    request: ProbeRequest,
    timeoutMs: number,
  ): Promise<ProbeReply>;
  probeIndirect(
    peerAddress: string,
    request: ProbeIndirectRequest,
    timeoutMs: number,
  ): Promise<ProbeIndirectReply>;
  exchangeMembers(
    peerAddress: string,
    request: ExchangeMembersRequest,
    timeoutMs: number,
  ): Promise<ExchangeMembersReply>;
}
