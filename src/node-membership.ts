/**
 * Membership of one node process: connects the membership protocol to the
 * transport, the replicated state and the connections to close when a node is
 * lost.
 */
import {Membership} from './coordination/membership.js';
import type {MemberStatus} from './protocol/membership_pb.js';
import {MemberStatus as Statuses} from './protocol/membership_pb.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import type {NodeSettings} from './protocol/settings.js';
import type {StateStore} from './state/state-store.js';
import type {WorkerTable} from './state/worker-table.js';
import type {GateClient} from './transport/gate-client.js';
import type {Logger} from './transport/logger.js';
import {createMembershipCalls} from './transport/membership-service.js';
import type {Metrics} from './transport/metrics.js';
import type {PeerClients} from './transport/peer-client.js';

/** Dependencies and settings of a node's membership. */
export interface NodeMembershipOptions {
  readonly identity: NodeIdentity;
  readonly settings: NodeSettings;
  readonly workers: WorkerTable;
  readonly state: StateStore;
  readonly peers: PeerClients;
  readonly gateClient: GateClient;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Member as shown on the status path. */
export interface MemberStatusRow {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly status: string;
  readonly peerAddress: string;
  readonly stateVersion: number;
}

/** Creates the membership of a node. */
export function createNodeMembership(
  options: NodeMembershipOptions,
): Membership {
  const {identity, settings, state, metrics, peers} = options;
  const membership = new Membership({
    identity,
    settings: settings.membership,
    workers: options.workers,
    calls: createMembershipCalls(
      findDeployment(settings),
      peers,
      (name, amount) => metrics.count(name, amount),
    ),
    random: Math.random,
    findStateVersion: () => state.current.version,
    computeLogAgeMs: () => state.computeLogAgeMs(),
    recordLogConfirmation: ageMs => state.recordLogConfirmation(ageMs),
  });
  membership.events.on('nodeLost', ({peerAddress}) => {
    peers.remove(peerAddress);
    void options.gateClient.removeNode(peerAddress);
    options.logger.write('info', 'node lost', {peerAddress});
  });
  membership.events.on('replaced', ({peerAddress}) => {
    options.logger.write('error', 'a later process has this node id', {
      peerAddress,
    });
  });
  return membership;
}

/** Returns the name of the deployment that a node belongs to. */
export function findDeployment(settings: NodeSettings): string {
  return settings.membership.deployment ?? settings.platformLog.name;
}

/** Lists the members for the status path. */
export function listMemberRows(membership: Membership): MemberStatusRow[] {
  return membership.listMembers().map(member => ({
    nodeId: member.nodeId,
    incarnation: member.incarnation,
    status: formatStatus(member.status),
    peerAddress: member.peerAddress,
    stateVersion: member.stateVersion,
  }));
}

function formatStatus(status: MemberStatus): string {
  return Statuses[status].toLowerCase();
}
