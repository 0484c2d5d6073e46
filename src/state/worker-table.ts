/**
 * Table of the workers known to this node, by service, with the load figures
 * returned with answers. Membership fills it and routing reads it. It affects
 * routing only: a stale row causes a refusal at most, and never makes a request
 * run at the wrong worker.
 */
import Emittery from 'emittery';
import type {AttemptTarget} from '../protocol/attempt.js';
import type {ServiceLoad} from '../protocol/peer-messages.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import type {WorkerState} from '../protocol/worker-load.js';

/** A worker as described by its node. */
export interface WorkerDescription {
  readonly service: string;
  readonly version: string;
  readonly slots: number;
  readonly state: WorkerState;
}

/** A node with its workers. */
export interface NodeDescription extends AttemptTarget {
  readonly dataCentre: string;
  /** Whether the node is suspected to have failed; it may still get work. */
  readonly isSuspect?: boolean;
  readonly workers: readonly WorkerDescription[];
}

/** Load figures with the time at which they were received. */
export interface ObservedLoad {
  readonly figures: WorkerLoad;
  /** Attempts of this node that were in flight at the worker at that time. */
  readonly inFlightHere: number;
  /** Time on the clock of `performance.now()`. */
  readonly at: number;
}

/** A worker as seen from this node. */
export interface WorkerRow {
  readonly target: AttemptTarget;
  readonly dataCentre: string;
  readonly service: string;
  version: string;
  slots: number;
  state: WorkerState;
  /** Whether the worker's node is suspected to have failed. */
  isSuspect: boolean;
  /** Attempts of this node that are in flight at the worker. */
  inFlightHere: number;
  observed: ObservedLoad | undefined;
}

/** Records the load figures that a worker just returned. */
export function recordLoad(
  row: WorkerRow,
  figures: WorkerLoad,
  now = performance.now(),
): void {
  const {inFlightHere} = row;
  row.observed = {figures, at: now, inFlightHere};
  row.state = figures.state;
}

interface WorkerTableEvents {
  changed: undefined;
}

/** Workers known to this node. */
export class WorkerTable {
  readonly events = new Emittery<WorkerTableEvents>();
  private readonly rowsByService = new Map<string, WorkerRow[]>();
  private readonly rowsByNode = new Map<string, WorkerRow[]>();
  private readonly nodes = new Map<string, NodeDescription>();

  /** Lists the workers of a service, in no particular order. */
  listWorkers(service: string): readonly WorkerRow[] {
    return this.rowsByService.get(service) ?? [];
  }

  /** Marks the workers of a node that does not answer, or that does again. */
  setSuspect(nodeId: string, isSuspect: boolean): void {
    for (const row of this.findRows(nodeId)) row.isSuspect = isSuspect;
  }

  /** Records the load of a node's workers by their services. */
  recordLoads(nodeId: string, loads: readonly ServiceLoad[]): void {
    for (const row of this.findRows(nodeId)) {
      const reported = loads.find(({service}) => service === row.service);
      if (reported) recordLoad(row, reported.load);
    }
  }

  /** Finds the workers of one node. */
  findRows(nodeId: string): readonly WorkerRow[] {
    return this.rowsByNode.get(nodeId) ?? [];
  }

  /** Lists the services that have known workers. */
  listServices(): string[] {
    return [...this.rowsByService.keys()];
  }

  /** Lists all known nodes with their workers. */
  listNodes(): NodeDescription[] {
    return [...this.nodes.values()];
  }

  /** Finds a node by id. */
  findNode(nodeId: string): NodeDescription | undefined {
    return this.nodes.get(nodeId);
  }

  /** Adds a node or replaces its description. */
  update(node: NodeDescription): void {
    const known = this.nodes.get(node.nodeId);
    const isSameProcess = known?.incarnation === node.incarnation;
    const oldRows = this.removeRows(node.nodeId);
    this.nodes.set(node.nodeId, node);
    for (const worker of node.workers) {
      const old = isSameProcess
        ? oldRows.find(row => row.service === worker.service)
        : undefined;
      const row = this.addRow(node, worker, old);
      const isRepeated = known?.workers.some(
        other =>
          other.service === worker.service && other.state === worker.state,
      );
      // A repeated description is older than the state from later answers.
      if (!old || !isRepeated) row.state = worker.state;
    }
    void this.events.emit('changed');
  }

  /** Removes a node and its workers. */
  remove(nodeId: string): void {
    if (!this.nodes.delete(nodeId)) return;
    this.removeRows(nodeId);
    void this.events.emit('changed');
  }

  private addRow(
    node: NodeDescription,
    worker: WorkerDescription,
    old: WorkerRow | undefined,
  ): WorkerRow {
    const isSameVersion = old?.version === worker.version;
    const row: WorkerRow = old ?? {
      target: {
        nodeId: node.nodeId,
        incarnation: node.incarnation,
        peerAddress: node.peerAddress,
      },
      dataCentre: node.dataCentre,
      service: worker.service,
      version: worker.version,
      slots: worker.slots,
      state: worker.state,
      isSuspect: false,
      inFlightHere: 0,
      observed: undefined,
    };
    row.version = worker.version;
    row.slots = worker.slots;
    row.isSuspect = node.isSuspect ?? false;
    if (!isSameVersion) row.observed = undefined;
    addToIndex(this.rowsByService, worker.service, row);
    addToIndex(this.rowsByNode, node.nodeId, row);
    return row;
  }

  private removeRows(nodeId: string): WorkerRow[] {
    const taken = this.rowsByNode.get(nodeId) ?? [];
    this.rowsByNode.delete(nodeId);
    for (const {service} of taken) {
      const rows = this.rowsByService.get(service) ?? [];
      const kept = rows.filter(row => row.target.nodeId !== nodeId);
      if (kept.length > 0) this.rowsByService.set(service, kept);
      else this.rowsByService.delete(service);
    }
    return taken;
  }
}

function addToIndex(
  index: Map<string, WorkerRow[]>,
  key: string,
  row: WorkerRow,
): void {
  const rows = index.get(key);
  if (rows) rows.push(row);
  else index.set(key, [row]);
}
