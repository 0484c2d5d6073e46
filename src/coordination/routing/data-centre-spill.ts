/**
 * Decides which requests of one service leave the entry's data centre. It
 * addresses demand that is uneven between data centres: one whose own workers
 * are too few at times, while crossing to another is slower and costs money.
 *
 * The entry keeps a share of requests that leave. It compares the cost that a
 * request is expected to meet at home with the cost elsewhere, and changes the
 * share by small steps in time. Entries with the same figures thus move
 * together slowly, instead of all sending their next request to one worker.
 */
import type {WorkerRow} from '../../state/worker-table.js';
import type {ChoiceContext} from './worker-choice.js';
import {
  computePacedCost,
  MAX_COST_FACTOR,
  PACED_CANDIDATES,
} from './worker-choice.js';
import {
  computeAge,
  computeKnownRoom,
  computeLeastAge,
  computeWaitMs,
  findUnusableRule,
} from './worker-room.js';

/** Time of one step of the share, above the 60 ms between load reports. */
const STEP_MS = 100;
/**
 * Steps that one choice makes at most: it shows one moment only, and entries
 * see a few requests of a service per second.
 */
const MAX_STEPS = 3;
/**
 * Time constant of the smoothing of the cost difference. With 300 ms the share
 * of one entry varied nearly twice as much, since it followed too late.
 */
const SMOOTHING_MS = 150;
/**
 * Advantage beyond the distance from which the share rises. Home workers at
 * two thirds of their limit, beside idle ones elsewhere, stay below it.
 */
const RISE_ADVANTAGE = 0.2;
/** Change of the share per step and unit of cost difference. */
const GAIN = 0.05;
/** Largest change of the share in one step; a full change takes 2 s. */
const MAX_STEP = 0.05;
/** Least decrease in one step while home is the cheaper side. */
const MIN_FALL = 0.005;
/**
 * Decrease in one step while the costs are about equal. It returns requests
 * slowly, so that no share remains that is no longer needed.
 */
const EQUAL_FALL = 0.003;
/** Decrease in one step while no recent figure of another side is known. */
const UNKNOWN_FALL = 0.01;
/**
 * Largest share while a home worker is usable. The rest shows the state of the
 * home workers, and lets cold ones recover.
 */
const MAX_SHARE = 0.95;
/** Pause between choices from which the share is out of date. */
const IDLE_MS = 1000;
/** Time constant of the decay of a share that is out of date. */
const IDLE_DECAY_MS = 3000;
/** Age of load figures up to which the share may rise on them. */
const FRESH_MS = 1000;
/**
 * Fraction of the time to its target that a nested call may wait at home while
 * there is room elsewhere. Its parent holds a slot meanwhile.
 */
const NESTED_WAIT_FRACTION = 0.25;
/**
 * Free fraction of the slots elsewhere from which the whole share leaves, and
 * rises; below it a proportional part does. Entries see the same free slot for
 * up to 500 ms, and would otherwise all send a request there.
 */
const FULL_ROOM_FRACTION = 0.1;
/** Pace assumed for home workers without recent figures: the usual one. */
const HOME_PACE = 1;
/** Workers of one side that are compared at most, as in a subset. */
const MAX_COMPARED = 10;
/** Change of the share that is logged, and the least time between two lines. */
const LOGGED_CHANGE = 0.1;
const LOG_INTERVAL_MS = 1000;
/** Precision of logged numbers. */
const LOG_DIGITS = 3;

/** What a choice needs to know of the request. */
export interface SpillRequest {
  /** Whether no attempt of the request was sent before. */
  readonly isFirst: boolean;
  readonly isNested: boolean;
  /** Whether its body exceeds the size that an entry buffers. */
  readonly isLarge: boolean;
  /** Whether a home gate refused it for lack of capacity. */
  readonly wasRefusedAtHome: boolean;
  /** Milliseconds to its target, or to its deadline without one. */
  readonly timeLeftMs: number;
}

/** Inputs of a step of the share, as logged. */
export type SpillInputs = Readonly<Record<string, string | number>>;

/** Dependencies of the share of one service. */
export interface DataCentreSpillOptions {
  readonly service: string;
  /** Counts events by name. */
  readonly count: (name: string) => void;
  /** Writes a log line with its context. */
  readonly report:
    | ((
        text: string,
        context: Readonly<Record<string, string | number>>,
      ) => void)
    | undefined;
}

/** The share of one service's requests that leave the data centre. */
export class DataCentreSpill {
  private currentShare = 0;
  private advantage = 0;
  private steppedAt: number | undefined;
  private loggedShare = 0;
  private loggedAt = -Infinity;
  // Reused, so that a choice allocates no more than without the share.
  private readonly home: WorkerRow[] = [];
  private readonly away: WorkerRow[] = [];
  private readonly withRoom: WorkerRow[] = [];
  private roomFraction = 0;
  /** Inputs of the last step of the share. */
  private inputs: SpillInputs = {};
  private readonly costs: number[] = [];

  constructor(private readonly options: DataCentreSpillOptions) {}

  /** Share of requests that leave, from 0 to 1. */
  get share(): number {
    return this.currentShare;
  }

  /** Time up to which the share was updated; undefined before a choice. */
  get updatedAt(): number | undefined {
    return this.steppedAt;
  }

  /** Inputs of the last step of the share, with the smoothed difference. */
  describeInputs(): SpillInputs {
    return {advantage: this.advantage.toFixed(LOG_DIGITS), ...this.inputs};
  }

  /**
   * Copies the share, so that a choice can be made without changing it. The
   * copy counts and logs nothing.
   */
  copy(): DataCentreSpill {
    const {service} = this.options;
    const copy = new DataCentreSpill({
      service,
      count: () => {},
      report: undefined,
    });
    copy.currentShare = this.currentShare;
    copy.advantage = this.advantage;
    copy.steppedAt = this.steppedAt;
    copy.inputs = this.inputs;
    return copy;
  }

  /**
   * Selects the workers among which a request's next attempt chooses: those of
   * one side, or all when no figures or no usable workers are known. The result
   * is valid until the next call.
   */
  selectSide(
    rows: readonly WorkerRow[],
    request: SpillRequest,
    context: ChoiceContext,
  ): readonly WorkerRow[] {
    this.selectUsable(rows, context);
    const {home, away} = this;
    const isUnknown = rows.every(row => !row.observed);
    if (isUnknown || (home.length === 0 && away.length === 0)) return rows;
    if (home.length === 0) {
      if (request.isFirst) this.setAllLeave(context.now);
      return away;
    }
    if (request.isFirst) this.updateShare(context);
    if (request.isLarge || !this.isLeaving(request, context)) return home;
    // After a refusal, workers without known figures are tried as well: where
    // figures come with answers only, there would never be any.
    const {wasRefusedAtHome} = request;
    const chosen = this.selectWithRoom(context.now, wasRefusedAtHome);
    const hasRoom =
      wasRefusedAtHome ||
      context.random() * FULL_ROOM_FRACTION < this.roomFraction;
    if (chosen.length > 0 && hasRoom) return chosen;
    this.options.count('choices.far.no-worker');
    return home;
  }

  private selectUsable(
    rows: readonly WorkerRow[],
    context: ChoiceContext,
  ): void {
    this.home.length = 0;
    this.away.length = 0;
    for (const row of rows) {
      if (findUnusableRule(row, context.now)) continue;
      const isHome = row.dataCentre === context.dataCentre;
      (isHome ? this.home : this.away).push(row);
    }
  }

  /** Sets the share while no home worker is usable; it falls from there. */
  private setAllLeave(now: number): void {
    this.currentShare = 1;
    this.steppedAt = now;
    this.advantage = 0;
    this.logShare(now, {home: 'unusable'});
  }

  private isLeaving(request: SpillRequest, context: ChoiceContext): boolean {
    if (context.random() < this.currentShare) return true;
    const {away, home} = this;
    if (away.length === 0) return false;
    if (request.wasRefusedAtHome) {
      const homeCost = this.computeBestCost(home, context);
      return this.computeBestCost(away, context) < homeCost;
    }
    if (!request.isNested) return false;
    const waitMs = Math.min(...home.map(row => computeWaitMs(row, context)));
    if (waitMs <= NESTED_WAIT_FRACTION * request.timeLeftMs) return false;
    return this.selectWithRoom(context.now, false).length > 0;
  }

  /**
   * Selects the workers elsewhere that are known to have a free slot, and
   * computes the free fraction of all slots there.
   */
  private selectWithRoom(now: number, allowsUnknown: boolean): WorkerRow[] {
    const {withRoom, away} = this;
    withRoom.length = 0;
    let freeSlots = 0;
    let slots = 0;
    for (const row of away) {
      const room = computeKnownRoom(row, now);
      freeSlots += room ?? 0;
      slots += row.observed?.figures.limit ?? row.slots;
      if (room === undefined ? allowsUnknown : room >= 1) withRoom.push(row);
    }
    this.roomFraction = freeSlots / Math.max(1, slots);
    return withRoom;
  }

  private updateShare(context: ChoiceContext): void {
    const {now} = context;
    const elapsedMs = now - (this.steppedAt ?? now - STEP_MS);
    if (elapsedMs < STEP_MS) return;
    this.steppedAt = now;
    const idleMs = Math.max(0, elapsedMs - IDLE_MS);
    this.currentShare *= Math.exp(-idleMs / IDLE_DECAY_MS);
    const steps = Math.min(MAX_STEPS, elapsedMs / STEP_MS);
    const fresh = this.away.filter(row => computeAge(row, now) <= FRESH_MS);
    if (fresh.length === 0) {
      this.advantage = 0;
      this.addToShare(-UNKNOWN_FALL * steps);
      this.logShare(now, {away: 'unknown'});
      return;
    }
    // Without recent figures home workers count as usual ones, and others as
    // slower ones, so that no request leaves for lack of figures.
    const homeCost = this.computeBestCost(this.home, context, HOME_PACE);
    const awayCost = this.computeBestCost(fresh, context);
    const weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS);
    this.advantage += weight * (homeCost - awayCost - this.advantage);
    const hasRoom = this.selectWithRoom(now, false).length > 0;
    const roomPart = Math.min(1, this.roomFraction / FULL_ROOM_FRACTION);
    const step = computeStep(this.advantage);
    if (step < 0) this.addToShare(step * steps);
    else if (hasRoom) this.addToShare(step * steps * roomPart);
    this.logShare(now, {
      home: homeCost.toFixed(LOG_DIGITS),
      away: awayCost.toFixed(LOG_DIGITS),
      freeAway: this.roomFraction.toFixed(LOG_DIGITS),
      homeAgeMs: computeLeastAge(this.home, now),
      awayAgeMs: computeLeastAge(fresh, now),
    });
  }

  private addToShare(change: number): void {
    const share = this.currentShare + change;
    this.currentShare = Math.min(MAX_SHARE, Math.max(0, share));
  }

  /**
   * Computes the expected cost of the best of the random candidates that a
   * choice compares. A worker is the best of three when it is drawn with two
   * of the more expensive ones.
   */
  private computeBestCost(
    rows: readonly WorkerRow[],
    context: ChoiceContext,
    unknownPace?: number,
  ): number {
    const {costs} = this;
    const compared = Math.min(MAX_COMPARED, rows.length);
    const first =
      compared === rows.length ? 0 : Math.floor(context.random() * rows.length);
    costs.length = 0;
    for (let index = 0; index < compared; index++) {
      const row = rows[(first + index) % rows.length]!;
      costs.push(computePacedCost(row, context, unknownPace));
    }
    const lowest = Math.min(...costs);
    const maxCost = MAX_COST_FACTOR * lowest;
    const eligible = costs.filter(cost => cost <= maxCost);
    if (eligible.length <= PACED_CANDIDATES) return lowest;
    let weights = 0;
    let sum = 0;
    for (const [index, cost] of eligible.entries()) {
      let higher = 0;
      for (const [other, otherCost] of eligible.entries()) {
        const isTied = otherCost === cost && other > index;
        if (otherCost > cost || isTied) higher += 1;
      }
      const pairs = (higher * (higher - 1)) / 2;
      weights += pairs;
      sum += pairs * cost;
    }
    return sum / weights;
  }

  private logShare(now: number, inputs: SpillInputs): void {
    this.inputs = inputs;
    const {report, service} = this.options;
    const change = Math.abs(this.currentShare - this.loggedShare);
    const isBackToNone = this.currentShare === 0 && this.loggedShare > 0;
    if (!report || (change < LOGGED_CHANGE && !isBackToNone)) return;
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    this.loggedShare = this.currentShare;
    const share = this.currentShare.toFixed(LOG_DIGITS);
    const advantage = this.advantage.toFixed(LOG_DIGITS);
    report('share that leaves changed', {service, share, advantage, ...inputs});
  }
}

/** Computes the change of the share in one step. */
function computeStep(advantage: number): number {
  if (advantage > RISE_ADVANTAGE)
    return Math.min(MAX_STEP, GAIN * (advantage - RISE_ADVANTAGE));
  if (advantage >= 0) return -EQUAL_FALL;
  return -Math.min(MAX_STEP, MIN_FALL - GAIN * advantage);
}
