/**
 * Moves of services between versions, as one node takes part in them. Every
 * node derives its share from the folded state, so there is no leader. Nodes
 * beside a worker of the new version gather evidence and append the next step
 * by compare-and-set. Badness needs no log: the gates of the bad version
 * refuse it from then on, so that entries that have not heard do no harm.
 */
import {waitMs} from '../protocol/backoff.js';
import type {Profile} from '../protocol/configuration.js';
import type {LogRecord} from '../protocol/records.js';
import type {Move} from '../state/folded-state.js';
import type {StateStore} from '../state/state-store.js';
import type {RouteFigures, VersionEvidence} from '../state/version-evidence.js';
import type {WorkerRow, WorkerTable} from '../state/worker-table.js';
import {pickRandom} from './member-order.js';
import type {JudgedVersion} from './move-judgement.js';
import {checkVersion, Judgement, mergeFigures} from './move-judgement.js';
import type {AppendRecord} from './record-publisher.js';

/** What another gate saw of its worker. */
export interface PeerEvidence {
  readonly version: string;
  readonly routes: readonly RouteFigures[];
}

/** Calls to other nodes; the transport implements them. */
export interface MoveCalls {
  readEvidence(
    peerAddress: string,
    service: string,
    moveId: string,
  ): Promise<PeerEvidence>;
  pushBadness(peerAddress: string, bad: BadMove): Promise<void>;
}

/** A move whose new version was found bad. */
export interface BadMove {
  readonly service: string;
  readonly moveId: string;
  readonly evidence: string;
}

/** What a node's part in moves works with. */
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
  readonly report: (text: string, bad: BadMove) => void;
  /** Versions of the workers on this host, by service. */
  readonly findLocalVersion: (service: string) => string | undefined;
  /** Clock that moves' times are on; the host's without. */
  readonly now?: () => number;
  /** Version that serves while no move runs; the configured one without. */
  readonly findBaseVersion?: (service: string) => string | undefined;
  /**
   * Whether only the first of the nodes beside a new version judges it. That
   * is cheap where a lost step costs little because it is told, not logged.
   */
  readonly hasOneJudge?: boolean;
  /** Called when this node judges a move for the first time. */
  readonly handleStart?: (service: string) => Promise<void>;
}

const CHECK_INTERVAL_MS = 500;
/**
 * Gates of each version whose evidence is read at a check. On trial each gate
 * sees few requests, so that all of an ordinary service are asked.
 */
const ASKED_GATES = 24;
/** Shares of the new version in percent after the trial. */
const SHARES_PERCENT = [10, 25, 50, 100];
/** Part of a move's time that its steps are spread over at least. */
const PACED_PART = 0.5;
/** Part of a move's time after which a sound version is taken as good. */
const LATE_PART = 0.75;
/** Time after a move's end at which nodes without the new version end it. */
const OVERDUE_MS = 5000;
/** Peers that a first report of badness goes to; each passes it on once. */
const BADNESS_FANOUT = 16;
const AUTHOR_WAIT_MS = 250;

/** A node's part in the moves of all services. */
export class VersionMoves {
  /** Ids of moves whose new version was found bad. */
  private readonly badMoves = new Map<string, BadMove>();
  private readonly seenNumbers = new Map<string, number>();
  private readonly steppedAt = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  private readonly startedMoves = new Set<string>();

  constructor(private readonly options: VersionMovesOptions) {}

  /** Starts to check the running moves. */
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
   * The workers of a service that one attempt may go to, of those that could
   * take it. While a move runs either version may stand in for the other; once
   * it has ended the other version serves only when none of the right is left.
   */
  selectWorkers(service: string, rows: readonly WorkerRow[]): WorkerRow[] {
    const {state, workers} = this.options;
    const move = state.findMove(service);
    const wanted = move
      ? this.chooseVersion(service, move)
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

  /** Whether a gate may still run work of a version. */
  isAllowed(service: string, version: string): boolean {
    const move = this.options.state.findMove(service);
    if (!move || version !== move.toVersion) return true;
    return move.stage !== 'taken-back' && !this.badMoves.has(move.moveId);
  }

  /** Takes a report that a version is bad; resolves when it is passed on. */
  async handleBadness(bad: BadMove): Promise<void> {
    if (this.badMoves.has(bad.moveId)) return;
    this.badMoves.set(bad.moveId, bad);
    this.options.count('moves.found-bad');
    this.options.report('version found bad', bad);
    await this.pushBadness(bad);
  }

  private chooseVersion(service: string, move: Move): string {
    if (move.stage === 'done') return move.toVersion;
    if (move.stage === 'taken-back' || this.badMoves.has(move.moveId)) {
      return move.fromVersion;
    }
    const percent = this.options.random() * 100;
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
    const isBeside = this.options.findLocalVersion(service) === move.toVersion;
    if (isBeside && this.isJudge(service, move)) {
      await this.markStart(service, move);
      return this.checkEvidence(service, move);
    }
    if (this.readClock() > move.doneByMs + OVERDUE_MS) {
      const evidence = 'not proved good by its time';
      return this.endMove(service, move, 'taken-back', evidence);
    }
  }

  private readClock(): number {
    return this.options.now?.() ?? Date.now();
  }

  /** The first by id of the nodes that answer, where only one judges. */
  private isJudge(service: string, move: Move): boolean {
    const {hasOneJudge, workers, nodeId} = this.options;
    if (!hasOneJudge) return true;
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
   * Evidence about the new version counts from the newest step on; the old
   * one's is kept through the move, since in the end it gets no traffic.
   */
  private recordStep(service: string, move: Move): void {
    if (this.seenNumbers.get(service) === move.number) return;
    this.seenNumbers.set(service, move.number);
    this.steppedAt.set(service, this.readClock());
    const isStart = move.sharePercent === 0;
    const isNew = this.options.findLocalVersion(service) === move.toVersion;
    if (isStart || isNew) this.options.evidence.clear(service);
  }

  private async checkEvidence(service: string, move: Move): Promise<void> {
    const settings = this.findSettings(service);
    if (!settings) return;
    const [seen, old] = await Promise.all([
      this.readEvidence(service, move, move.toVersion),
      this.readEvidence(service, move, move.fromVersion),
    ]);
    const judged = checkVersion(seen, old, settings);
    if (judged.judgement === Judgement.BAD) {
      await this.handleBadness({
        service,
        moveId: move.moveId,
        evidence: judged.evidence,
      });
      return;
    }
    await this.schedule(service, move, judged);
  }

  private async schedule(
    service: string,
    move: Move,
    judged: JudgedVersion,
  ): Promise<void> {
    const isGood =
      judged.judgement === Judgement.GOOD ||
      (judged.isSound && this.isLate(move));
    if (!isGood && this.readClock() > move.doneByMs) {
      const evidence = `not proved good by its time: ${judged.evidence}`;
      return this.endMove(service, move, 'taken-back', evidence);
    }
    if (!isGood || !this.isPaced(service, move)) return;
    if (judged.isSound && this.isLate(move)) {
      return this.endMove(service, move, 'done', judged.evidence);
    }
    const next = SHARES_PERCENT.find(share => share > move.sharePercent);
    if (next === undefined) {
      return this.endMove(service, move, 'done', judged.evidence);
    }
    await this.append({
      ...this.createBase(move),
      kind: 'move-step',
      service,
      moveId: move.moveId,
      sharePercent: next,
      evidence: judged.evidence,
    });
  }

  /** Whether no time is left to prove each route by itself. */
  private isLate(move: Move): boolean {
    const totalMs = move.doneByMs - move.startedAtMs;
    return this.readClock() > move.startedAtMs + totalMs * LATE_PART;
  }

  /** Steps are spread over a part of the time, so that lateness shows. */
  private isPaced(service: string, move: Move): boolean {
    const totalMs = move.doneByMs - move.startedAtMs;
    const stepMs = (totalMs * PACED_PART) / (SHARES_PERCENT.length + 1);
    return this.readClock() - (this.steppedAt.get(service) ?? 0) >= stepMs;
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
    const asked = pickRandom(peers, ASKED_GATES, this.options.random);
    const answers = await Promise.allSettled(
      asked.map(peer => calls.readEvidence(peer, service, move.moveId)),
    );
    for (const answer of answers) {
      if (answer.status !== 'fulfilled') continue;
      if (answer.value.version === version)
        parts.push([...answer.value.routes]);
    }
    return mergeFigures(parts);
  }

  private async pushBadness(bad: BadMove): Promise<void> {
    const {calls, workers, peerAddress} = this.options;
    const move = this.options.state.findMove(bad.service);
    const rows = workers.listWorkers(bad.service);
    // The gates of the bad version first: they stop it for everybody.
    const gates = rows
      .filter(row => row.version === move?.toVersion)
      .map(row => row.target.peerAddress);
    const others = workers.listNodes().map(node => node.peerAddress);
    const peers = new Set([
      ...gates,
      ...pickRandom(others, BADNESS_FANOUT, this.options.random),
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
    // Usually one node's record is folded by all before others wake up.
    await waitMs(this.options.random() * AUTHOR_WAIT_MS);
    const current = this.options.state.findMove(service);
    if (current?.number !== move.number) return;
    await this.append({
      ...this.createBase(move),
      kind: 'move-end',
      service,
      moveId: move.moveId,
      outcome,
      evidence,
    });
  }

  private createBase(move: Move) {
    return {
      id: this.options.createId(),
      author: this.options.nodeId,
      writtenAtMs: Date.now(),
      buildsOn: move.number,
    };
  }

  /** Appends; with the log down the share holds and the next check tries. */
  private async append(record: LogRecord): Promise<void> {
    try {
      const outcome = await this.options.appendRecord(record);
      this.options.count(`moves.${record.kind}-${outcome}`);
    } catch {
      this.options.count('moves.append-failed');
    }
  }
}
