/**
 * Processes a worker's reports about itself for its local gate. Reports may be
 * late, duplicated or from processes that have ended. A process that has
 * reported that it is leaving gets no more requests, whatever arrives later,
 * also when this node has been started again since.
 */
import type {Announcement} from '../protocol/announcement.js';
import type {LeavingProcess} from '../protocol/node-note.js';
import {buildProcessKey} from '../protocol/node-note.js';

/** A report of one worker process about itself. */
export interface WorkerReport {
  readonly announcement: Announcement;
  readonly instanceId: string;
  /** Start time of the process, as Unix time in milliseconds. */
  readonly bornAtMs: number;
  /** Sequence number, which increases with each report of a process. */
  readonly sequence: number;
}

/** A notice that a worker process is leaving or has ended. */
export interface LeaveNotice {
  readonly instanceId: string;
  /** Start time of the process, as Unix time in ms, if the notice has it. */
  readonly bornAtMs?: number;
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

/** Start time of a process that doesn't tell it. */
export const UNKNOWN_START = 0;
/** Leaving processes tracked; beyond these the oldest is evicted. */
const MAX_LEAVING_PROCESSES = 64;

/** Dependencies of a WorkerReports. */
export interface WorkerReportsOptions {
  readonly gate: {
    announce(announcement: Announcement): void;
  };
  readonly isConfigured: (service: string) => boolean;
  /** Called for each process that is newly known to be leaving. */
  readonly handleLeaving: (process: LeavingProcess) => void;
  /** Returns the time of day in Unix milliseconds. */
  readonly readClock: () => number;
}

/** Handles the reports of one gate's local worker. */
export class WorkerReports {
  private newest: WorkerReport | undefined;
  private readonly leaving = new Map<string, LeavingProcess>();

  constructor(private readonly options: WorkerReportsOptions) {}

  /** Handles a report; announces it to the gate unless stale or held. */
  handleReport(report: WorkerReport): ReportOutcome {
    if (this.isStale(report)) return ReportOutcome.STALE;
    const {isConfigured} = this.options;
    const {service, state} = report.announcement;
    const known = this.newest?.announcement.service;
    // It may come from another writer and must not outdate the known worker.
    const isForeign =
      known !== undefined && isConfigured(known) && !isConfigured(service);
    if (isForeign) return ReportOutcome.HELD;
    this.newest = report;
    if (state === 'draining') this.addLeaving(report);
    return this.announce(report);
  }

  /** Handles a notice that a worker process is leaving or has ended. */
  handleLeave({instanceId, bornAtMs}: LeaveNotice): ReportOutcome {
    const {newest} = this;
    const isSameProcess =
      bornAtMs === undefined ||
      newest?.bornAtMs === bornAtMs ||
      newest?.bornAtMs === UNKNOWN_START;
    if (newest?.instanceId !== instanceId || !isSameProcess) {
      this.addLeaving({instanceId, bornAtMs});
      return ReportOutcome.STALE;
    }
    this.addLeaving(newest);
    return this.announce(newest);
  }

  /** Adds processes that an earlier process of this node knew to be leaving. */
  recover(processes: readonly LeavingProcess[]): void {
    for (const process of processes) this.append(process);
    this.refresh();
  }

  /** Repeats the announcement after the configuration has changed. */
  refresh(): void {
    if (this.newest) this.announce(this.newest);
  }

  private announce({announcement, ...report}: WorkerReport): ReportOutcome {
    const {gate, isConfigured} = this.options;
    if (!isConfigured(announcement.service)) return ReportOutcome.HELD;
    const state = this.isLeaving(report) ? 'draining' : announcement.state;
    gate.announce({...announcement, state});
    return ReportOutcome.TAKEN;
  }

  private isStale(report: WorkerReport): boolean {
    const {newest} = this;
    if (!newest) return this.isLeaving(report);
    if (report.bornAtMs !== newest.bornAtMs) {
      return report.bornAtMs < newest.bornAtMs;
    }
    if (report.instanceId !== newest.instanceId) return false;
    return report.sequence <= newest.sequence;
  }

  private isLeaving(
    report: Pick<WorkerReport, 'instanceId' | 'bornAtMs'>,
  ): boolean {
    if (this.leaving.has(buildProcessKey(report))) return true;
    const {instanceId, bornAtMs} = report;
    // A process that started after the notice has only taken over the id.
    const unborn = this.leaving.get(buildProcessKey({instanceId}));
    return unborn !== undefined && bornAtMs <= unborn.leftAtMs;
  }

  private addLeaving({instanceId, bornAtMs}: LeaveNotice): void {
    const leftAtMs = this.options.readClock();
    const process = {instanceId, bornAtMs, leftAtMs};
    if (this.append(process)) this.options.handleLeaving(process);
  }

  /** Appends a leaving process; returns false when it was known. */
  private append(process: LeavingProcess): boolean {
    const key = buildProcessKey(process);
    if (this.leaving.has(key)) return false;
    this.leaving.set(key, process);
    const [oldest] = this.leaving.keys();
    if (this.leaving.size > MAX_LEAVING_PROCESSES) this.leaving.delete(oldest!);
    return true;
  }
}
