/**
 * Decides what a worker's reports about itself mean for the gate beside it.
 * Reports arrive late, twice and from processes that are gone; a worker that
 * has said that it leaves must get nothing more, whatever arrives after that.
 */
import type {Announcement} from '../protocol/announcement.js';

/** What one process of a worker says of itself. */
export interface WorkerReport {
  readonly announcement: Announcement;
  readonly instanceId: string;
  /** Start of the process, Unix time in milliseconds. */
  readonly bornAtMs: number;
  /** Grows with each report of one process. */
  readonly sequence: number;
}

/** What became of a report. */
export const ReportOutcome = {
  TAKEN: 'taken',
  /** An earlier process, or an earlier word of this one. */
  STALE: 'stale',
  /** Taken, but its service is not configured yet. */
  HELD: 'held',
} as const;

export type ReportOutcome = (typeof ReportOutcome)[keyof typeof ReportOutcome];

/** Processes remembered as leaving. */
const MAX_LEFT = 64;

/** Reports of the worker beside one gate. */
export class WorkerReports {
  private newest: WorkerReport | undefined;
  private readonly left = new Set<string>();

  constructor(
    private readonly gate: {
      announce(announcement: Announcement): void;
    },
    private readonly isConfigured: (service: string) => boolean,
  ) {}

  /** Takes a report. */
  handleReport(report: WorkerReport): ReportOutcome {
    if (this.isStale(report)) return ReportOutcome.STALE;
    this.newest = report;
    if (report.announcement.state === 'draining') this.addLeft(report);
    return this.announce(report);
  }

  /** Takes a worker's word that it leaves or is gone. */
  handleLeave(instanceId: string): ReportOutcome {
    const {newest} = this;
    if (newest?.instanceId !== instanceId) {
      this.left.add(instanceId);
      return ReportOutcome.STALE;
    }
    this.addLeft(newest);
    return this.announce(newest);
  }

  /** Announces again, after a configuration brought new services. */
  refresh(): void {
    if (this.newest) this.announce(this.newest);
  }

  private announce({announcement, ...report}: WorkerReport): ReportOutcome {
    if (!this.isConfigured(announcement.service)) return ReportOutcome.HELD;
    const isLeaving = this.left.has(buildKey(report));
    const state = isLeaving ? 'draining' : announcement.state;
    this.gate.announce({...announcement, state});
    return ReportOutcome.TAKEN;
  }

  private isStale(report: WorkerReport): boolean {
    const {newest} = this;
    if (this.left.has(report.instanceId) && !newest) return true;
    if (!newest) return false;
    if (report.bornAtMs !== newest.bornAtMs) {
      return report.bornAtMs < newest.bornAtMs;
    }
    if (report.instanceId !== newest.instanceId) return false;
    return report.sequence <= newest.sequence;
  }

  private addLeft(report: Pick<WorkerReport, 'instanceId' | 'bornAtMs'>): void {
    this.left.add(buildKey(report));
    const [oldest] = this.left;
    if (this.left.size > MAX_LEFT) this.left.delete(oldest!);
  }
}

/** One process: the same id may start again. */
function buildKey(
  report: Pick<WorkerReport, 'instanceId' | 'bornAtMs'>,
): string {
  return `${report.instanceId} ${report.bornAtMs}`;
}
