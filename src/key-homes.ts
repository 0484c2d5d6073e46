/**
 * Wires up the components for idempotency keys of one node: the key home, the
 * forwarding from the entry to a key's home, the maintenance of the home lists
 * and the graceful leave.
 */
import {randomUUID} from 'node:crypto';
import type {ConnectRouter} from '@connectrpc/connect';
import {HomeEpochs} from './coordination/home-epochs.js';
import {HomeListMaintainer} from './coordination/home-lists.js';
import type {SendToHome} from './coordination/key-entry.js';
import {KeyEntry} from './coordination/key-entry.js';
import type {KeyedRequest, RunRequest} from './coordination/key-home.js';
import {KeyHome} from './coordination/key-home.js';
import {leaveHomes} from './coordination/key-leave.js';
import type {Gate} from './coordination/gate.js';
import type {AppendRecord} from './coordination/record-publisher.js';
import type {AttemptAnswer} from './protocol/attempt.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import {Reason, RefusalError} from './protocol/reasons.js';
import type {
  ServiceAnswer,
  ServiceRequest,
} from './protocol/service-request.js';
import {isResendable} from './protocol/service-request.js';
import type {NodeSettings} from './protocol/settings.js';
import {Verdict} from './protocol/verdict.js';
import {WorkerState} from './protocol/worker-load.js';
import {KeyClaims} from './state/key-claims.js';
import type {StateStore} from './state/state-store.js';
import type {WorkerRow, WorkerTable} from './state/worker-table.js';
import {
  askSealKey,
  registerKeyHomeCalls,
  sendKeyTransfer,
} from './transport/key-home-service.js';
import type {ReceivedAttempt} from './transport/peer-listener.js';

/** Dependencies of KeyHomes. */
export interface KeyHomesOptions {
  readonly identity: NodeIdentity;
  readonly state: StateStore;
  readonly workers: WorkerTable;
  readonly gate: Gate;
  readonly appendRecord: AppendRecord;
  /** Runs a request through the entry's normal path. */
  readonly runThroughEntry: RunRequest;
  /** Whether requests of this fingerprint crash workers. */
  readonly isQuarantined: (fingerprint: string) => boolean;
  readonly sendToHome: SendToHome;
  /**
   * Selects the workers to which one attempt may go while the service moves
   * between versions.
   */
  readonly selectWorkers: (
    service: string,
    rows: readonly WorkerRow[],
  ) => WorkerRow[];
  readonly count: (name: string) => void;
}

/** Status of the key homes, as served under the status path. */
export interface KeyHomesReport {
  readonly rememberedKeys: number;
  /** Epoch and number of homes of the newest list, by service. */
  readonly lists: Readonly<Record<string, {epoch: number; homes: number}>>;
}

/** All idempotency key handling of one node. */
export class KeyHomes {
  private readonly claims = new KeyClaims();
  private readonly epochs: HomeEpochs;
  private readonly keyHome: KeyHome;
  private readonly keyEntry: KeyEntry;
  private readonly listMaintainer: HomeListMaintainer;
  private readonly calls = {sealKey: askSealKey, handOverKeys: sendKeyTransfer};

  constructor(private readonly options: KeyHomesOptions) {
    const {identity, state, workers, appendRecord, sendToHome} = options;
    const count = (name: string): void => options.count(`keys.${name}`);
    this.epochs = new HomeEpochs(state);
    this.keyHome = new KeyHome({
      identity,
      state,
      epochs: this.epochs,
      claims: this.claims,
      calls: this.calls,
      runRequest: (request, signal) => this.runRequest(request, signal),
    });
    this.keyEntry = new KeyEntry({
      identity,
      epochs: this.epochs,
      keyHome: this.keyHome,
      sendToHome,
      createAttemptId: randomUUID,
      random: Math.random,
      count,
    });
    this.listMaintainer = new HomeListMaintainer({
      identity: this.ownHome,
      state,
      workers,
      appendRecord,
      createRecordId: randomUUID,
      random: Math.random,
      count,
    });
  }

  /** Starts the maintenance of the home lists. */
  start(): void {
    const {state} = this.options;
    state.events.on('changed', () => {
      for (const service of state.listServices()) this.epochs.observe(service);
    });
    this.listMaintainer.start();
  }

  /**
   * Stops the maintenance of the home lists. Keys are still handled until
   * `leave` is called.
   */
  stop(): void {
    this.listMaintainer.stop();
  }

  /**
   * Hands over the keys of this node to the other homes; must be called before
   * the listeners close. If the log or the other homes are unreachable, keys
   * are not handed over and are in doubt, as after the loss of the node.
   */
  async leave(limits: NodeSettings['stop']): Promise<void> {
    const {state} = this.options;
    try {
      await leaveHomes({
        identity: this.ownHome,
        state,
        claims: this.claims,
        calls: this.calls,
        listServices: () => state.listServices(),
        listCandidates: service => this.listMaintainer.listCandidates(service),
        appendList: list => this.listMaintainer.appendList(list),
        signal: AbortSignal.timeout(limits.drainTimeout / 2),
      });
    } catch {
      this.options.count('keys.leave-failed');
    }
  }

  /** Returns whether a request has an idempotency key. */
  hasKey(request: ServiceRequest): request is KeyedRequest {
    return request.key !== undefined;
  }

  /** Handles a caller's request that has a key. */
  handleRequest(
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    return this.keyEntry.handleRequest(request, signal);
  }

  /** Handles an attempt from another node's entry for a key of this home. */
  async handleAttempt(
    attempt: ReceivedAttempt,
    signal: AbortSignal,
    handleClaimed: () => void,
  ): Promise<AttemptAnswer> {
    if (attempt.incarnation !== this.options.identity.incarnation) {
      throw new RefusalError(Reason.WRONG_INCARNATION);
    }
    const {request} = attempt;
    if (!this.hasKey(request)) throw new RefusalError(Reason.MALFORMED_REQUEST);
    return this.keyHome.handleRequest(request, signal, handleClaimed);
  }

  /** Registers the handlers of calls from other key homes. */
  registerServices(router: ConnectRouter): void {
    const {peerAddress} = this.options.identity;
    registerKeyHomeCalls(router, peerAddress, this.keyHome);
  }

  /** Returns the status of the key homes for the status path. */
  report(): KeyHomesReport {
    const lists: Record<string, {epoch: number; homes: number}> = {};
    for (const service of this.options.state.listServices()) {
      const newest = this.epochs.findNewest(service);
      if (!newest) continue;
      lists[service] = {epoch: newest.epoch, homes: newest.homes.length};
    }
    return {rememberedKeys: this.claims.size, lists};
  }

  private get ownHome() {
    const {nodeId, incarnation, peerAddress} = this.options.identity;
    return {nodeId, incarnation, peerAddress};
  }

  /**
   * Runs a claimed request on the local worker if that has capacity, otherwise
   * through the entry.
   */
  private async runRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const {gate, runThroughEntry} = this.options;
    if (this.hasCapacity(request)) {
      try {
        return await gate.runAttempt(request, undefined, signal);
      } catch (error) {
        const isRetryable =
          error instanceof RefusalError &&
          error.verdict === Verdict.NOT_RUN &&
          isResendable(request) &&
          !signal.aborted;
        if (!isRetryable) throw error;
      }
    }
    return runThroughEntry(request, signal);
  }

  /**
   * Returns whether the local worker may run a request. Quarantined requests go
   * to the entry, which refuses them.
   */
  private hasCapacity({service, fingerprint}: ServiceRequest): boolean {
    if (this.options.isQuarantined(fingerprint)) return false;
    if (!this.isOwnWorkerSelected(service)) return false;
    const load = this.options.gate.findLoad(service);
    if (load?.state !== WorkerState.READY) return false;
    return load.inFlight < load.limit;
  }

  /** Returns whether version moves allow requests on the local worker. */
  private isOwnWorkerSelected(service: string): boolean {
    const {identity, selectWorkers, workers} = this.options;
    const rows = workers.listWorkers(service);
    return selectWorkers(service, rows).some(
      row => row.target.nodeId === identity.nodeId,
    );
  }
}
