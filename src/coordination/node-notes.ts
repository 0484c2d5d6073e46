/**
 * Keeps what this node has confirmed where it outlives this process: in the
 * platform's store, from which the next process reads it, and with other nodes,
 * which tell the next process when the store is away. A confirmation waits until
 * one of them has it. Crashes of the local worker, which all nodes are told
 * anyway, are noted in the store for the case that all nodes are killed.
 */
import {Backoff, waitMs} from '../protocol/backoff.js';
import type {LeavingProcess, NodeNote} from '../protocol/node-note.js';
import {
  buildProcessKey,
  mergeCrashes,
  mergeLeaving,
} from '../protocol/node-note.js';
import type {
  AgedCrash,
  CrashRecord,
  NotedCrash,
} from '../protocol/crash-record.js';

/** Time for which a note matters: far longer than any report is late. */
const RETENTION_MS = 60_000;
/** Maximum time that a confirmation waits; its sender waits for a second. */
const SAVE_TIMEOUT_MS = 600;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1000;

/** Dependencies of a node's notes. */
export interface NodeNotesOptions {
  readonly nodeId: string;
  /**
   * Writes a note to the store, replacing the earlier one of its node.
   *
   * @throws StoreUnavailableError
   */
  readonly store: (note: NodeNote) => Promise<void>;
  /** Whether what the store has of an earlier process has been read. */
  readonly hasRecovered: () => boolean;
  /** Resolves with the first node that has confirmed the notes, if any does. */
  readonly push: () => Promise<string>;
  /** Called with what an earlier process of this node had noted. */
  readonly recover: (leaving: readonly LeavingProcess[]) => void;
  /** Called with the crashes that the store has of any node. */
  readonly recoverCrashes: (crashes: readonly AgedCrash[]) => void;
  readonly random: () => number;
  /** Returns the time of day in Unix milliseconds. */
  readonly readClock: () => number;
  /** Writes a log line with its context. */
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

/** Notes of this node and of others that it keeps for them. */
export class NodeNotes {
  private readonly abort = new AbortController();
  private readonly notes = new Map<string, NodeNote>();
  /** Latest crashes of this node's worker, the earliest first. */
  private crashes: readonly NotedCrash[] = [];
  private writing: Promise<void> | undefined;
  private isOutdated = false;
  private saving: Promise<void> = Promise.resolve();

  constructor(private readonly options: NodeNotesOptions) {}

  /** Resolves when all that was noted is kept elsewhere, or on a timeout. */
  get saved(): Promise<void> {
    return this.saving;
  }

  stop(): void {
    this.abort.abort();
  }

  /** Notes a process that is about to be confirmed as leaving. */
  addLeaving(process: LeavingProcess): void {
    const {nodeId} = this.options;
    this.merge({nodeId, leaving: [process], crashes: []});
    this.saving = this.publish();
  }

  /** Notes a crash of this node's worker, in the store only. */
  addCrash(crash: CrashRecord): void {
    const noted = {
      ...crash,
      fingerprints: [...crash.fingerprints],
      answeredFingerprints: [...crash.answeredFingerprints],
      suspects: [...crash.suspects],
      atMs: this.options.readClock(),
    };
    this.crashes = mergeCrashes(this.crashes, [noted]);
    void this.write();
  }

  /** Lists the notes that another node is told: this node's and its own. */
  listFor(nodeId: string): NodeNote[] {
    return [this.options.nodeId, nodeId].flatMap(id => {
      const note = this.find(id);
      return note ? [note] : [];
    });
  }

  /** Whether this node keeps notes of another one. */
  has(nodeId: string): boolean {
    return this.find(nodeId) !== undefined;
  }

  /** Adds notes that the store or another node had. */
  apply(notes: readonly NodeNote[]): void {
    for (const note of notes) {
      const isOwn = note.nodeId === this.options.nodeId;
      const isNew = this.merge(note);
      if (!isOwn || !isNew) continue;
      this.options.report('notes recovered', {leaving: note.leaving.length});
      this.options.recover(note.leaving);
    }
  }

  /** Adds what the store has of all nodes. */
  recover(notes: readonly NodeNote[]): void {
    const {nodeId, readClock, recoverCrashes} = this.options;
    const own = notes.filter(note => note.nodeId === nodeId);
    this.apply(own);
    for (const {crashes} of own)
      this.crashes = mergeCrashes(crashes, this.crashes);
    const now = readClock();
    recoverCrashes(
      notes.flatMap(({crashes}) =>
        crashes.map(({atMs, ...crash}) => ({
          ...crash,
          ageMs: Math.max(0, now - atMs),
        })),
      ),
    );
  }

  private find(nodeId: string): NodeNote | undefined {
    const note = this.notes.get(nodeId);
    const earliest = this.options.readClock() - RETENTION_MS;
    const leaving = note?.leaving.filter(({leftAtMs}) => leftAtMs > earliest);
    if (leaving && leaving.length > 0) return {nodeId, leaving, crashes: []};
    this.notes.delete(nodeId);
    return undefined;
  }

  /** Merges a note with the known one; returns false if nothing was new. */
  private merge(note: NodeNote): boolean {
    const {nodeId} = note;
    const before = this.find(nodeId)?.leaving ?? [];
    const known = new Set(before.map(buildProcessKey));
    const leaving = mergeLeaving(before, note.leaving);
    this.notes.set(nodeId, {nodeId, leaving, crashes: []});
    const after = this.find(nodeId)?.leaving ?? [];
    return after.some(process => !known.has(buildProcessKey(process)));
  }

  private async publish(): Promise<void> {
    const startedAt = performance.now();
    const never = new Promise<never>(() => {});
    const keeper = await Promise.race([
      this.write().then(() => 'store'),
      this.options.push().catch(() => never),
      waitMs(SAVE_TIMEOUT_MS).then(() => 'none'),
    ]);
    const elapsedMs = Math.round(performance.now() - startedAt);
    this.options.report('notes saved', {keeper, elapsedMs});
  }

  /** Resolves when a write that began after this call has succeeded. */
  private write(): Promise<void> {
    this.isOutdated = true;
    this.writing ??= this.writeOften().finally(
      () => (this.writing = undefined),
    );
    return this.writing;
  }

  private async writeOften(): Promise<void> {
    const {nodeId, store, hasRecovered, random, report} = this.options;
    const backoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, random);
    while (!this.abort.signal.aborted && this.isOutdated) {
      if (!hasRecovered()) {
        await backoff.wait(this.abort.signal);
        continue;
      }
      this.isOutdated = false;
      try {
        const leaving = this.find(nodeId)?.leaving ?? [];
        await store({nodeId, leaving, crashes: [...this.crashes]});
      } catch (error) {
        this.isOutdated = true;
        report('notes not stored', {detail: String(error)});
        await backoff.wait(this.abort.signal);
      }
    }
  }
}
