/**
 * Processes a worker's reports about itself for its local gate. Reports may be
 * late, duplicated or from processes that have ended. A process that has
 * reported that it is leaving gets no more requests, whatever arrives later.
 */
import type {Announcement} from '../protocol/announcement.js';

/** A report of one worker process about itself. */
export interface WorkerReport {
  readonly announcement: Announcement;
  readonly instanceId: string;
  /** Start time of the process, as Unix time in milliseconds. */
  readonly bornAtMs: number;
  /** Sequence number, which increases with each report of a process. */
  readonly sequence: number;
}

/** Result of handling a report. */
export const ReportOutcome = {
  TAKEN: 'taken',
  /** From an earlier process, or an earlier report of the current one. */
  STALE: 'stale',
  /** Its service is not configured; stored unless a worker is known. */
  HELD: 'held',
} as const;

export type ReportOutcome = (typeof ReportOutcome)[keyof typeof ReportOutcome];

/** Leaving processes tracked; beyond these the oldest is evicted. */
const MAX_LEAVING_PROCESSES = 64;

/** Handles the reports of one gate's local worker. */
export class WorkerReports {
  private newest: WorkerReport | undefined;
  private readonly leavingProcesses = new Set<string>();

  constructor(
    private readonly gate: {
      announce(announcement: Announcement): void;
    },
    private readonly isConfigured: (service: string) => boolean,
  ) {}

  /** Handles a report; announces it to the gate unless stale or held. */
  handleReport(report: WorkerReport): ReportOutcome {
    if (this.isStale(report)) return ReportOutcome.STALE;
    const {service} = report.announcement;
    const known = this.newest?.announcement.service;
    // It may come from another writer and must not outdate the known worker.
    const isForeign =
      known !== undefined &&
      this.isConfigured(known) &&
      !this.isConfigured(service);
    if (isForeign) return ReportOutcome.HELD;
    this.newest = report;
    if (report.announcement.state === 'draining') this.addLeaving(report);
    return this.announce(report);
  }

  /** Handles a notice that a worker process is leaving or has ended. */
  handleLeave(instanceId: string): ReportOutcome {
    const {newest} = this;
    if (newest?.instanceId !== instanceId) {
      this.leavingProcesses.add(instanceId);
      return ReportOutcome.STALE;
    }
    this.addLeaving(newest);
    return this.announce(newest);
  }

  /** Repeats the announcement after the configuration has changed. */
  refresh(): void {
    if (this.newest) this.announce(this.newest);
  }

  private announce({announcement, ...report}: WorkerReport): ReportOutcome {
    if (!this.isConfigured(announcement.service)) return ReportOutcome.HELD;
    const isLeaving = this.leavingProcesses.has(buildProcessKey(report));
    const state = isLeaving ? 'draining' : announcement.state;
    this.gate.announce({...announcement, state});
    return ReportOutcome.TAKEN;
  }

  private isStale(report: WorkerReport): boolean {
    const {newest} = this;
    if (this.leavingProcesses.has(report.instanceId) && !newest) return true;
    if (!newest) return false;
    if (report.bornAtMs !== newest.bornAtMs) {
      return report.bornAtMs < newest.bornAtMs;
    }
    if (report.instanceId !== newest.instanceId) return false;
    return report.sequence <= newest.sequence;
  }

  private addLeaving(
    report: Pick<WorkerReport, 'instanceId' | 'bornAtMs'>,
  ): void {
    this.leavingProcesses.add(buildProcessKey(report));
    const [oldest] = this.leavingProcesses;
    if (this.leavingProcesses.size > MAX_LEAVING_PROCESSES)
      this.leavingProcesses.delete(oldest!);
  }
}

/** Builds a key for one process, since a restart may reuse the id. */
function buildProcessKey(
  report: Pick<WorkerReport, 'instanceId' | 'bornAtMs'>,
): string {
  return `${report.instanceId} ${report.bornAtMs}`;
}
