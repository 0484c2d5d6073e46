/**
 * One node's part in moving services between versions. Each node derives the
 * traffic share of the new version from the replicated state, so there is no
 * leader. Nodes with a local worker of the new version gather evidence and
 * append the next step by compare-and-set. A report of a bad version needs no
 * log: the gates in front of that version refuse its work from then on, even
 * to entries that have not received the report.
 */
import {waitMs} from '../protocol/backoff.js';
import type {Profile} from '../protocol/configuration.js';
import type {LogRecord} from '../protocol/records.js';
import type {Move} from '../state/replicated-state.js';
import type {StateStore} from '../state/state-store.js';
import type {RouteFigures, VersionEvidence} from '../state/version-evidence.js';
import type {WorkerRow, WorkerTable} from '../state/worker-table.js';
import {pickRandom} from './member-order.js';
import type {VersionEvaluation} from './version-evaluation.js';
import {
  compareVersions,
  EvaluationResult,
  mergeFigures,
} from './version-evaluation.js';
import type {AppendRecord} from './record-publisher.js';

/** What another gate observed of its worker's version. */
export interface PeerEvidence {
  readonly version: string;
  readonly routes: readonly RouteFigures[];
}

/** Calls to other nodes, implemented by the transport. */
export interface MoveCalls {
  readEvidence(
    peerAddress: string,
    service: string,
    moveId: string,
  ): Promise<PeerEvidence>;
  pushBadness(peerAddress: string, bad: BadVersionReport): Promise<void>;
}

/** Report that the new version of a move is bad. */
export interface BadVersionReport {
  readonly service: string;
  readonly moveId: string;
  readonly evidence: string;
}

/** Dependencies and settings of a node's part in moves. */
export interface VersionMovesOptions {
  readonly nodeId: string;
  readonly peerAddress: string;
  readonly state: StateStore;
  readonly workers: WorkerTable;
  readonly evidence: VersionEvidence;
  readonly calls: MoveCalls;
  readonly appendRecord: AppendRecord;
  readonly createId: () => string;
  readonly random: () => number;
  readonly count: (name: string) => void;
  readonly report: (text: string, bad: BadVersionReport) => void;
  /** Returns the version of a service's worker on this host. */
  readonly findLocalVersion: (service: string) => string | undefined;
  /** Clock of the moves' times in milliseconds; by default `Date.now`. */
  readonly now?: () => number;
  /**
   * Returns the version that serves while no move runs; by default the
   * configured one.
   */
  readonly findBaseVersion?: (service: string) => string | undefined;
  /**
   * Whether only the first of the nodes with a new version evaluates it. This
   * saves work where a lost step costs little, because steps are sent from node
   * to node instead of logged.
   */
  readonly hasSingleEvaluator?: boolean;
  /** Called before this node evaluates a move for the first time. */
  readonly handleStart?: (service: string) => Promise<void>;
}

const CHECK_INTERVAL_MS = 500;
/**
 * Maximum number of gates of each version whose evidence a check reads. During
 * the trial each gate sees few requests, so this is enough to query all gates
 * of a service of usual size.
 */
const MAX_QUERIED_GATES = 24;
/** Traffic shares of the new version after the trial. */
const SHARE_STEPS_PERCENT = [10, 25, 50, 100];
/** Fraction of a move's time over which its steps are spread at least. */
const PACED_TIME_FRACTION = 0.5;
/**
 * Fraction of a move's time after which enough answers of all routes together
 * suffice.
 */
const LATE_TIME_FRACTION = 0.75;
/** Time after a move's deadline until nodes without the new version end it. */
const OVERDUE_GRACE_MS = 5000;
/** Number of random peers to which each node forwards a report once. */
const BAD_VERSION_FANOUT = 16;
/** Bound of the random delay before a node appends the end of a move. */
const MAX_APPEND_DELAY_MS = 250;

/** A node's part in the moves of all services. */
export class VersionMoves {
  /** Moves whose new version was found bad, by move id. */
  private readonly badMoves = new Map<string, BadVersionReport>();
  private readonly lastSeenSteps = new Map<
    string,
    Pick<Move, 'moveId' | 'number'>
  >();
  private readonly stepStartedAt = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  private readonly startedMoves = new Set<string>();

  constructor(private readonly options: VersionMovesOptions) {}

  /** Starts checking the running moves periodically. */
  start(): void {
    const run = async (): Promise<void> => {
      for (const service of Object.keys(this.options.state.current.moves)) {
        await this.checkMove(service);
      }
      if (this.isStopped) return;
      const pauseMs = CHECK_INTERVAL_MS * (0.5 + this.options.random());
      this.timer = setTimeout(() => void run(), pauseMs);
    };
    this.timer = setTimeout(() => void run(), CHECK_INTERVAL_MS);
  }

  /** Stops checking. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /**
   * Selects the workers to which one attempt may go, of the given candidates.
   * While a move runs, either version may replace the other. After its end the
   * other version serves only when no worker of the right one is left.
   */
  selectWorkers(
    service: string,
    rows: readonly WorkerRow[],
    random = this.options.random,
  ): WorkerRow[] {
    const {state, workers} = this.options;
    const move = state.findMove(service);
    const wanted = move
      ? this.chooseVersion(service, move, random)
      : (this.options.findBaseVersion?.(service) ??
        state.findServiceVersion(service));
    if (wanted === undefined) return [...rows];
    const isWanted = (row: WorkerRow): boolean => row.version === wanted;
    const matching = rows.filter(isWanted);
    if (matching.length > 0 || !move) return matching;
    const isReplaceable =
      move.stage === 'running' || !workers.listWorkers(service).some(isWanted);
    if (!isReplaceable) return [];
    return rows.filter(row => this.isAllowed(service, row.version));
  }

  /** Whether a gate may run requests on a version. */
  isAllowed(service: string, version: string): boolean {
    const move = this.options.state.findMove(service);
    if (!move || version !== move.toVersion) return true;
    return move.stage !== 'taken-back' && !this.badMoves.has(move.moveId);
  }

  /** Records a report of a bad version; resolves when it was forwarded. */
  async handleBadVersion(bad: BadVersionReport): Promise<void> {
    if (this.badMoves.has(bad.moveId)) return;
    this.badMoves.set(bad.moveId, bad);
    this.options.count('moves.found-bad');
    this.options.report('version found bad', bad);
    await this.pushBadness(bad);
  }

  /** Applies what was found of a move to the id that it has from now on. */
  copyBadVersion(previousId: string, moveId: string): void {
    const bad = this.badMoves.get(previousId);
    if (bad) this.badMoves.set(moveId, {...bad, moveId});
    for (const [service, step] of this.lastSeenSteps) {
      if (step.moveId !== previousId) continue;
      this.lastSeenSteps.set(service, {...step, moveId});
    }
  }

  private chooseVersion(
    service: string,
    move: Move,
    random: () => number,
  ): string {
    if (move.stage === 'done') return move.toVersion;
    if (move.stage === 'taken-back' || this.badMoves.has(move.moveId)) {
      return move.fromVersion;
    }
    const percent = random() * 100;
    return percent < this.computeShare(service, move)
      ? move.toVersion
      : move.fromVersion;
  }

  private computeShare(service: string, move: Move): number {
    const trial = this.findSettings(service)?.trialPercent ?? 0;
    return Math.max(trial, move.sharePercent);
  }

  private findSettings(service: string): Profile['moves'] | undefined {
    return this.options.state.findProfile(service)?.moves;
  }

  private async checkMove(service: string): Promise<void> {
    const move = this.options.state.findMove(service);
    if (move?.stage !== 'running') return;
    this.recordStep(service, move);
    const bad = this.badMoves.get(move.moveId);
    if (bad) return this.endMove(service, move, 'taken-back', bad.evidence);
    const isNewVersionLocal =
      this.options.findLocalVersion(service) === move.toVersion;
    if (isNewVersionLocal && this.isEvaluator(service, move)) {
      await this.markStart(service, move);
      return this.checkEvidence(service, move);
    }
    if (this.readClock() > move.doneByMs + OVERDUE_GRACE_MS) {
      const evidence = 'not proved good by its time';
      return this.endMove(service, move, 'taken-back', evidence);
    }
  }

  private readClock(): number {
    return this.options.now?.() ?? Date.now();
  }

  /**
   * Whether this node evaluates a move. Where a single node does, it is the
   * first by id of the responsive nodes with the new version.
   */
  private isEvaluator(service: string, move: Move): boolean {
    const {hasSingleEvaluator: isSingle, workers, nodeId} = this.options;
    if (!isSingle) return true;
    return !workers
      .listWorkers(service)
      .some(
        ({version, isSuspect, target}) =>
          version === move.toVersion && !isSuspect && target.nodeId < nodeId,
      );
  }

  private async markStart(service: string, move: Move): Promise<void> {
    if (this.startedMoves.has(move.moveId)) return;
    this.startedMoves.add(move.moveId);
    try {
      await this.options.handleStart?.(service);
    } catch {
      this.options.count('moves.start-not-told');
    }
  }

  /**
   * Restarts the evidence at each step. Evidence about the new version counts
   * from the newest step on. That of the old version is kept from the start of
   * the move, since towards the end the version gets no traffic.
   */
  private recordStep(service: string, move: Move): void {
    const {moveId, number} = move;
    const seen = this.lastSeenSteps.get(service);
    if (seen?.moveId === moveId && seen.number === number) return;
    this.lastSeenSteps.set(service, {moveId, number});
    this.stepStartedAt.set(service, this.readClock());
    const isStart = move.sharePercent === 0;
    const isNew = this.options.findLocalVersion(service) === move.toVersion;
    if (isStart || isNew) this.options.evidence.clear(service);
  }

  private async checkEvidence(service: string, move: Move): Promise<void> {
    const settings = this.findSettings(service);
    if (!settings) return;
    const [newFigures, oldFigures] = await Promise.all([
      this.readEvidence(service, move, move.toVersion),
      this.readEvidence(service, move, move.fromVersion),
    ]);
    const evaluation = compareVersions(newFigures, oldFigures, settings);
    if (evaluation.result === EvaluationResult.BAD) {
      await this.handleBadVersion({
        service,
        moveId: move.moveId,
        evidence: evaluation.evidence,
      });
      return;
    }
    await this.updateMove(service, move, evaluation);
  }

  private async updateMove(
    service: string,
    move: Move,
    evaluation: VersionEvaluation,
  ): Promise<void> {
    const isGood =
      evaluation.result === EvaluationResult.GOOD ||
      (evaluation.hasEnoughAnswers && this.isLate(move));
    if (!isGood && this.readClock() > move.doneByMs) {
      const evidence = `not proved good by its time: ${evaluation.evidence}`;
      return this.endMove(service, move, 'taken-back', evidence);
    }
    if (!isGood || !this.isStepDue(service, move)) return;
    if (evaluation.hasEnoughAnswers && this.isLate(move)) {
      return this.endMove(service, move, 'done', evaluation.evidence);
    }
    const next = SHARE_STEPS_PERCENT.find(share => share > move.sharePercent);
    if (next === undefined) {
      return this.endMove(service, move, 'done', evaluation.evidence);
    }
    await this.append({
      ...this.createRecordBase(move),
      kind: 'move-step',
      service,
      moveId: move.moveId,
      sharePercent: next,
      evidence: evaluation.evidence,
    });
  }

  /** Whether too little time is left to prove each route separately. */
  private isLate(move: Move): boolean {
    const totalMs = move.doneByMs - move.startedAtMs;
    return this.readClock() > move.startedAtMs + totalMs * LATE_TIME_FRACTION;
  }

  /** Whether enough time passed since the last step to show late faults. */
  private isStepDue(service: string, move: Move): boolean {
    const totalMs = move.doneByMs - move.startedAtMs;
    const stepMs =
      (totalMs * PACED_TIME_FRACTION) / (SHARE_STEPS_PERCENT.length + 1);
    return this.readClock() - (this.stepStartedAt.get(service) ?? 0) >= stepMs;
  }

  private async readEvidence(
    service: string,
    move: Move,
    version: string,
  ): Promise<RouteFigures[]> {
    const {calls, evidence, peerAddress} = this.options;
    const own = evidence.read(service);
    const parts = own?.version === version ? [own.routes] : [];
    const peers = this.options.workers
      .listWorkers(service)
      .filter(row => row.version === version)
      .map(row => row.target.peerAddress)
      .filter(address => address !== peerAddress);
    const queriedPeers = pickRandom(
      peers,
      MAX_QUERIED_GATES,
      this.options.random,
    );
    const answers = await Promise.allSettled(
      queriedPeers.map(peer => calls.readEvidence(peer, service, move.moveId)),
    );
    for (const answer of answers) {
      if (answer.status !== 'fulfilled') continue;
      if (answer.value.version === version)
        parts.push([...answer.value.routes]);
    }
    return mergeFigures(parts);
  }

  private async pushBadness(bad: BadVersionReport): Promise<void> {
    const {calls, workers, peerAddress} = this.options;
    const move = this.options.state.findMove(bad.service);
    const rows = workers.listWorkers(bad.service);
    // All gates of the bad version: each refuses it for every entry.
    const gates = rows
      .filter(row => row.version === move?.toVersion)
      .map(row => row.target.peerAddress);
    const others = workers.listNodes().map(node => node.peerAddress);
    const peers = new Set([
      ...gates,
      ...pickRandom(others, BAD_VERSION_FANOUT, this.options.random),
    ]);
    peers.delete(peerAddress);
    await Promise.allSettled(
      [...peers].map(peer => calls.pushBadness(peer, bad)),
    );
  }

  private async endMove(
    service: string,
    move: Move,
    outcome: 'done' | 'taken-back',
    evidence: string,
  ): Promise<void> {
    // With random delays all nodes usually fold the first record before the
    // others would append theirs.
    await waitMs(this.options.random() * MAX_APPEND_DELAY_MS);
    const current = this.options.state.findMove(service);
    if (current?.number !== move.number) return;
    await this.append({
      ...this.createRecordBase(move),
      kind: 'move-end',
      service,
      moveId: move.moveId,
      outcome,
      evidence,
    });
  }

  private createRecordBase(move: Move) {
    return {
      id: this.options.createId(),
      author: this.options.nodeId,
      writtenAtMs: Date.now(),
      buildsOn: move.number,
    };
  }

  /** Appends a record; on failure the share stays and the next check retries. */
  private async append(record: LogRecord): Promise<void> {
    try {
      const outcome = await this.options.appendRecord(record);
      this.options.count(`moves.${record.kind}-${outcome}`);
    } catch {
      this.options.count('moves.append-failed');
    }
  }
}
