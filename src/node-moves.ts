/**
 * Joins the parts by which one node takes part in version moves.
 */
import {randomUUID} from 'node:crypto';
import type {ConnectRouter} from '@connectrpc/connect';
import type {Gate, OpenWorkerConnection} from './coordination/gate.js';
import {
  createObservedConnection,
  USUAL_CONDITION,
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

/** What a node's moves are joined with. */
export interface NodeMovesOptions {
  readonly identity: NodeIdentity;
  readonly sharedState: SharedState;
  readonly workers: WorkerTable;
  readonly peers: PeerClients;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The node's gate; asked only once moves have started. */
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

  /** Wraps the opening of worker connections so that they give evidence. */
  observe(openConnection: OpenWorkerConnection): OpenWorkerConnection {
    return announcement =>
      createObservedConnection(openConnection(announcement), announcement, {
        record: seen => this.evidence.record(seen),
        countProbe: () => this.options.metrics.count('probes.sent'),
        // Upstreams here don't tell how their host is doing.
        readCondition: () => USUAL_CONDITION,
      });
  }

  /** Registers the calls that other nodes make. */
  registerServices(router: ConnectRouter): void {
    registerMoveService(router, {
      readEvidence: service => this.evidence.read(service),
      handleBadness: bad => this.versions.handleBadness(bad),
    });
  }
}
