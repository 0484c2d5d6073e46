/**
 * Crashes of workers and the requests that lost their connection in them. A
 * request that was in a crash is a suspect until a worker answers it; gates
 * run suspects one at a time. A suspect that is in one more crash is
 * quarantined, and no other request of that crash is: those were in one crash
 * only. Crashes of many workers at once name nobody, since none of their
 * requests was known as a suspect. The tables of all nodes agree once they
 * hold the same records, whatever order these came in.
 */

/** How long a crash counts, and so how long a quarantine lasts. */
const CRASH_MEMORY_MS = 600_000;
const MAX_CRASHES = 256;
/** Crashes in which a quarantined request has been. */
const QUARANTINE_CRASHES = 2;

/** What nodes tell each other of one crash. */
export interface CrashRecord {
  readonly crashId: string;
  readonly service: string;
  /** Fingerprints whose connection was lost. */
  readonly fingerprints: readonly string[];
  /** Those of them that a worker has answered since. */
  readonly answeredFingerprints: readonly string[];
  /** Those that had been in an earlier crash and ran apart from other such. */
  readonly suspects: readonly string[];
}

interface Crash {
  readonly service: string;
  readonly at: number;
  readonly open: Set<string>;
  readonly answered: Set<string>;
  readonly suspects: Set<string>;
}

/** Crashes known to one node. */
export class CrashTable {
  private readonly crashes = new Map<string, Crash>();
  private counts = new Map<string, number>();
  private quarantined = new Set<string>();

  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Whether a request is refused because it crashes workers. */
  isQuarantined(fingerprint: string): boolean {
    return this.hasCrashes() && this.quarantined.has(fingerprint);
  }

  /** Whether a request was in a crash and has not been answered since. */
  isSuspect(fingerprint: string): boolean {
    return this.hasCrashes() && this.counts.has(fingerprint);
  }

  /** Fingerprints that are quarantined now. */
  listQuarantined(): string[] {
    return this.hasCrashes() ? [...this.quarantined] : [];
  }

  /** Adds what is new in a record; false when nothing is. */
  add(record: CrashRecord): boolean {
    const crash = this.findOrAdd(record);
    let isNew = false;
    for (const fingerprint of record.answeredFingerprints) {
      if (crash.answered.has(fingerprint)) continue;
      crash.answered.add(fingerprint);
      crash.open.delete(fingerprint);
      isNew = true;
    }
    for (const fingerprint of record.fingerprints) {
      const isKnown =
        crash.open.has(fingerprint) || crash.answered.has(fingerprint);
      if (isKnown) continue;
      crash.open.add(fingerprint);
      isNew = true;
    }
    for (const fingerprint of record.suspects) crash.suspects.add(fingerprint);
    if (isNew) this.update();
    return isNew;
  }

  /** Notes an answer to a suspect; returns the records to tell others. */
  recordAnswer(fingerprint: string): CrashRecord[] {
    const records: CrashRecord[] = [];
    for (const [crashId, crash] of this.crashes) {
      if (!crash.open.delete(fingerprint)) continue;
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

  private findOrAdd(record: CrashRecord): Crash {
    const known = this.crashes.get(record.crashId);
    if (known) return known;
    const crash: Crash = {
      service: record.service,
      at: this.now(),
      open: new Set(),
      answered: new Set(),
      suspects: new Set(),
    };
    this.crashes.set(record.crashId, crash);
    const [oldest] = this.crashes.keys();
    if (this.crashes.size > MAX_CRASHES) this.crashes.delete(oldest!);
    return crash;
  }

  /** Drops what is too old, oldest first, and tells whether any is left. */
  private hasCrashes(): boolean {
    if (this.crashes.size === 0) return false;
    const earliest = this.now() - CRASH_MEMORY_MS;
    const size = this.crashes.size;
    for (const [crashId, crash] of this.crashes) {
      if (crash.at > earliest) break;
      this.crashes.delete(crashId);
    }
    if (this.crashes.size < size) this.update();
    return this.crashes.size > 0;
  }

  private update(): void {
    this.counts = new Map();
    for (const {open} of this.crashes.values()) {
      for (const fingerprint of open) {
        const count = this.counts.get(fingerprint) ?? 0;
        this.counts.set(fingerprint, count + 1);
      }
    }
    this.quarantined = new Set();
    for (const {open, suspects} of this.crashes.values()) {
      for (const fingerprint of suspects) {
        const isRepeated =
          open.has(fingerprint) &&
          this.counts.get(fingerprint)! >= QUARANTINE_CRASHES;
        if (isRepeated) this.quarantined.add(fingerprint);
      }
    }
  }
}
