/**
 * Membership protocol over Connect: the calls to other nodes and the service
 * that answers theirs. Both sides count messages and bytes, because the cost of
 * membership per node must not depend on the number of nodes.
 */
import type {DescMessage, MessageShape} from '@bufbuild/protobuf';
import {toBinary} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import {Code, ConnectError} from '@connectrpc/connect';
import type {
  ExchangeMembersReply,
  ExchangeMembersRequest,
  ProbeIndirectReply,
  ProbeIndirectRequest,
  ProbeReply,
  ProbeRequest,
} from '../protocol/membership_pb.js';
import {
  ExchangeMembersReplySchema,
  ExchangeMembersRequestSchema,
  MembershipService,
  ProbeIndirectReplySchema,
  ProbeIndirectRequestSchema,
  ProbeReplySchema,
  ProbeRequestSchema,
} from '../protocol/membership_pb.js';
import type {PeerClients} from './peer-client.js';

/** Adds to a counter of the node; the amount defaults to 1. */
export type Count = (name: string, amount?: number) => void;

/** Handlers of calls from other nodes. */
export interface MembershipHandlers {
  handleProbe(request: ProbeRequest): ProbeReply;
  handleProbeIndirect(
    request: ProbeIndirectRequest,
  ): Promise<ProbeIndirectReply>;
  handleExchange(request: ExchangeMembersRequest): ExchangeMembersReply;
}

/** Creates the calls to the membership service of other nodes. */
export function createMembershipCalls(
  deployment: string,
  peers: PeerClients,
  count: Count,
) {
  const findClient = (peerAddress: string) =>
    peers.find(MembershipService, peerAddress);
  return {
    probe: (peerAddress: string, request: ProbeRequest, timeoutMs: number) => {
      request.deployment = deployment;
      countMessage(count, ProbeRequestSchema, request);
      return findClient(peerAddress).probe(request, {timeoutMs});
    },
    probeIndirect: (
      peerAddress: string,
      request: ProbeIndirectRequest,
      timeoutMs: number,
    ) => {
      countMessage(count, ProbeIndirectRequestSchema, request);
      return findClient(peerAddress).probeIndirect(request, {timeoutMs});
    },
    exchangeMembers: (
      peerAddress: string,
      request: ExchangeMembersRequest,
      timeoutMs: number,
    ) => {
      request.deployment = deployment;
      countMessage(count, ExchangeMembersRequestSchema, request);
      return findClient(peerAddress).exchangeMembers(request, {timeoutMs});
    },
  };
}

/** Registers the service that answers other nodes. */
export function registerMembershipService(
  router: ConnectRouter,
  deployment: string,
  handlers: MembershipHandlers,
  count: Count,
): void {
  router.service(MembershipService, {
    probe: request => {
      checkDeployment(deployment, request);
      const reply = handlers.handleProbe(request);
      return countMessage(count, ProbeReplySchema, reply);
    },
    probeIndirect: async request => {
      const reply = await handlers.handleProbeIndirect(request);
      return countMessage(count, ProbeIndirectReplySchema, reply);
    },
    exchangeMembers: request => {
      checkDeployment(deployment, request);
      const reply = handlers.handleExchange(request);
      return countMessage(count, ExchangeMembersReplySchema, reply);
    },
  });
}

/** Refuses other deployments' nodes, so that memberships don't mix. */
function checkDeployment(
  deployment: string,
  request: {readonly deployment: string},
): void {
  if (request.deployment === deployment) return;
  throw new ConnectError(
    `this node belongs to deployment ${deployment}`,
    Code.FailedPrecondition,
  );
}

function countMessage<S extends DescMessage>(
  count: Count,
  schema: S,
  message: MessageShape<S>,
): MessageShape<S> {
  count('membership.messages-sent');
  count('membership.bytes-sent', toBinary(schema, message).length);
  return message;
}
