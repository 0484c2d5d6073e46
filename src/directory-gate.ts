/**
 * The gate of a node with a directory: its worker's slots are known and it
 * tells its load, and what it answers is evidence about its version.
 */
import {CrashQuarantine} from './coordination/crash-quarantine.js';
import {Gate} from './coordination/gate.js';
import type {WorkerCondition} from './coordination/observed-connection.js';
import {
  createObservedConnection,
  NORMAL_CONDITION,
} from './coordination/observed-connection.js';
import {SlotAdmission} from './coordination/slot-admission.js';
import type {WorkerConnection} from './coordination/local-worker.js';
import type {Announcement} from './protocol/announcement.js';
import type {CrashTable} from './state/crash-table.js';
import type {WorkerLoad} from './protocol/worker-load.js';
import {WorkerState} from './protocol/worker-load.js';
import type {StateStore} from './state/state-store.js';
import type {ObservedRequest} from './state/version-evidence.js';
import {UpstreamClient} from './transport/upstream-client.js';
import type {UpstreamProtocol} from './transport/upstream-protocol.js';

/** Longest wait for a connection to a worker on the same host. */
const UPSTREAM_CONNECT_MS = 300;
/** Upstreams may drop idle connections early; longer ones are not used. */
const UPSTREAM_IDLE_MS = 3000;
/** Time between looks whether the worker's figures are too old. */
const PROBE_CHECK_MS = 50;

/** What the gate is joined with. */
export interface DirectoryGateOptions {
  readonly state: StateStore;
  readonly dataCentre: string;
  readonly crashTable: CrashTable;
  readonly createProtocol: (worker: Announcement) => UpstreamProtocol;
  /** Called when the load changed in a way that others should know. */
  readonly handleChange: () => void;
  readonly recordSeen: (seen: ObservedRequest) => void;
  readonly count: (name: string) => void;
}

/** Creates the gate. */
export function createDirectoryGate(options: DirectoryGateOptions): Gate {
  const {state, dataCentre, crashTable} = options;
  const openConnection = (worker: Announcement): WorkerConnection =>
    createObservedConnection(
      new UpstreamClient(worker.address, worker.slots, UPSTREAM_CONNECT_MS, {
        protocol: options.createProtocol(worker),
        idleTimeoutMs: UPSTREAM_IDLE_MS,
      }),
      worker,
      {
        record: options.recordSeen,
        countProbe: () => options.count('probes.sent'),
        readCondition: () => readCondition(gate.findLoad(worker.service)),
      },
    );
  const gate: Gate = new Gate(
    openConnection,
    state,
    dataCentre,
    new CrashQuarantine(crashTable),
    {
      createAdmission: ({slots}, limits) => {
        const admission = new SlotAdmission(slots, limits);
        admission.handleLoadChange = options.handleChange;
        return admission;
      },
      probeCheckIntervalMs: PROBE_CHECK_MS,
    },
  );
  return gate;
}

/** A worker that is gone by now is judged as if its host had been as usual. */
function readCondition(load: WorkerLoad | undefined): WorkerCondition {
  if (!load) return NORMAL_CONDITION;
  return {pace: load.pace, isCold: load.state === WorkerState.COLD};
}
