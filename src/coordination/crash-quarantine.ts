/**
 * Detects requests that crash workers. The gate infers a crash when several
 * requests lose their connection at once, or when one does and the worker then
 * refuses connections. It delays the error of a lost connection until other
 * nodes have received the crash report. A retry then reaches gates that run
 * suspects one at a time, so the next crash identifies a single request.
 */
import {randomUUID} from 'node:crypto';
import {waitMs} from '../protocol/backoff.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {CrashRecord} from '../protocol/crash-record.js';
import type {CrashTable} from '../state/crash-table.js';

/** Connections lost within this time count as one crash. */
const CRASH_WINDOW_MS = 30;
/** Time after a single lost connection in which a refusal shows a crash. */
const REFUSAL_WINDOW_MS = 3000;
/** Longest wait for other nodes to receive a report, or for a probe. */
const PUBLISH_TIMEOUT_MS = 100;
/** Lost connections that count as a crash without a refused connection. */
const MIN_CRASH_LOSSES = 2;

/** Publishes crash reports to other nodes; implemented by the transport. */
export type PublishCrashes = (records: CrashRecord[]) => Promise<void>;

/** The fields of a request that crash detection uses. */
export interface WatchedRequest {
  readonly service: string;
  readonly fingerprint: string;
  /** Deadline on the clock of `performance.now()`. */
  readonly deadline: number;
}

/** Quarantines requests at one node. */
export class CrashQuarantine {
  constructor(
    readonly table: CrashTable,
    private readonly publishCrashes: PublishCrashes,
  ) {}

  /** @throws RefusalError when the fingerprint is quarantined. */
  check(fingerprint: string): void {
    if (this.table.isQuarantined(fingerprint)) {
      throw new RefusalError(Reason.QUARANTINED);
    }
  }

  /** Records that a worker answered a request without crashing. */
  recordAnswer(fingerprint: string): void {
    if (!this.table.isSuspect(fingerprint)) return;
    const records = this.table.recordAnswer(fingerprint);
    void this.publishCrashes(records).catch(() => {});
  }

  /** Records a crash; resolves when it is published or on a timeout. */
  async recordCrash(
    service: string,
    fingerprints: string[],
    suspects: string[],
  ): Promise<void> {
    const record: CrashRecord = {
      crashId: randomUUID(),
      service,
      fingerprints,
      answeredFingerprints: [],
      suspects,
    };
    this.table.add(record);
    await Promise.race([
      this.publishCrashes([record]).catch(() => {}),
      waitMs(PUBLISH_TIMEOUT_MS),
    ]);
  }
}

/** A request that runs on a watched worker. */
export interface WatchedRun {
  readonly fingerprint: string;
  /** Whether it was in a crash before, so that it runs as the only suspect. */
  readonly isSuspect: boolean;
  /** Ends the run; later calls have no effect. */
  end(): void;
}

/** Lost connections that may belong to one crash. */
interface LossGroup {
  readonly at: number;
  readonly fingerprints: Set<string>;
  readonly suspects: Set<string>;
  losses: number;
  /** Whether CRASH_WINDOW_MS has passed, so that no more losses are added. */
  isClosed: boolean;
  /** Resolves once the group has been checked for a crash. */
  readonly settled: Promise<void>;
}

/** Why a waiting suspect may start. */
type WaitOutcome = 'its turn' | 'cleared';

interface WaitingSuspect {
  readonly fingerprint: string;
  start(outcome: WaitOutcome): void;
}

/** Watches one worker for crashes and runs suspects one at a time. */
export class CrashWatch {
  private group: LossGroup | undefined;
  private refusedAt = -Infinity;
  private isSuspectRunning = false;
  private readonly waitingSuspects: WaitingSuspect[] = [];

  constructor(
    private readonly service: string,
    private readonly quarantine: CrashQuarantine,
    /** Probes whether the worker accepts connections, within the budget. */
    private readonly probeWorker: () => Promise<void>,
    private readonly handleCrash: () => void = () => {},
  ) {}

  /**
   * Whether a connection was lost recently and it is not yet known whether the
   * worker crashed.
   */
  hasUnexplainedLoss(): boolean {
    const {group} = this;
    if (!group) return false;
    return performance.now() - group.at < REFUSAL_WINDOW_MS;
  }

  /**
   * Starts a run. A suspect waits until no other suspect runs on the worker;
   * any other request starts at once.
   *
   * @param limitMs Longest wait of a suspect.
   * @throws RefusalError when the request is quarantined or its wait expires.
   */
  async startRun(
    request: WatchedRequest,
    limitMs: number,
  ): Promise<WatchedRun> {
    const {fingerprint} = request;
    const {table} = this.quarantine;
    this.quarantine.check(fingerprint);
    if (!table.isSuspect(fingerprint)) return createNormalRun(fingerprint);
    if (this.isSuspectRunning) {
      const outcome = await this.waitForTurn(request, limitMs);
      if (outcome === 'cleared') return createNormalRun(fingerprint);
    }
    this.isSuspectRunning = true;
    const run = this.createSuspectRun(fingerprint);
    try {
      this.quarantine.check(fingerprint);
    } catch (error) {
      run.end();
      throw error;
    }
    return run;
  }

  /** Records an answer, which clears all requests of that fingerprint. */
  recordAnswer(run: WatchedRun): void {
    this.quarantine.recordAnswer(run.fingerprint);
    this.startClearedSuspects();
  }

  /** Starts the waiting requests that are no longer suspects. */
  private startClearedSuspects(): void {
    const {table} = this.quarantine;
    const cleared = this.waitingSuspects.filter(
      ({fingerprint}) => !table.isSuspect(fingerprint),
    );
    for (const waiting of cleared) {
      this.waitingSuspects.splice(this.waitingSuspects.indexOf(waiting), 1);
      waiting.start('cleared');
    }
  }

  /**
   * Records a lost connection. Resolves when the crash check has ended; a
   * later refused connection may still show a crash.
   *
   * @param isCounted Whether the loss counts towards the number of losses that
   *     is taken as a crash without a refused connection.
   */
  async recordConnectionLoss(
    run: WatchedRun,
    isCounted: boolean,
  ): Promise<void> {
    const group = this.findGroup();
    group.fingerprints.add(run.fingerprint);
    if (run.isSuspect) group.suspects.add(run.fingerprint);
    if (isCounted) group.losses += 1;
    await group.settled;
  }

  /** Records that the worker refused a connection. */
  async recordConnectionRefused(): Promise<void> {
    this.refusedAt = performance.now();
    const {group} = this;
    if (!group || !this.hasUnexplainedLoss()) return;
    // An open group may still get more losses; checkGroup records its crash.
    if (group.isClosed) await this.recordCrash(group);
  }

  private findGroup(): LossGroup {
    const {group: last} = this;
    if (last && !last.isClosed) return last;
    const group: LossGroup = {
      at: performance.now(),
      fingerprints: new Set(),
      suspects: new Set(),
      losses: 0,
      isClosed: false,
      settled: waitMs(CRASH_WINDOW_MS).then(() => this.checkGroup(group)),
    };
    this.group = group;
    return group;
  }

  private async checkGroup(group: LossGroup): Promise<void> {
    group.isClosed = true;
    const isRefusing = this.refusedAt > group.at - CRASH_WINDOW_MS;
    if (isRefusing || group.losses >= MIN_CRASH_LOSSES) {
      await this.recordCrash(group);
      return;
    }
    await Promise.race([this.probeWorker(), waitMs(PUBLISH_TIMEOUT_MS)]);
  }

  private async recordCrash(group: LossGroup): Promise<void> {
    if (group !== this.group) return;
    this.group = undefined;
    this.handleCrash();
    await this.quarantine.recordCrash(
      this.service,
      [...group.fingerprints],
      [...group.suspects],
    );
  }

  private createSuspectRun(fingerprint: string): WatchedRun {
    let isEnded = false;
    return {
      fingerprint,
      isSuspect: true,
      end: () => {
        if (!isEnded) this.endSuspectRun();
        isEnded = true;
      },
    };
  }

  private waitForTurn(
    {fingerprint, deadline}: WatchedRequest,
    limitMs: number,
  ): Promise<WaitOutcome> {
    const remainingMs = deadline - performance.now();
    return new Promise((resolve, reject) => {
      const waiting: WaitingSuspect = {
        fingerprint,
        start: outcome => {
          clearTimeout(timer);
          resolve(outcome);
        },
      };
      const expire = (): void => {
        this.waitingSuspects.splice(this.waitingSuspects.indexOf(waiting), 1);
        reject(new RefusalError(Reason.QUEUE_TIMEOUT));
      };
      const timer = setTimeout(expire, Math.min(limitMs, remainingMs));
      this.waitingSuspects.push(waiting);
    });
  }

  private endSuspectRun(): void {
    const next = this.waitingSuspects.shift();
    if (next) next.start('its turn');
    else this.isSuspectRunning = false;
  }
}

function createNormalRun(fingerprint: string): WatchedRun {
  return {fingerprint, isSuspect: false, end: () => {}};
}
