/**
 * Calls over Connect for version moves: reading the answer statistics of a
 * version and reporting that a version was found bad.
 */
import {create} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import {
  MoveService,
  PushBadnessReplySchema,
  ReadEvidenceReplySchema,
  RouteEvidenceSchema,
} from '../protocol/moves_pb.js';
import type {PeerClients} from './peer-client.js';

const CALL_TIMEOUT_MS = 1000;

/** Answer statistics of one route, as sent over the wire. */
export interface WireRouteEvidence {
  readonly route: string;
  readonly answers: number;
  readonly failures: number;
  readonly recentAnswers: number;
  readonly recentFailures: number;
  readonly recentDurationsMs: readonly number[];
  readonly recentCancelledMs: readonly number[];
}

/** Answer statistics of a gate's worker, as sent over the wire. */
export interface WireEvidence {
  readonly version: string;
  readonly routes: readonly WireRouteEvidence[];
}

/** Report of a move whose new version was found bad, as sent over the wire. */
export interface WireBadVersion {
  readonly service: string;
  readonly moveId: string;
  readonly evidence: string;
}

/** Handlers of calls from other nodes. */
export interface MoveHandlers {
  readEvidence(service: string): WireEvidence | undefined;
  handleBadVersion(bad: WireBadVersion): Promise<void>;
}

/** Registers the calls that other nodes make. */
export function registerMoveService(
  router: ConnectRouter,
  handlers: MoveHandlers,
): void {
  router.service(MoveService, {
    readEvidence: request => {
      const observed = handlers.readEvidence(request.service);
      return create(ReadEvidenceReplySchema, {
        version: observed?.version ?? '',
        routes: (observed?.routes ?? []).map(route =>
          create(RouteEvidenceSchema, {
            ...route,
            recentDurationsMs: [...route.recentDurationsMs],
            recentCancelledMs: [...route.recentCancelledMs],
          }),
        ),
      });
    },
    pushBadness: request => {
      const {service, moveId, evidence} = request;
      // Not awaited: the sender doesn't need the result of forwarding.
      void handlers.handleBadVersion({service, moveId, evidence});
      return create(PushBadnessReplySchema);
    },
  });
}

/** Creates the calls to other nodes. */
export function createMoveCalls(peers: PeerClients) {
  const options = {timeoutMs: CALL_TIMEOUT_MS};
  return {
    readEvidence: async (
      peerAddress: string,
      service: string,
      moveId: string,
    ): Promise<WireEvidence> => {
      const client = peers.find(MoveService, peerAddress);
      return client.readEvidence({service, moveId}, options);
    },
    pushBadness: async (
      peerAddress: string,
      bad: WireBadVersion,
    ): Promise<void> => {
      const client = peers.find(MoveService, peerAddress);
      await client.pushBadness({...bad}, options);
    },
  };
}
