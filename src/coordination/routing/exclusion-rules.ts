/**
 * The rules by which a worker is not chosen for a request, for explanations.
 * They are found by the predicates of the choice itself and by the outcome of
 * sampled choices.
 */
import type {Profile} from '../../protocol/configuration.js';
import {WorkerState} from '../../protocol/worker-load.js';
import type {WorkerRow} from '../../state/worker-table.js';
import {findExclusionRule, selectCallRows} from './call-choice.js';
import type {DataCentreSpill} from './data-centre-spill.js';
import type {ExplanationInputs} from './route-explanation.js';
import type {ChoiceContext} from './worker-choice.js';
import {
  computeExpectedTimeMs,
  computePacedCost,
  isComparable,
} from './worker-choice.js';
import {computeKnownRoom, findUnusableRule} from './worker-room.js';

/**
 * Choices made to estimate probabilities: the standard error is 3.5 percentage
 * points at most, and the node is kept busy for some milliseconds.
 */
export const SAMPLES = 200;

/** Rules that rule out a worker. */
export type ExclusionRule =
  | 'draining'
  | 'data-centre-out'
  | 'version-not-in-force'
  | 'not-in-subset'
  | 'suspect'
  | 'failing'
  | 'cold'
  /** Its cost is too far above the lowest one. */
  | 'cost'
  /** It is elsewhere, and the request stays in the entry's data centre. */
  | 'other-data-centre'
  /** It is elsewhere, and no free slot of it is known. */
  | 'no-known-room'
  /** It is in the entry's data centre, and the request leaves. */
  | 'request-leaves'
  /** It may be chosen, but other workers are cheaper. */
  | 'others-are-cheaper'
  /** The policy compares no costs, and another worker is next. */
  | 'not-its-turn';

/** Result of the sampled choices. */
export interface ChoiceSamples {
  readonly counts: ReadonlyMap<WorkerRow, number>;
  readonly left: number;
  /** Workers that were selected in at least one choice. */
  readonly selected: ReadonlySet<WorkerRow>;
  /** Share after the first choice. */
  readonly spill: DataCentreSpill;
}

/** Computes the cost that a policy compares; undefined if it has none. */
export function computeCost(
  {balancing}: Profile,
  row: WorkerRow,
  context: ChoiceContext,
): number | undefined {
  if (balancing === 'paced') return computePacedCost(row, context);
  if (balancing === 'adaptive') return computeExpectedTimeMs(row, context);
  return undefined;
}

/** Finds the rule by which a worker that is never chosen is ruled out. */
export class ExclusionRules {
  private readonly allowedVersions: ReadonlySet<WorkerRow>;

  constructor(
    private readonly inputs: ExplanationInputs,
    private readonly samples: ChoiceSamples,
    private readonly context: ChoiceContext,
  ) {
    const {options, request} = inputs;
    const {selectVersion = options.selectWorkers} = options;
    const rows = new Set<WorkerRow>();
    const versions = {...options, selectWorkers: selectVersion};
    for (let sample = 0; sample < SAMPLES; sample++) {
      const {random} = context;
      selectCallRows(versions, request.service, undefined, random).forEach(
        row => rows.add(row),
      );
    }
    this.allowedVersions = rows;
  }

  /** Returns the rule; undefined for a worker that may be chosen. */
  find(row: WorkerRow): ExclusionRule | undefined {
    const {inputs, samples} = this;
    if (samples.counts.has(row)) return undefined;
    const excluded = findExclusionRule(row, inputs.options.state);
    if (excluded) return excluded;
    if (!this.allowedVersions.has(row)) return 'version-not-in-force';
    if (!samples.selected.has(row)) return 'not-in-subset';
    return this.findSideRule(row) ?? this.findCostRule(row);
  }

  /** Finds the rule of the choice between data centres. */
  private findSideRule(row: WorkerRow): ExclusionRule | undefined {
    const {inputs, samples, context} = this;
    if (!context.spill) return undefined;
    const unusable = findUnusableRule(row, context.now);
    if (unusable) return unusable;
    const isHome = row.dataCentre === inputs.options.dataCentre;
    if (isHome) return samples.left === SAMPLES ? 'request-leaves' : undefined;
    const room = computeKnownRoom(row, context.now) ?? 0;
    if (room < 1) return this.isCold(row) ? 'cold' : 'no-known-room';
    return samples.left === 0 ? 'other-data-centre' : undefined;
  }

  private findCostRule(row: WorkerRow): ExclusionRule {
    const {inputs, samples, context} = this;
    const {profile} = inputs;
    const cost = computeCost(profile, row, context);
    if (cost === undefined) return 'not-its-turn';
    const chosen = [...samples.counts.keys()].map(
      other => computeCost(profile, other, context) ?? cost,
    );
    const isPaced = profile.balancing === 'paced';
    if (isPaced && isComparable(cost, Math.min(...chosen)))
      return 'others-are-cheaper';
    const rule = findUnusableRule(row, context.now);
    // Only the paced policy counts suspects and cold workers as dearer.
    if (rule === 'failing' || (isPaced && rule)) return rule;
    if (!isPaced) return 'others-are-cheaper';
    return this.isCold(row) ? 'cold' : 'cost';
  }

  private isCold(row: WorkerRow): boolean {
    return (row.observed?.figures.state ?? row.state) === WorkerState.COLD;
  }
}
