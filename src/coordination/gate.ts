/**
 * The gate: the only sender of work to the workers on its host. It therefore
 * knows exactly what is in flight, and whether one byte of a request went out.
 */
import Emittery from 'emittery';
import type {Announcement} from '../protocol/announcement.js';
import type {AttemptAnswer} from '../protocol/attempt.js';
import {AttemptError} from '../protocol/attempt.js';
import type {Profile} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import type {WorkerState} from '../protocol/worker-load.js';
import type {StateStore} from '../state/state-store.js';
import {Admission} from './admission.js';
import {SlotOutcome} from './concurrency-limit.js';
import {Prober} from './prober.js';

const SERVER_ERROR = 500;

/** Sends work to one worker; the transport implements it. */
export interface WorkerConnection {
  sendRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<AttemptAnswer>;
  /**
   * Resolves with the HTTP status of the worker's health path.
   *
   * @throws AttemptError; `unreachable` when no connection came about.
   */
  sendProbe(path: string, signal: AbortSignal): Promise<number>;
  close(): Promise<void>;
}

/** Opens connections to a worker that announced itself. */
export type OpenWorkerConnection = (
  announcement: Announcement,
) => WorkerConnection;

/** One worker of this host. */
interface LocalWorker {
  announcement: Announcement;
  readonly connection: WorkerConnection;
  readonly admission: Admission;
  readonly prober: Prober;
  expiryTimer: NodeJS.Timeout | undefined;
}

interface GateEvents {
  /** The set of workers or the state of one changed. */
  workersChanged: undefined;
}

/** The gate of one node. */
export class Gate {
  readonly events = new Emittery<GateEvents>();
  private readonly workers = new Map<string, LocalWorker>();
  private wasOut: boolean;

  constructor(
    private readonly openConnection: OpenWorkerConnection,
    private readonly state: StateStore,
    private readonly dataCentre: string,
  ) {
    this.wasOut = state.isDataCentreOut(dataCentre);
    state.events.on('changed', () => this.updateDataCentre());
  }

  /** Announcements of the workers that are here now. */
  listWorkers(): Announcement[] {
    return [...this.workers.values()].map(worker => worker.announcement);
  }

  /** Load figures of the worker of a service; undefined without one. */
  findLoad(service: string): WorkerLoad | undefined {
    return this.workers.get(service)?.admission.load;
  }

  /** Takes an upstream's announcement of itself. */
  announce(announcement: Announcement): void {
    const profile = this.state.findProfile(announcement.service);
    if (!profile) {
      throw new RefusalError(
        Reason.UNKNOWN_SERVICE,
        Verdict.NOT_RUN,
        announcement.service,
      );
    }
    const known = this.workers.get(announcement.service);
    const isSameProcess =
      known?.announcement.address === announcement.address &&
      known.announcement.version === announcement.version;
    if (known && !isSameProcess) this.removeWorker(known);
    const worker = isSameProcess
      ? known
      : this.addWorker(announcement, profile);
    worker.announcement = announcement;
    worker.admission.update(
      announcement.slots,
      announcement.state as WorkerState,
      profile.limits,
    );
    this.watchExpiry(worker);
    void this.events.emit('workersChanged');
  }

  /**
   * Runs one attempt on the local worker of its service.
   *
   * @param handleAdmitted called when the attempt has its slot.
   * @throws AttemptError
   */
  async runAttempt(
    request: ServiceRequest,
    version: string | undefined,
    signal: AbortSignal,
    handleAdmitted: () => void = () => {},
  ): Promise<AttemptAnswer> {
    const worker = this.findWorker(request, version);
    try {
      const slot = await worker.admission.admit(request, signal);
      handleAdmitted();
      return await this.runInSlot(worker, request, signal, slot);
    } catch (error) {
      throw addLoad(error, worker.admission.load);
    }
  }

  /** Closes the connections to all workers. */
  async close(): Promise<void> {
    const workers = [...this.workers.values()];
    this.workers.clear();
    for (const worker of workers) {
      clearTimeout(worker.expiryTimer);
      worker.prober.stop();
    }
    await Promise.all(workers.map(worker => worker.connection.close()));
  }

  /** Workers of a data centre that comes back are cold. */
  private updateDataCentre(): void {
    const isOut = this.state.isDataCentreOut(this.dataCentre);
    const isBack = this.wasOut && !isOut;
    this.wasOut = isOut;
    if (!isBack) return;
    for (const {admission} of this.workers.values()) admission.resetToCold();
  }

  private findWorker(
    request: ServiceRequest,
    version: string | undefined,
  ): LocalWorker {
    const worker = this.workers.get(request.service);
    if (!worker) throw new RefusalError(Reason.WORKER_GONE);
    if (this.state.isDataCentreOut(this.dataCentre)) {
      throw new RefusalError(Reason.DATA_CENTRE_OUT);
    }
    if (version !== undefined && version !== worker.announcement.version) {
      throw new RefusalError(Reason.WRONG_VERSION);
    }
    return worker;
  }

  private async runInSlot(
    worker: LocalWorker,
    request: ServiceRequest,
    signal: AbortSignal,
    slot: {release(outcome: SlotOutcome): void},
  ): Promise<AttemptAnswer> {
    let answer: AttemptAnswer;
    try {
      answer = await worker.connection.sendRequest(request, signal);
    } catch (error) {
      slot.release(signal.aborted ? SlotOutcome.CANCELLED : toOutcome(error));
      throw error;
    }
    const outcome =
      answer.status >= SERVER_ERROR ? SlotOutcome.FAILURE : SlotOutcome.SUCCESS;
    const {rest} = answer.body;
    if (rest) rest.once('close', () => slot.release(outcome));
    else slot.release(outcome);
    return {
      ...answer,
      load: worker.admission.load,
      version: worker.announcement.version,
    };
  }

  private addWorker(announcement: Announcement, profile: Profile): LocalWorker {
    const {service} = announcement;
    const connection = this.openConnection(announcement);
    const admission = new Admission(announcement.slots, profile.limits);
    const prober = new Prober({
      sendProbe: (path, signal) => connection.sendProbe(path, signal),
      admission,
      findBudget: () => this.state.findProfile(service)?.probes,
    });
    prober.start();
    const worker: LocalWorker = {
      announcement,
      connection,
      admission,
      prober,
      expiryTimer: undefined,
    };
    this.workers.set(service, worker);
    return worker;
  }

  private removeWorker(worker: LocalWorker): void {
    clearTimeout(worker.expiryTimer);
    worker.prober.stop();
    const {service} = worker.announcement;
    if (this.workers.get(service) === worker) this.workers.delete(service);
    void worker.connection.close();
    void this.events.emit('workersChanged');
  }

  private watchExpiry(worker: LocalWorker): void {
    clearTimeout(worker.expiryTimer);
    worker.expiryTimer = setTimeout(
      () => this.removeWorker(worker),
      worker.announcement.ttlMs,
    );
    worker.expiryTimer.unref();
  }
}

const OUTCOME_OF_REASON: Readonly<Partial<Record<Reason, SlotOutcome>>> = {
  'worker-shed': SlotOutcome.SHED,
  unreachable: SlotOutcome.UNREACHABLE,
  'connection-lost': SlotOutcome.CONNECTION_LOST,
};

function toOutcome(error: unknown): SlotOutcome {
  const reason = error instanceof RefusalError ? error.reason : Reason.INTERNAL;
  return OUTCOME_OF_REASON[reason] ?? SlotOutcome.FAILURE;
}

function addLoad(error: unknown, load: WorkerLoad): unknown {
  if (!(error instanceof RefusalError)) return error;
  return new AttemptError(
    error.reason,
    error.verdict,
    error.detail,
    load,
    error.retryAfterMs,
  );
}
