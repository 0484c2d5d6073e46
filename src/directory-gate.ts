/**
 * Creates the gate of a node that finds the others through a directory. The
 * number of slots of its worker is known and the worker reports its load, so
 * requests are admitted by slots. Each finished request is recorded as evidence
 * about the worker's version.
 */
import type {PublishCrashes} from './coordination/crash-quarantine.js';
import {CrashQuarantine} from './coordination/crash-quarantine.js';
import {Gate} from './coordination/gate.js';
import type {WorkerCondition} from './coordination/observed-connection.js';
import {
  createObservedConnection,
  NORMAL_CONDITION,
} from './coordination/observed-connection.js';
import type {ReportEstimate} from './coordination/admission/estimate-log.js';
import {SlotAdmission} from './coordination/admission/slot-admission.js';
import {ByteBounds} from './coordination/admission/worker-bytes.js';
import type {WorkerConnection} from './coordination/local-worker.js';
import type {Announcement} from './protocol/announcement.js';
import type {CrashTable} from './state/crash-table.js';
import type {WorkerLoad} from './protocol/worker-load.js';
import {WorkerState} from './protocol/worker-load.js';
import type {StateStore} from './state/state-store.js';
import type {ObservedRequest} from './state/version-evidence.js';
import {UpstreamClient} from './transport/upstream-client.js';
import type {UpstreamProtocol} from './transport/upstream-protocol.js';

/** Timeout for connecting to a worker on the same host. */
const UPSTREAM_CONNECT_TIMEOUT_MS = 300;
/** Idle connections are not reused for longer; upstreams may close them. */
const UPSTREAM_IDLE_TIMEOUT_MS = 3000;
/** Interval of the check whether the worker's load report is too old. */
const PROBE_CHECK_INTERVAL_MS = 50;

/** Dependencies of the gate. */
export interface DirectoryGateOptions {
  readonly state: StateStore;
  readonly dataCentre: string;
  readonly crashTable: CrashTable;
  readonly publishCrashes: PublishCrashes;
  readonly createProtocol: (worker: Announcement) => UpstreamProtocol;
  /** Called when the load changed enough to be published to other nodes. */
  readonly handleLoadChange: () => void;
  /** Records a finished request as evidence about its version. */
  readonly recordRequest: (seen: ObservedRequest) => void;
  readonly count: (name: string) => void;
  /** Logs a change of an estimate. */
  readonly report: ReportEstimate;
}

/** Creates the gate of a node with a directory. */
export function createDirectoryGate(options: DirectoryGateOptions): Gate {
  const {state, dataCentre, crashTable} = options;
  const openConnection = (worker: Announcement): WorkerConnection =>
    createObservedConnection(
      new UpstreamClient(
        worker.address,
        worker.slots,
        UPSTREAM_CONNECT_TIMEOUT_MS,
        {
          protocol: options.createProtocol(worker),
          idleTimeoutMs: UPSTREAM_IDLE_TIMEOUT_MS,
        },
      ),
      worker,
      {
        record: options.recordRequest,
        countProbe: () => options.count('probes.sent'),
        readCondition: () => readCondition(gate.findLoad(worker.service)),
      },
    );
  const byteBounds = new ByteBounds();
  const gate: Gate = new Gate(
    openConnection,
    state,
    dataCentre,
    new CrashQuarantine(crashTable, options.publishCrashes),
    {
      createAdmission: ({service, slots, version}, limits) => {
        const admission = new SlotAdmission(
          slots,
          limits,
          undefined,
          undefined,
          {
            findRules: () => state.findProfile(service)?.admission,
            count: options.count,
            report: (text, context) =>
              options.report(text, {service, ...context}),
            byteBound: byteBounds.find(service, version),
          },
        );
        admission.handleLoadChange = options.handleLoadChange;
        return admission;
      },
      probeCheckIntervalMs: PROBE_CHECK_INTERVAL_MS,
      parentHooks: {count: options.count, report: options.report},
    },
  );
  return gate;
}

/** Returns the worker's current condition; normal if the worker is gone. */
function readCondition(load: WorkerLoad | undefined): WorkerCondition {
  if (!load) return NORMAL_CONDITION;
  return {pace: load.pace, isCold: load.state === WorkerState.COLD};
}
