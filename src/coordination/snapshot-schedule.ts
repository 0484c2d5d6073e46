/**
 * Appends a snapshot of the replicated state to the log before the records that
 * led to it expire. Each node has a jittered timer: the first to fire appends,
 * and the others restart their timers when they read that record. Concurrent
 * snapshots are harmless.
 */
import {randomUUID} from 'node:crypto';
import {waitMs} from '../protocol/backoff.js';
import type {LogRecord} from '../protocol/records.js';
import type {StateStore} from '../state/state-store.js';
import type {AppendRecord} from './record-publisher.js';

/** Fraction of the interval over which the nodes' timers are spread. */
const JITTER_FRACTION = 0.2;
const MIN_WAIT_MS = 50;

/** Dependencies and settings of a snapshot schedule. */
export interface SnapshotScheduleOptions {
  readonly nodeId: string;
  readonly state: StateStore;
  readonly appendRecord: AppendRecord;
  /** Time between snapshots; must be well below the log's retention time. */
  readonly intervalMs: number;
  readonly random: () => number;
  readonly count: (counter: string) => void;
}

/** Snapshot schedule of one node. */
export class SnapshotSchedule {
  private readonly abort = new AbortController();

  constructor(private readonly options: SnapshotScheduleOptions) {}

  /** Starts the timer. */
  start(): void {
    void this.run();
  }

  /** Stops the timer without waiting for an append in progress. */
  stop(): void {
    this.abort.abort();
  }

  private async run(): Promise<void> {
    const {signal} = this.abort;
    const {intervalMs, random} = this.options;
    while (!signal.aborted) {
      const newest = this.options.state.current.snapshotAtMs;
      const jitterMs = intervalMs * JITTER_FRACTION * random();
      const dueInMs = this.computeDueInMs() + jitterMs;
      await waitMs(Math.max(MIN_WAIT_MS, dueInMs), signal);
      if (signal.aborted) return;
      const {version, snapshotAtMs} = this.options.state.current;
      // A snapshot that another node appended meanwhile restarts the wait.
      if (version > 0 && snapshotAtMs === newest) await this.appendSnapshot();
    }
  }

  /**
   * Computes the wait, at most one interval: the snapshot's timestamp may be in
   * the future if its writer's clock was wrong.
   */
  private computeDueInMs(): number {
    const {state, intervalMs} = this.options;
    const {version, snapshotAtMs} = state.current;
    if (version === 0) return intervalMs;
    const dueInMs = snapshotAtMs + intervalMs - Date.now();
    return Math.min(intervalMs, dueInMs);
  }

  private async appendSnapshot(): Promise<void> {
    const {state, appendRecord, nodeId, count} = this.options;
    const record: LogRecord = {
      kind: 'snapshot',
      id: randomUUID(),
      author: nodeId,
      writtenAtMs: Date.now(),
      buildsOn: 0,
      upToOffset: state.current.nextOffset,
      state: state.current,
    };
    try {
      await appendRecord(record);
      count('log.snapshots');
    } catch {
      count('log.snapshots-failed');
    }
  }
}
