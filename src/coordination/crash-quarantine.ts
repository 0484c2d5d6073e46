/**
 * Finds requests that crash workers. A crash shows at the gate as several
 * requests that lose their connection at once, or as one that does before the
 * worker refuses connections. The gate holds back the word of the loss until
 * the other nodes know the crash, so that a retry meets gates that run it
 * apart from the other suspects; the next crash then names one request only.
 */
import {randomUUID} from 'node:crypto';
import {waitMs} from '../protocol/backoff.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {CrashRecord, CrashTable} from '../state/crash-table.js';

/** Connections lost within this time were lost in one crash. */
const CRASH_WINDOW_MS = 30;
/** How long a single loss waits for the worker to refuse connections. */
const REFUSAL_LIMIT_MS = 3000;
/** Longest wait for other nodes to take a report. */
const SPREAD_LIMIT_MS = 100;
/** Lost connections that show a crash without any refusal. */
const CRASH_LOSSES = 2;

/** Tells other nodes of crashes; the transport implements it. */
export type SpreadCrashes = (records: CrashRecord[]) => Promise<void>;

/** What is needed to know of a request. */
export interface CrashRequest {
  readonly service: string;
  readonly fingerprint: string;
  readonly deadline: number;
}

/** Quarantine of one node. */
export class CrashQuarantine {
  constructor(
    readonly table: CrashTable,
    private readonly spreadCrashes: SpreadCrashes = async () => {},
  ) {}

  /** @throws RefusalError when a request is quarantined. */
  check(fingerprint: string): void {
    if (this.table.isQuarantined(fingerprint)) {
      throw new RefusalError(Reason.QUARANTINED);
    }
  }

  /** Notes that a worker survived a request. */
  recordAnswer(fingerprint: string): void {
    if (!this.table.isSuspect(fingerprint)) return;
    const records = this.table.recordAnswer(fingerprint);
    void this.spreadCrashes(records).catch(() => {});
  }

  /** Records a crash; resolves when others know of it or take too long. */
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
      this.spreadCrashes([record]).catch(() => {}),
      waitMs(SPREAD_LIMIT_MS),
    ]);
  }
}

/** A request's leave to run beside those that run already. */
export interface CrashRun {
  readonly fingerprint: string;
  /** Whether it was in a crash already and so runs apart from others such. */
  readonly isSuspect: boolean;
  /** Ends the run; later calls have no effect. */
  end(): void;
}

/** Losses that may belong to one crash. */
interface LossGroup {
  readonly at: number;
  readonly fingerprints: Set<string>;
  readonly suspects: Set<string>;
  losses: number;
  /** Whether the time for more losses of the same crash is over. */
  isClosed: boolean;
  /** Settled when the losses are known to be a crash or not. */
  readonly settled: Promise<void>;
}

/** Why a suspect that waited goes on. */
type TurnOutcome = 'its turn' | 'cleared';

interface WaitingSuspect {
  readonly fingerprint: string;
  start(outcome: TurnOutcome): void;
}

/** Watches one worker for crashes and runs suspects one at a time. */
export class CrashWatch {
  private group: LossGroup | undefined;
  private refusedAt = -Infinity;
  private isSuspectRunning = false;
  private readonly turns: WaitingSuspect[] = [];

  constructor(
    private readonly service: string,
    private readonly quarantine: CrashQuarantine,
    /** Looks whether the worker accepts connections, if the budget allows. */
    private readonly probeWorker: () => Promise<void>,
  ) {}

  /** Whether a loss waits to be explained by the worker's state. */
  hasOpenLoss(): boolean {
    const {group} = this;
    if (!group) return false;
    return performance.now() - group.at < REFUSAL_LIMIT_MS;
  }

  /**
   * Waits until a request may run beside those that run already: at once
   * unless it is a suspect.
   *
   * @throws RefusalError when it is quarantined or its turn comes too late.
   */
  async startRun(request: CrashRequest, limitMs: number): Promise<CrashRun> {
    const {fingerprint} = request;
    const {table} = this.quarantine;
    this.quarantine.check(fingerprint);
    if (!table.isSuspect(fingerprint)) return createFreeRun(fingerprint);
    if (this.isSuspectRunning) {
      const outcome = await this.waitTurn(request, limitMs);
      if (outcome === 'cleared') return createFreeRun(fingerprint);
    }
    this.isSuspectRunning = true;
    const run = this.createRun(fingerprint);
    try {
      this.quarantine.check(fingerprint);
    } catch (error) {
      run.end();
      throw error;
    }
    return run;
  }

  /** Takes note of an answer, which clears all requests that are equal. */
  recordAnswer(run: CrashRun): void {
    this.quarantine.recordAnswer(run.fingerprint);
    this.startCleared();
  }

  /** What is no suspect any more would wait its turn for nothing. */
  private startCleared(): void {
    const {table} = this.quarantine;
    const cleared = this.turns.filter(
      ({fingerprint}) => !table.isSuspect(fingerprint),
    );
    for (const waiting of cleared) {
      this.turns.splice(this.turns.indexOf(waiting), 1);
      waiting.start('cleared');
    }
  }

  /**
   * Takes note of a lost connection; resolves when it is known whether that
   * was a crash, as far as can be known soon.
   */
  async recordLoss(run: CrashRun, isCounted: boolean): Promise<void> {
    const group = this.findGroup();
    group.fingerprints.add(run.fingerprint);
    if (run.isSuspect) group.suspects.add(run.fingerprint);
    if (isCounted) group.losses += 1;
    await group.settled;
  }

  /** Takes note that the worker refuses connections. */
  async recordRefusal(): Promise<void> {
    this.refusedAt = performance.now();
    const {group} = this;
    if (!group || !this.hasOpenLoss()) return;
    // More losses of the same crash may still come.
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
    if (isRefusing || group.losses >= CRASH_LOSSES) {
      await this.recordCrash(group);
      return;
    }
    await Promise.race([this.probeWorker(), waitMs(SPREAD_LIMIT_MS)]);
  }

  private async recordCrash(group: LossGroup): Promise<void> {
    if (group !== this.group) return;
    this.group = undefined;
    await this.quarantine.recordCrash(
      this.service,
      [...group.fingerprints],
      [...group.suspects],
    );
  }

  private createRun(fingerprint: string): CrashRun {
    let isEnded = false;
    return {
      fingerprint,
      isSuspect: true,
      end: () => {
        if (!isEnded) this.endTurn();
        isEnded = true;
      },
    };
  }

  private waitTurn(
    {fingerprint, deadline}: CrashRequest,
    limitMs: number,
  ): Promise<TurnOutcome> {
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
        this.turns.splice(this.turns.indexOf(waiting), 1);
        reject(new RefusalError(Reason.QUEUE_TIMEOUT));
      };
      const timer = setTimeout(expire, Math.min(limitMs, remainingMs));
      this.turns.push(waiting);
    });
  }

  private endTurn(): void {
    const next = this.turns.shift();
    if (next) next.start('its turn');
    else this.isSuspectRunning = false;
  }
}

function createFreeRun(fingerprint: string): CrashRun {
  return {fingerprint, isSuspect: false, end: () => {}};
}
