/**
 * Wires the components for version moves in a node that uses the platform log.
 */
import {randomUUID} from 'node:crypto';
import type {ConnectRouter} from '@connectrpc/connect';
import type {Gate, OpenWorkerConnection} from './coordination/gate.js';
import {
  createObservedConnection,
  NORMAL_CONDITION,
} from './coordination/observed-connection.js';
import {VersionMoves} from './coordination/version-moves.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import type {SharedState} from './shared-state.js';
import {VersionEvidence} from './state/version-evidence.js';
import type {WorkerTable} from './state/worker-table.js';
import type {Logger} from './transport/logger.js';
import type {Metrics} from './transport/metrics.js';
import {
  createMoveCalls,
  registerMoveService,
} from './transport/move-service.js';
import type {PeerClients} from './transport/peer-client.js';

/** Dependencies of a node's part in moves. */
export interface NodeMovesOptions {
  readonly identity: NodeIdentity;
  readonly sharedState: SharedState;
  readonly workers: WorkerTable;
  readonly peers: PeerClients;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the node's gate; called only after moves have started. */
  readonly findGate: () => Gate;
}

/** One node's part in version moves. */
export class NodeMoves {
  readonly versions: VersionMoves;
  private readonly evidence = new VersionEvidence();

  constructor(private readonly options: NodeMovesOptions) {
    const {identity, sharedState, workers, logger, metrics} = options;
    this.versions = new VersionMoves({
      nodeId: identity.nodeId,
      peerAddress: identity.peerAddress,
      state: sharedState.store,
      workers,
      evidence: this.evidence,
      calls: createMoveCalls(options.peers),
      appendRecord: record => sharedState.appendRecord(record),
      createId: randomUUID,
      random: Math.random,
      count: name => metrics.count(name),
      report: (text, bad) => logger.write('warn', text, {...bad}),
      findLocalVersion: service =>
        options
          .findGate()
          .listWorkers()
          .find(worker => worker.service === service)?.version,
    });
  }

  /** Wraps a function so that the connections that it opens record evidence. */
  observe(openConnection: OpenWorkerConnection): OpenWorkerConnection {
    return announcement =>
      createObservedConnection(openConnection(announcement), announcement, {
        record: seen => this.evidence.record(seen),
        countProbe: () => this.options.metrics.count('probes.sent'),
        // Upstreams of such a node don't report the condition of their host.
        readCondition: () => NORMAL_CONDITION,
      });
  }

  /** Registers the RPC service for calls of other nodes. */
  registerServices(router: ConnectRouter): void {
    registerMoveService(router, {
      readEvidence: service => this.evidence.read(service),
      handleBadVersion: bad => this.versions.handleBadVersion(bad),
    });
  }
}
