/**
 * Moves that operators order through the platform's store. All nodes read the
 * order and start at the trial share by themselves; a later step is told from
 * node to node, and the higher number holds. Only the outcome needs agreement:
 * it is written once, and what the store holds already goes before what a node
 * wanted to write. Times are kept on each node's own steady clock, since the
 * hosts' clocks jump.
 */
import type {MoveNews} from '../protocol/peer-messages.js';
import type {LogRecord} from '../protocol/records.js';
import type {Move} from '../state/folded-state.js';
import type {StateStore} from '../state/state-store.js';
import type {WorkerTable} from '../state/worker-table.js';
import {StoreUnavailableError} from './keyed-follower.js';
import type {MoveOrder} from './operator-view.js';
import {RecordOutcome} from '../state/folded-state.js';

/** How far a move has come, as the operators are told. */
export type MoveStage = Move['stage'];

/** Where operators read how their moves go. */
export interface MoveOutcomes {
  /**
   * Stage that is written for an order; undefined when there is none.
   *
   * @throws StoreUnavailableError
   */
  read(order: MoveOrder): Promise<MoveStage | undefined>;
  /**
   * Writes a stage unless the order has ended already.
   *
   * @returns the stage that holds then.
   * @throws StoreUnavailableError
   */
  write(order: MoveOrder, stage: MoveStage): Promise<MoveStage>;
}

/** What ordered moves work with. */
export interface OrderedMovesOptions {
  readonly state: StateStore;
  readonly workers: WorkerTable;
  readonly outcomes: MoveOutcomes;
  /** Steady time in milliseconds. */
  readonly now: () => number;
  /** Tells all nodes of a change. */
  readonly push: () => void;
  readonly report: (
    text: string,
    context: Readonly<Record<string, string | number>>,
  ) => void;
}

const STAGE_ORDER: Readonly<Record<MoveStage, number>> = {
  running: 0,
  done: 1,
  'taken-back': 2,
};

/** Moves by orders, as one node takes part in them. */
export class OrderedMoves {
  private readonly orders = new Map<string, MoveOrder>();
  /** Version of each service that serves while nothing else is ordered. */
  private readonly baseVersions = new Map<string, string>();

  constructor(private readonly options: OrderedMovesOptions) {}

  /** Takes over the orders that stand in the store. */
  applyOrders(orders: readonly MoveOrder[]): void {
    for (const order of orders) {
      const known = this.orders.get(order.service);
      if (known?.moveId === order.moveId) continue;
      this.orders.set(order.service, order);
      this.startMove(order);
      void this.readOutcome(order);
    }
  }

  /**
   * Learns which versions serve. Without an order the version that was there
   * first does, for a newer one waits for its order.
   */
  updateVersions(service: string): void {
    const move = this.options.state.findMove(service);
    if (move?.fromVersion === '') this.refreshFrom(service, move);
    if (move || this.baseVersions.has(service)) return;
    const counts = this.countVersions(service);
    const [base] = [...counts].sort(([, one], [, other]) => other - one);
    if (base) this.baseVersions.set(service, base[0]);
  }

  /** The version that serves a service while no move runs. */
  findBaseVersion(service: string): string | undefined {
    return this.baseVersions.get(service);
  }

  /** News of the moves for another node. */
  listNews(): MoveNews[] {
    const now = this.options.now();
    return [...this.orders.keys()].flatMap(service => {
      const move = this.options.state.findMove(service);
      if (!move) return [];
      const {startedAtMs, doneByMs, ...rest} = move;
      const elapsedMs = now - startedAtMs;
      return [{service, elapsedMs, remainingMs: doneByMs - now, ...rest}];
    });
  }

  /** Takes over what another node knows better. */
  handleNews(news: readonly MoveNews[]): void {
    for (const {service, elapsedMs, remainingMs, ...told} of news) {
      const known = this.options.state.findMove(service);
      if (!known || known.moveId !== told.moveId) continue;
      const isEnded = STAGE_ORDER[told.stage] > STAGE_ORDER[known.stage];
      const isAhead = known.stage === 'running' && told.number > known.number;
      const isOlder = this.options.now() - known.startedAtMs + 100 < elapsedMs;
      if (!isEnded && !isAhead && !isOlder) continue;
      const now = this.options.now();
      const ahead = isEnded || isAhead ? told : known;
      this.setMove(service, {
        ...ahead,
        fromVersion: known.fromVersion || told.fromVersion,
        startedAtMs: isOlder ? now - elapsedMs : known.startedAtMs,
        doneByMs: isOlder ? now + remainingMs : known.doneByMs,
      });
    }
  }

  /** Puts a step or an end in force and tells the others. */
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
      this.setMove(service, {...move, stage, evidence, number});
    }
    this.options.push();
    return RecordOutcome.ACCEPTED;
  }

  /** Tells operators that a move runs. */
  async writeStart(service: string): Promise<void> {
    const order = this.orders.get(service);
    if (order) await this.options.outcomes.write(order, 'running');
  }

  private async writeEnd(
    order: MoveOrder,
    outcome: 'done' | 'taken-back',
  ): Promise<MoveStage> {
    const stage = await this.options.outcomes.write(order, outcome);
    const {service, toVersion} = order;
    this.options.report('move ended', {service, toVersion, stage});
    return stage;
  }

  private startMove(order: MoveOrder): void {
    const {service, toVersion, moveId, durationMs} = order;
    const now = this.options.now();
    this.setMove(service, {
      moveId,
      fromVersion: this.findFrom(service, toVersion) ?? '',
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

  /** An order may have ended before this node started. */
  private async readOutcome(order: MoveOrder): Promise<void> {
    try {
      const stage = await this.options.outcomes.read(order);
      const move = this.options.state.findMove(order.service);
      if (move?.moveId !== order.moveId || !stage) return;
      if (STAGE_ORDER[stage] > STAGE_ORDER[move.stage]) {
        this.setMove(order.service, {...move, stage, number: move.number + 1});
      }
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      const {moveId} = order;
      this.options.report('move outcome not read', {
        moveId,
        detail: error.message,
      });
    }
  }

  private refreshFrom(service: string, move: Move): void {
    const fromVersion = this.findFrom(service, move.toVersion);
    if (fromVersion) this.setMove(service, {...move, fromVersion});
  }

  private findFrom(service: string, toVersion: string): string | undefined {
    const base = this.baseVersions.get(service);
    if (base !== undefined && base !== toVersion) return base;
    const counts = this.countVersions(service);
    counts.delete(toVersion);
    const [most] = [...counts].sort(([, one], [, other]) => other - one);
    return most?.[0];
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
