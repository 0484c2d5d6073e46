/**
 * One worker of this host with all that a gate keeps for it: its connections,
 * admission, probes and the watch for crashes.
 */
import type {Announcement} from '../protocol/announcement.js';
import type {AttemptAnswer} from '../protocol/attempt.js';
import type {Profile} from '../protocol/configuration.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import type {ProbeAnswer, UpstreamFigures} from '../protocol/worker-load.js';
import {Admission} from './admission.js';
import type {CrashQuarantine} from './crash-quarantine.js';
import {CrashWatch} from './crash-quarantine.js';
import {Prober} from './prober.js';
import type {WorkerAdmission} from './worker-admission.js';

/** Sends work to one worker; the transport implements it. */
export interface WorkerConnection {
  sendRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<AttemptAnswer>;
  /**
   * Asks the worker's health path.
   *
   * @throws AttemptError; `unreachable` when no connection came about.
   */
  sendProbe(path: string, signal: AbortSignal): Promise<ProbeAnswer>;
  /** Calls back with the figures that the worker tells of itself. */
  watchFigures?(handler: (figures: UpstreamFigures) => void): void;
  close(): Promise<void>;
}

/** What a local worker is made of. */
export interface LocalWorkerOptions {
  readonly announcement: Announcement;
  readonly connection: WorkerConnection;
  readonly limits: Profile['limits'];
  readonly quarantine: CrashQuarantine;
  /** The budget of probes in force. */
  readonly findBudget: () => Profile['probes'] | undefined;
  /** Admission for a worker that keeps its known slots; adaptive without. */
  readonly createAdmission?: CreateAdmission;
  /** Milliseconds between looks whether a probe is needed. */
  readonly probeCheckMs?: number;
}

/** Creates the admission of one worker. */
export type CreateAdmission = (
  announcement: Announcement,
  limits: Profile['limits'],
) => WorkerAdmission;

/** One worker of this host. */
export class LocalWorker {
  announcement: Announcement;
  readonly connection: WorkerConnection;
  readonly admission: WorkerAdmission;
  readonly crashWatch: CrashWatch;
  private readonly prober: Prober;
  private expiryTimer: NodeJS.Timeout | undefined;

  constructor(options: LocalWorkerOptions) {
    const {announcement, connection, limits, quarantine, findBudget} = options;
    this.announcement = announcement;
    this.connection = connection;
    this.admission =
      options.createAdmission?.(announcement, limits) ??
      new Admission(announcement.slots, limits);
    connection.watchFigures?.(figures =>
      this.admission.recordFigures?.(figures),
    );
    this.crashWatch = new CrashWatch(announcement.service, quarantine, () =>
      this.prober.probeNow(),
    );
    this.prober = new Prober({
      sendProbe: (path, signal) => connection.sendProbe(path, signal),
      admission: this.admission,
      hasDoubt: () => this.crashWatch.hasOpenLoss(),
      handleUnreachable: () => this.crashWatch.recordRefusal(),
      findBudget,
      ...(options.probeCheckMs === undefined
        ? {}
        : {checkIntervalMs: options.probeCheckMs}),
    });
    this.prober.start();
  }

  /** Calls back when the worker has not announced itself for its time. */
  watchExpiry(handleExpiry: () => void): void {
    clearTimeout(this.expiryTimer);
    this.expiryTimer = setTimeout(handleExpiry, this.announcement.ttlMs);
    this.expiryTimer.unref();
  }

  /** Stops timers and closes connections once their requests have ended. */
  async close(): Promise<void> {
    clearTimeout(this.expiryTimer);
    this.prober.stop();
    await this.connection.close();
  }
}
