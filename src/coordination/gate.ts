/**
 * Gate of a node. All requests to the workers of a host go through its gate,
 * which therefore knows exactly what is in flight, and whether any byte of a
 * request was sent.
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
import {SlotOutcome} from './admission/concurrency-limit.js';
import type {ParentHooks} from './admission/parent-admission.js';
import {formatKind, ParentAdmission} from './admission/parent-admission.js';
import type {CrashQuarantine, WatchedRun} from './crash-quarantine.js';
import type {CreateAdmission, WorkerConnection} from './local-worker.js';
import {LocalWorker} from './local-worker.js';
import {NestedCalls} from './nested-calls.js';
import type {Slot} from './admission/worker-admission.js';
import {addBytes, countRestBytes} from './admission/request-bytes.js';
import {watchReader} from './admission/unread-answer.js';

const SERVER_ERROR = 500;

/** Opens a connection to a worker that announced itself. */
export type OpenWorkerConnection = (
  announcement: Announcement,
) => WorkerConnection;

interface GateEvents {
  /** Emitted when a worker is added, removed or announces itself again. */
  workersChanged: undefined;
}

/** Options that replace the defaults of a gate. */
export interface GateOptions {
  /** Creates the admission of a worker; by default it is adaptive. */
  readonly createAdmission?: CreateAdmission;
  /** Interval in milliseconds between checks whether a probe is due. */
  readonly probeCheckIntervalMs?: number;
  /** Counters and log of the admission of requests that make calls. */
  readonly parentHooks?: ParentHooks;
}

const NO_HOOKS: ParentHooks = {count: () => {}, report: () => {}};

/** Sends requests to the workers of one host. */
export class Gate {
  readonly events = new Emittery<GateEvents>();
  /** Requests that run on the workers of this host, and calls they make. */
  readonly nestedCalls: NestedCalls;
  private readonly parents: ParentAdmission;
  private readonly workers = new Map<string, LocalWorker>();
  private wasDataCentreOut: boolean;

  constructor(
    private readonly openConnection: OpenWorkerConnection,
    private readonly state: StateStore,
    private readonly dataCentre: string,
    private readonly quarantine: CrashQuarantine,
    private readonly options: GateOptions = {},
  ) {
    this.parents = new ParentAdmission(options.parentHooks ?? NO_HOOKS);
    this.nestedCalls = new NestedCalls(this.parents);
    this.wasDataCentreOut = state.isDataCentreOut(dataCentre);
    state.events.on('changed', () => this.updateDataCentre());
  }

  /** Returns the announcements of the workers on this host. */
  listWorkers(): Announcement[] {
    return [...this.workers.values()].map(worker => worker.announcement);
  }

  /** Returns the load of a service's worker; undefined without a worker. */
  findLoad(service: string): WorkerLoad | undefined {
    return this.workers.get(service)?.admission.load;
  }

  /**
   * Adds the announced worker, or updates it if it is known.
   *
   * @throws RefusalError if the service has no profile.
   */
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
      known.announcement.instanceId === announcement.instanceId &&
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
    worker.watchExpiry(() => this.removeWorker(worker));
    void this.events.emit('workersChanged');
  }

  /**
   * Runs one attempt on the local worker of its service.
   *
   * @param handleAdmitted called when the attempt has got its slot.
   * @throws AttemptError
   */
  async runAttempt(
    request: ServiceRequest,
    version: string | undefined,
    signal: AbortSignal,
    handleAdmitted: () => void = () => {},
  ): Promise<AttemptAnswer> {
    const worker = this.findWorker(request, version);
    const rules = this.findRules(request);
    try {
      if (rules?.reservesForCalls) {
        this.parents.admit(request, performance.now());
      }
      const run = await this.startRun(worker, request);
      try {
        const measured = rules?.boundsWorkerBytes ? addBytes(request) : request;
        const slot = await worker.admission.admit(measured, signal);
        handleAdmitted();
        const sent = rules?.boundsWorkerBytes
          ? countRestBytes(request, slot)
          : request;
        return await this.runInSlot(worker, sent, signal, slot, run);
      } catch (error) {
        run.end();
        throw error;
      }
    } catch (error) {
      throw addLoad(error, worker.admission.load);
    }
  }

  /** Closes the connections to all workers. */
  async close(): Promise<void> {
    const workers = [...this.workers.values()];
    this.workers.clear();
    await Promise.all(workers.map(worker => worker.close()));
  }

  /**
   * Resets all workers to cold when the data centre is taken back in, since
   * workers are cold after it.
   */
  private updateDataCentre(): void {
    const isOut = this.state.isDataCentreOut(this.dataCentre);
    const isBack = this.wasDataCentreOut && !isOut;
    this.wasDataCentreOut = isOut;
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

  private findRules({
    service,
  }: ServiceRequest): Profile['admission'] | undefined {
    return this.state.findProfile(service)?.admission;
  }

  private startRun(
    worker: LocalWorker,
    request: ServiceRequest,
  ): Promise<WatchedRun> {
    const queueWait = this.state.findProfile(request.service)?.limits.queueWait;
    return worker.crashWatch.startRun(request, queueWait ?? 0);
  }

  private async runInSlot(
    worker: LocalWorker,
    request: ServiceRequest,
    signal: AbortSignal,
    slot: Slot,
    run: WatchedRun,
  ): Promise<AttemptAnswer> {
    let answer: AttemptAnswer;
    const endParentRun = this.nestedCalls.startRun(
      request.deadline,
      formatKind(request.service, request.route),
    );
    try {
      answer = await worker.connection
        .sendRequest(request, signal)
        .finally(endParentRun);
    } catch (error) {
      slot.release(signal.aborted ? SlotOutcome.CANCELLED : toOutcome(error));
      if (!signal.aborted) await recordConnectionLoss(worker, run, error);
      throw error;
    }
    const outcome =
      answer.status >= SERVER_ERROR ? SlotOutcome.FAILURE : SlotOutcome.SUCCESS;
    const end = (): void => {
      slot.release(outcome);
      run.end();
    };
    const {rest} = answer.body;
    if (rest) {
      rest.once('end', () => worker.crashWatch.recordAnswer(run));
      rest.once('close', end);
      if (this.findRules(request)?.boundsWorkerBytes) {
        watchReader(rest, {
          handleSlow: () => slot.endServiceTime?.(),
          handleUnread: end,
        });
      }
    } else {
      worker.crashWatch.recordAnswer(run);
      end();
    }
    return {
      ...answer,
      load: worker.admission.load,
      version: worker.announcement.version,
    };
  }

  private addWorker(announcement: Announcement, profile: Profile): LocalWorker {
    const {service} = announcement;
    const worker = new LocalWorker({
      announcement,
      connection: this.openConnection(announcement),
      limits: profile.limits,
      quarantine: this.quarantine,
      findBudget: () => this.state.findProfile(service)?.probes,
      ...this.options,
    });
    this.workers.set(service, worker);
    return worker;
  }

  private removeWorker(worker: LocalWorker): void {
    const {service} = worker.announcement;
    if (this.workers.get(service) === worker) this.workers.delete(service);
    void worker.close();
    void this.events.emit('workersChanged');
  }
}

const OUTCOME_OF_REASON: Readonly<Partial<Record<Reason, SlotOutcome>>> = {
  'worker-shed': SlotOutcome.SHED,
  unreachable: SlotOutcome.UNREACHABLE,
  'connection-lost': SlotOutcome.CONNECTION_LOST,
  'body-taken': SlotOutcome.CANCELLED,
};

function toOutcome(error: unknown): SlotOutcome {
  const reason = error instanceof RefusalError ? error.reason : Reason.INTERNAL;
  return OUTCOME_OF_REASON[reason] ?? SlotOutcome.FAILURE;
}

/**
 * Reasons that report a lost connection, and whether the loss counts towards
 * the number of simultaneous losses that indicate a crash.
 */
const COUNTS_TOWARDS_CRASH: Readonly<Partial<Record<Reason, boolean>>> = {
  'connection-lost': true,
  'truncated-answer': false,
};

/**
 * Records a lost or refused connection. Resolves when it is known whether the
 * worker crashed, and a crash has been reported.
 */
async function recordConnectionLoss(
  worker: LocalWorker,
  run: WatchedRun,
  error: unknown,
): Promise<void> {
  if (!(error instanceof RefusalError)) return;
  if (error.reason === Reason.UNREACHABLE) {
    await worker.crashWatch.recordConnectionRefused();
    return;
  }
  const isCounted = COUNTS_TOWARDS_CRASH[error.reason];
  if (isCounted === undefined) return;
  await worker.crashWatch.recordConnectionLoss(run, isCounted);
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
