/**
 * Worker on this host, with what its gate keeps for it: connection, admission,
 * prober and crash detection.
 */
import type {Announcement} from '../protocol/announcement.js';
import type {AttemptAnswer} from '../protocol/attempt.js';
import type {Profile} from '../protocol/configuration.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import type {ProbeAnswer, UpstreamLoadReport} from '../protocol/worker-load.js';
import {AdaptiveAdmission} from './admission/adaptive-admission.js';
import type {CrashQuarantine} from './crash-quarantine.js';
import {CrashWatch} from './crash-quarantine.js';
import {Prober} from './prober.js';
import type {WorkerAdmission} from './admission/worker-admission.js';

/** Sends requests to one worker; implemented by the transport. */
export interface WorkerConnection {
  sendRequest(
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<AttemptAnswer>;
  /**
   * Sends a probe to the worker's health path.
   *
   * @throws AttemptError with reason `unreachable` if no connection could be
   *     established.
   */
  sendProbe(path: string, signal: AbortSignal): Promise<ProbeAnswer>;
  /** Calls the handler with each load report of the worker. */
  watchLoadReports?(handler: (figures: UpstreamLoadReport) => void): void;
  close(): Promise<void>;
}

/** Options and collaborators of a local worker. */
export interface LocalWorkerOptions {
  readonly announcement: Announcement;
  readonly connection: WorkerConnection;
  readonly limits: Profile['limits'];
  readonly quarantine: CrashQuarantine;
  /** Returns the probe budget of the current profile. */
  readonly findBudget: () => Profile['probes'] | undefined;
  /** Creates the admission; by default it is adaptive. */
  readonly createAdmission?: CreateAdmission;
  /** Interval in milliseconds between checks whether a probe is due. */
  readonly probeCheckIntervalMs?: number;
}

/** Creates the admission of one worker. */
export type CreateAdmission = (
  announcement: Announcement,
  limits: Profile['limits'],
) => WorkerAdmission;

/** Worker on this host. */
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
      new AdaptiveAdmission(announcement.slots, limits);
    connection.watchLoadReports?.(figures =>
      this.admission.recordLoadReport?.(figures),
    );
    this.crashWatch = new CrashWatch(
      announcement.service,
      quarantine,
      () => this.prober.probeNow(),
      () => this.admission.recordCrash?.(),
    );
    this.prober = new Prober({
      sendProbe: (path, signal) => connection.sendProbe(path, signal),
      admission: this.admission,
      hasUnexplainedLoss: () => this.crashWatch.hasUnexplainedLoss(),
      handleUnreachable: () => this.crashWatch.recordConnectionRefused(),
      findBudget,
      ...(options.probeCheckIntervalMs === undefined
        ? {}
        : {checkIntervalMs: options.probeCheckIntervalMs}),
    });
    this.prober.start();
  }

  /** Calls the handler when the latest announcement expires. */
  watchExpiry(handleExpiry: () => void): void {
    clearTimeout(this.expiryTimer);
    this.expiryTimer = setTimeout(handleExpiry, this.announcement.ttlMs);
    this.expiryTimer.unref();
  }

  /** Stops timers and closes the connection once its requests have ended. */
  async close(): Promise<void> {
    clearTimeout(this.expiryTimer);
    this.prober.stop();
    await this.connection.close();
  }
}
