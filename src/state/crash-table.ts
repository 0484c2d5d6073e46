/**
 * Records crashes of workers and the requests that lost their connection in
 * them. A request that was in a crash is a suspect until a worker answers it;
 * gates run suspects one at a time. A suspect that is in a second crash is
 * quarantined. The other requests of that crash are not, since they were in one
 * crash only. Simultaneous crashes of many workers quarantine no request, since
 * none of them was a suspect yet. The tables of all nodes converge once they
 * hold the same records, in whatever order these arrived.
 */
import type {AgedCrash, CrashRecord} from '../protocol/crash-record.js';

/** Time for which a crash is kept, and so how long a quarantine lasts. */
const CRASH_RETENTION_MS = 600_000;
const MAX_CRASHES = 256;
/** Crashes that a node which starts is told. */
const MAX_LISTED_CRASHES = 32;
/** Crashes after which a suspect is quarantined. */
const MIN_QUARANTINE_CRASHES = 2;

interface Crash {
  readonly service: string;
  /** Time of the crash, on the table's clock. */
  readonly at: number;
  readonly unanswered: Set<string>;
  readonly answered: Set<string>;
  readonly suspects: Set<string>;
}

/** Crashes known to one node. */
export class CrashTable {
  private readonly crashes = new Map<string, Crash>();
  private crashCounts = new Map<string, number>();
  private quarantined = new Set<string>();

  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Whether requests of a fingerprint are refused. */
  isQuarantined(fingerprint: string): boolean {
    return this.hasCrashes() && this.quarantined.has(fingerprint);
  }

  /** Whether a fingerprint was in a crash and has not been answered since. */
  isSuspect(fingerprint: string): boolean {
    return this.hasCrashes() && this.crashCounts.has(fingerprint);
  }

  /** Lists the quarantined fingerprints. */
  listQuarantined(): string[] {
    return this.hasCrashes() ? [...this.quarantined] : [];
  }

  /** Lists the latest crashes after which some requests were not answered. */
  listOpen(): AgedCrash[] {
    if (!this.hasCrashes()) return [];
    const now = this.now();
    return [...this.crashes]
      .filter(([, {unanswered}]) => unanswered.size > 0)
      .slice(-MAX_LISTED_CRASHES)
      .map(([crashId, crash]) => ({
        crashId,
        service: crash.service,
        fingerprints: [...crash.unanswered],
        answeredFingerprints: [...crash.answered],
        suspects: [...crash.suspects],
        ageMs: Math.round(now - crash.at),
      }));
  }

  /**
   * Merges a record; returns false when it holds no new fingerprint.
   *
   * @param ageMs time since the crash, in milliseconds.
   */
  add(record: CrashRecord, ageMs = 0): boolean {
    if (ageMs >= CRASH_RETENTION_MS) return false;
    const crash = this.findOrAdd(record, ageMs);
    let isNew = false;
    for (const fingerprint of record.answeredFingerprints) {
      if (crash.answered.has(fingerprint)) continue;
      crash.answered.add(fingerprint);
      crash.unanswered.delete(fingerprint);
      isNew = true;
    }
    for (const fingerprint of record.fingerprints) {
      const isKnown =
        crash.unanswered.has(fingerprint) || crash.answered.has(fingerprint);
      if (isKnown) continue;
      crash.unanswered.add(fingerprint);
      isNew = true;
    }
    for (const fingerprint of record.suspects) crash.suspects.add(fingerprint);
    if (isNew) this.update();
    return isNew;
  }

  /** Records an answer to a suspect; returns the records to publish. */
  recordAnswer(fingerprint: string): CrashRecord[] {
    const records: CrashRecord[] = [];
    for (const [crashId, crash] of this.crashes) {
      if (!crash.unanswered.delete(fingerprint)) continue;
      crash.answered.add(fingerprint);
      records.push({
        crashId,
        service: crash.service,
        fingerprints: [],
        answeredFingerprints: [fingerprint],
        suspects: [],
      });
    }
    if (records.length > 0) this.update();
    return records;
  }

  private findOrAdd(record: CrashRecord, ageMs: number): Crash {
    const known = this.crashes.get(record.crashId);
    if (known) return known;
    const crash: Crash = {
      service: record.service,
      at: this.now() - ageMs,
      unanswered: new Set(),
      answered: new Set(),
      suspects: new Set(),
    };
    this.crashes.set(record.crashId, crash);
    const [oldest] = this.crashes.keys();
    if (this.crashes.size > MAX_CRASHES) this.crashes.delete(oldest!);
    return crash;
  }

  /** Expires old crashes, and returns whether any are left. */
  private hasCrashes(): boolean {
    if (this.crashes.size === 0) return false;
    const earliest = this.now() - CRASH_RETENTION_MS;
    const size = this.crashes.size;
    for (const [crashId, crash] of this.crashes) {
      if (crash.at <= earliest) this.crashes.delete(crashId);
    }
    if (this.crashes.size < size) this.update();
    return this.crashes.size > 0;
  }

  private update(): void {
    this.crashCounts = new Map();
    for (const {unanswered} of this.crashes.values()) {
      for (const fingerprint of unanswered) {
        const count = this.crashCounts.get(fingerprint) ?? 0;
        this.crashCounts.set(fingerprint, count + 1);
      }
    }
    this.quarantined = new Set();
    for (const {unanswered, suspects} of this.crashes.values()) {
      for (const fingerprint of suspects) {
        const isRepeated =
          unanswered.has(fingerprint) &&
          this.crashCounts.get(fingerprint)! >= MIN_QUARANTINE_CRASHES;
        if (isRepeated) this.quarantined.add(fingerprint);
      }
    }
  }
}
