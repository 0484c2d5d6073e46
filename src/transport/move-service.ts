/**
 * Evidence about versions and reports of badness over Connect.
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

const CALL_LIMIT_MS = 1000;

/** What was seen of one route, as it goes over the wire. */
export interface WireFigures {
  readonly route: string;
  readonly answers: number;
  readonly failures: number;
  readonly recentAnswers: number;
  readonly recentFailures: number;
  readonly recentDurationsMs: readonly number[];
  readonly recentCancelledMs: readonly number[];
}

/** What a gate saw of its worker, as it goes over the wire. */
export interface WireEvidence {
  readonly version: string;
  readonly routes: readonly WireFigures[];
}

/** A move whose new version was found bad, as it goes over the wire. */
export interface WireBadMove {
  readonly service: string;
  readonly moveId: string;
  readonly evidence: string;
}

/** What answers the calls of other nodes. */
export interface MoveHandlers {
  readEvidence(service: string): WireEvidence | undefined;
  handleBadness(bad: WireBadMove): Promise<void>;
}

/** Registers the calls that other nodes make. */
export function registerMoveService(
  router: ConnectRouter,
  handlers: MoveHandlers,
): void {
  router.service(MoveService, {
    readEvidence: request => {
      const seen = handlers.readEvidence(request.service);
      return create(ReadEvidenceReplySchema, {
        version: seen?.version ?? '',
        routes: (seen?.routes ?? []).map(figures =>
          create(RouteEvidenceSchema, {
            ...figures,
            recentDurationsMs: [...figures.recentDurationsMs],
            recentCancelledMs: [...figures.recentCancelledMs],
          }),
        ),
      });
    },
    pushBadness: request => {
      const {service, moveId, evidence} = request;
      // The sender needs no word of what is passed on.
      void handlers.handleBadness({service, moveId, evidence});
      return create(PushBadnessReplySchema);
    },
  });
}

/** Calls to other nodes. */
export function createMoveCalls(peers: PeerClients) {
  const options = {timeoutMs: CALL_LIMIT_MS};
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
      bad: WireBadMove,
    ): Promise<void> => {
      const client = peers.find(MoveService, peerAddress);
      await client.pushBadness({...bad}, options);
    },
  };
}
