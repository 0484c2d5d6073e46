/**
 * Wires the components for version moves in a node with a peer directory.
 */
import {randomUUID} from 'node:crypto';
import type {MoveOutcomes} from './coordination/ordered-moves.js';
import {OrderedMoves} from './coordination/ordered-moves.js';
import type {MoveCalls} from './coordination/version-moves.js';
import {VersionMoves} from './coordination/version-moves.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import type {StateStore} from './state/state-store.js';
import {VersionEvidence} from './state/version-evidence.js';
import type {WorkerTable} from './state/worker-table.js';

/** Dependencies of a node's part in moves. */
export interface DirectoryMovesOptions {
  readonly identity: NodeIdentity;
  readonly state: StateStore;
  readonly workers: WorkerTable;
  readonly calls: MoveCalls;
  readonly outcomes: MoveOutcomes;
  /** Sends a change to all nodes. */
  readonly push: () => void;
  readonly count: (name: string) => void;
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
  /** Returns the version of a service's worker on this host. */
  readonly findLocalVersion: (service: string) => string | undefined;
}

/** One node's part in moves. */
export class DirectoryMoves {
  readonly evidence = new VersionEvidence();
  readonly orders: OrderedMoves;
  readonly versions: VersionMoves;

  constructor(options: DirectoryMovesOptions) {
    const {identity, state, workers, outcomes, push, report} = options;
    const readClock = (): number => performance.now();
    this.orders = new OrderedMoves({
      state,
      workers,
      outcomes,
      now: readClock,
      random: Math.random,
      push,
      handleNewId: (move, previousId) =>
        this.versions.copyBadVersion(previousId, move.moveId),
      report,
    });
    this.versions = new VersionMoves({
      nodeId: identity.nodeId,
      peerAddress: identity.peerAddress,
      state,
      workers,
      evidence: this.evidence,
      calls: options.calls,
      appendRecord: record => this.orders.appendRecord(record),
      createId: randomUUID,
      random: Math.random,
      count: options.count,
      report: (text, bad) => report(text, {...bad}),
      findLocalVersion: options.findLocalVersion,
      now: readClock,
      findBaseVersion: service => this.orders.findBaseVersion(service),
      hasSingleEvaluator: true,
      handleStart: service => this.orders.writeStart(service),
    });
  }
}
