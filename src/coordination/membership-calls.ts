/**
 * Calls that membership makes to other nodes; the transport implements them.
 * Each call rejects when no reply arrives within its timeout.
 */
import type {
  ExchangeMembersReply,
  ExchangeMembersRequest,
  ProbeIndirectReply,
  ProbeIndirectRequest,
  ProbeReply,
  ProbeRequest,
} from '../protocol/membership_pb.js';

/** Client of the membership service of other nodes. */
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
