/**
 * Moves that operators order through the platform's store. Each node reads the
 * order and starts at the trial share on its own. Later steps spread from node
 * to node, and the higher step number wins. Only the outcome needs agreement:
 * the first one written to the store is final. A store that was restored from an
 * older copy may have lost it: the nodes that know it write it again, before any
 * of them writes another. Each node keeps times on its own monotonic clock, since
 * the wall clocks of hosts jump.
 */
import {waitMs} from '../protocol/backoff.js';
import type {MoveUpdate} from '../protocol/peer-messages.js';
import type {LogRecord} from '../protocol/records.js';
import type {Move} from '../state/replicated-state.js';
import type {StateStore} from '../state/state-store.js';
import type {WorkerTable} from '../state/worker-table.js';
import {StoreUnavailableError} from './keyed-follower.js';
import type {MoveOrder} from './desired-state.js';
import {RecordOutcome} from '../state/replicated-state.js';

/** Stage of a move, as reported to operators. */
export type MoveStage = Move['stage'];

/** Stages of moves in the platform's store, where operators read them. */
export interface MoveOutcomes {
  /**
   * Reads the stage written for an order; undefined when there is none.
   *
   * @throws StoreUnavailableError
   */
  read(order: MoveOrder): Promise<MoveStage | undefined>;
  /**
   * Writes a stage unless an outcome has been written already.
   *
   * @returns the stage that the store holds afterwards.
   * @throws StoreUnavailableError
   */
  write(order: MoveOrder, stage: MoveStage): Promise<MoveStage>;
}

/** Dependencies of the ordered moves of a node. */
export interface OrderedMovesOptions {
  readonly state: StateStore;
  readonly workers: WorkerTable;
  readonly outcomes: MoveOutcomes;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  readonly random: () => number;
  /** Sends a change to all nodes. */
  readonly push: () => void;
  /** Called when a move has another id, because its order was written again. */
  readonly handleNewId: (move: Move, previousId: string) => void;
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

const STAGE_RANKS: Readonly<Record<MoveStage, number>> = {
  running: 0,
  done: 1,
  'taken-back': 2,
};

/** Time over which nodes write stages that a restored store has lost. */
const REWRITE_SPREAD_MS = 2000;
/** Time after a restore during which only known outcomes are written. */
const REWRITE_TIME_MS = 2 * REWRITE_SPREAD_MS;
/** Attempts to write a stage again; other nodes know it, too. */
const MAX_REWRITE_ATTEMPTS = 10;

/** Moves that operators ordered, as one node knows them. */
export class OrderedMoves {
  private readonly orders = new Map<string, MoveOrder>();
  /** Version of each service that serves while no move runs. */
  private readonly baseVersions = new Map<string, string>();
  /** Time by service until which lost outcomes are written again. */
  private readonly rewriteUntil = new Map<string, number>();

  constructor(private readonly options: OrderedMovesOptions) {}

  /** Starts a move for each new order in the store. */
  applyOrders(orders: readonly MoveOrder[]): void {
    for (const order of orders) {
      const known = this.orders.get(order.service);
      this.orders.set(order.service, order);
      if (known && isWrittenAgain(known, order)) this.recoverMove(order);
      else if (known?.moveId !== order.moveId) {
        this.startMove(order);
        void this.readOutcome(order);
      }
    }
  }

  /**
   * Updates the base version of a service from its workers. Without an order
   * the version seen first serves; a newer version waits for an order.
   */
  updateVersions(service: string): void {
    const move = this.options.state.findMove(service);
    if (move?.fromVersion === '') this.refreshFromVersion(service, move);
    if (move || this.baseVersions.has(service)) return;
    const counts = this.countVersions(service);
    const [base] = [...counts].sort(([, one], [, other]) => other - one);
    if (base) this.baseVersions.set(service, base[0]);
  }

  /** Returns the version that serves while no move runs. */
  findBaseVersion(service: string): string | undefined {
    return this.baseVersions.get(service);
  }

  /** Lists the state of each move, to send to another node. */
  listMoveUpdates(): MoveUpdate[] {
    const now = this.options.now();
    return [...this.orders.keys()].flatMap(service => {
      const move = this.options.state.findMove(service);
      if (!move) return [];
      const {startedAtMs, doneByMs, ...rest} = move;
      const elapsedMs = now - startedAtMs;
      return [{service, elapsedMs, remainingMs: doneByMs - now, ...rest}];
    });
  }

  /** Applies what another node knows of moves beyond this node's state. */
  applyMoveUpdates(updates: readonly MoveUpdate[]): void {
    for (const {service, elapsedMs, remainingMs, ...received} of updates) {
      const known = this.options.state.findMove(service);
      if (!known || known.moveId !== received.moveId) continue;
      const isEnded = STAGE_RANKS[received.stage] > STAGE_RANKS[known.stage];
      const isAhead =
        known.stage === 'running' && received.number > known.number;
      const isOlder = this.options.now() - known.startedAtMs + 100 < elapsedMs;
      if (!isEnded && !isAhead && !isOlder) continue;
      const now = this.options.now();
      const ahead = isEnded || isAhead ? received : known;
      this.setMove(service, {
        ...ahead,
        fromVersion: known.fromVersion || received.fromVersion,
        startedAtMs: isOlder ? now - elapsedMs : known.startedAtMs,
        doneByMs: isOlder ? now + remainingMs : known.doneByMs,
      });
    }
  }

  /** Applies a step or an end of a move and sends it to the other nodes. */
  async appendRecord(record: LogRecord): Promise<RecordOutcome> {
    if (record.kind !== 'move-step' && record.kind !== 'move-end') {
      return RecordOutcome.SUPERSEDED;
    }
    const {service, moveId, evidence, buildsOn} = record;
    const move = this.options.state.findMove(service);
    const order = this.orders.get(service);
    const isCurrent =
      move?.moveId === moveId &&
      move.stage === 'running' &&
      move.number === buildsOn;
    if (!isCurrent || !order) return RecordOutcome.SUPERSEDED;
    const number = move.number + 1;
    if (record.kind === 'move-step') {
      const {sharePercent} = record;
      this.setMove(service, {...move, sharePercent, evidence, number});
    } else {
      const stage = await this.writeEnd(order, record.outcome);
      const current = this.options.state.findMove(service);
      if (current?.moveId !== moveId) return RecordOutcome.SUPERSEDED;
      this.setMove(service, {...move, stage, evidence, number});
    }
    this.options.push();
    return RecordOutcome.ACCEPTED;
  }

  /** Writes to the store that a move is running. */
  async writeStart(service: string): Promise<void> {
    const order = this.orders.get(service);
    if (order) await this.options.outcomes.write(order, 'running');
  }

  private async writeEnd(
    order: MoveOrder,
    outcome: 'done' | 'taken-back',
  ): Promise<MoveStage> {
    const {service, toVersion} = order;
    if (this.options.now() < (this.rewriteUntil.get(service) ?? -Infinity)) {
      throw new StoreUnavailableError('known outcomes are written again first');
    }
    const stage = await this.options.outcomes.write(order, outcome);
    this.options.report('move ended', {service, toVersion, stage});
    return stage;
  }

  /** Goes on with a move whose order is the same in a restored store. */
  private recoverMove(order: MoveOrder): void {
    const {service, moveId, era} = order;
    const {state, now, handleNewId, report} = this.options;
    const move = state.findMove(service);
    if (!move) return;
    this.rewriteUntil.set(service, now() + REWRITE_TIME_MS);
    const {moveId: previousId, stage} = move;
    if (previousId !== moveId) {
      const renamed = {...move, moveId};
      this.setMove(service, renamed);
      handleNewId(renamed, previousId);
    }
    report('move goes on in a restored store', {
      service,
      moveId,
      previousId,
      stage,
      era,
    });
    void this.writeAgain(order);
  }

  /** Writes the stage of a move again unless the restored store has it. */
  private async writeAgain(order: MoveOrder): Promise<void> {
    const {random, outcomes, state} = this.options;
    for (let attempts = 0; attempts < MAX_REWRITE_ATTEMPTS; attempts++) {
      await waitMs(random() * REWRITE_SPREAD_MS);
      const move = state.findMove(order.service);
      const current = this.orders.get(order.service);
      const isCurrent =
        current?.moveId === order.moveId && current.era === order.era;
      if (!isCurrent || !move) return;
      try {
        this.applyOutcome(order, await outcomes.write(order, move.stage));
        return;
      } catch (error) {
        this.reportUnreadOutcome(order, error);
      }
    }
  }

  private startMove(order: MoveOrder): void {
    const {service, toVersion, moveId, durationMs} = order;
    const now = this.options.now();
    this.setMove(service, {
      moveId,
      fromVersion: this.findFromVersion(service, toVersion) ?? '',
      toVersion,
      startedAtMs: now,
      doneByMs: now + durationMs,
      sharePercent: 0,
      stage: 'running',
      evidence: '',
      number: 1,
    });
    this.options.report('move ordered', {service, toVersion, moveId});
  }

  /** Applies an outcome that was written before this node started. */
  private async readOutcome(order: MoveOrder): Promise<void> {
    try {
      const stage = await this.options.outcomes.read(order);
      if (stage) this.applyOutcome(order, stage);
    } catch (error) {
      this.reportUnreadOutcome(order, error);
    }
  }

  /** Applies a stage that the store holds, if it is beyond the known one. */
  private applyOutcome({service, moveId}: MoveOrder, stage: MoveStage): void {
    const move = this.options.state.findMove(service);
    if (move?.moveId !== moveId) return;
    const areEnded = ![stage, move.stage].includes('running');
    if (areEnded && stage !== move.stage) {
      const {stage: known} = move;
      this.options.report('move outcome differs', {moveId, known, stage});
    } else if (STAGE_RANKS[stage] > STAGE_RANKS[move.stage]) {
      this.setMove(service, {...move, stage, number: move.number + 1});
    }
  }

  /** Reports an unreachable store; any other error is a bug and is thrown. */
  private reportUnreadOutcome({moveId}: MoveOrder, error: unknown): void {
    if (!(error instanceof StoreUnavailableError)) throw error;
    const {message: detail} = error;
    this.options.report('move outcome not read', {moveId, detail});
  }

  private refreshFromVersion(service: string, move: Move): void {
    const fromVersion = this.findFromVersion(service, move.toVersion);
    if (fromVersion) this.setMove(service, {...move, fromVersion});
  }

  private findFromVersion(
    service: string,
    toVersion: string,
  ): string | undefined {
    const base = this.baseVersions.get(service);
    if (base !== undefined && base !== toVersion) return base;
    const counts = this.countVersions(service);
    counts.delete(toVersion);
    const [mostCommon] = [...counts].sort(([, one], [, other]) => other - one);
    return mostCommon?.[0];
  }

  private countVersions(service: string): Map<string, number> {
    const counts = new Map<string, number>();
    for (const {version} of this.options.workers.listWorkers(service)) {
      counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    return counts;
  }

  private setMove(service: string, move: Move): void {
    this.options.state.setMove(service, move);
    if (move.stage === 'done') this.baseVersions.set(service, move.toVersion);
    else if (move.fromVersion !== '') {
      this.baseVersions.set(service, move.fromVersion);
    }
  }
}

/** Whether a restored store has the same order, perhaps at another offset. */
function isWrittenAgain(known: MoveOrder, order: MoveOrder): boolean {
  return (
    order.era > known.era &&
    order.toVersion === known.toVersion &&
    order.durationMs === known.durationMs
  );
}
