/**
 * Wires what a node with a peer directory knows of the worker on its host: its
 * reports, and the notes by which a confirmed leaving outlives this process.
 */
import {NodeNotes} from './coordination/node-notes.js';
import type {NodeDirectory} from './coordination/peer-directory-options.js';
import type {
  LeaveNotice,
  ReportOutcome,
  WorkerReport,
} from './coordination/worker-reports.js';
import {WorkerReports} from './coordination/worker-reports.js';
import type {Announcement} from './protocol/announcement.js';
import type {AgedCrash} from './protocol/crash-record.js';

/** Dependencies of a node's knowledge of its worker. */
export interface DirectoryWorkerOptions {
  readonly nodeId: string;
  readonly gate: {
    announce(announcement: Announcement): void;
  };
  readonly isConfigured: (service: string) => boolean;
  readonly store: Pick<NodeDirectory, 'saveNote'>;
  readonly hasRecovered: () => boolean;
  readonly pushNotes: () => Promise<string>;
  readonly recoverCrashes: (crashes: readonly AgedCrash[]) => void;
  /** Writes a log line with its context. */
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

/** The worker on the host of one node, as it reported itself. */
export class DirectoryWorker {
  readonly notes: NodeNotes;
  private readonly reports: WorkerReports;

  constructor(options: DirectoryWorkerOptions) {
    const {gate, isConfigured, nodeId} = options;
    this.notes = new NodeNotes({
      nodeId,
      store: note => options.store.saveNote(note),
      hasRecovered: options.hasRecovered,
      push: options.pushNotes,
      recover: leaving => this.reports.recover(leaving),
      recoverCrashes: options.recoverCrashes,
      random: Math.random,
      readClock: Date.now,
      report: options.report,
    });
    this.reports = new WorkerReports({
      gate,
      isConfigured,
      handleLeaving: process => this.notes.addLeaving(process),
      readClock: Date.now,
    });
  }

  /** Handles a report; resolves once what it confirms is kept elsewhere. */
  async handleReport(report: WorkerReport): Promise<ReportOutcome> {
    const outcome = this.reports.handleReport(report);
    await this.notes.saved;
    return outcome;
  }

  /** Handles a notice of leaving; resolves once it is kept elsewhere. */
  async handleLeave(notice: LeaveNotice): Promise<ReportOutcome> {
    const outcome = this.reports.handleLeave(notice);
    await this.notes.saved;
    return outcome;
  }

  /** Repeats the announcement after the configuration has changed. */
  refresh(): void {
    this.reports.refresh();
  }

  stop(): void {
    this.notes.stop();
  }
}
