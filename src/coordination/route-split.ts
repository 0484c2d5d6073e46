/**
 * Splits the requests of a route among its services by smooth weighted round
 * robin. Unlike a random choice, this keeps each entry close to the weights
 * after a few requests, and so the whole deployment at any load.
 */
import type {RouteRule} from '../protocol/configuration.js';

interface Split {
  readonly targets: RouteRule['targets'];
  readonly totalWeight: number;
  readonly credits: number[];
}

/** Routes whose split is kept; far more than any configuration has. */
const MAX_SPLITS = 10_000;

/** Holds the splits of all routes at one entry. */
export class RouteSplitter {
  private readonly splits = new Map<string, Split>();

  /** Random initial credits keep entries from starting with one service. */
  constructor(private readonly random: () => number = Math.random) {}

  /** Chooses the service that the next request of a route goes to. */
  chooseService(rule: RouteRule): string {
    const {targets} = rule;
    if (targets.length === 1) return targets[0]!.service;
    const split = this.findSplit(rule);
    const best = findNext(targets, split.credits);
    targets.forEach(({weight}, index) => (split.credits[index]! += weight));
    split.credits[best]! -= split.totalWeight;
    return targets[best]!.service;
  }

  /**
   * Finds the service that the next request of a route goes to, without taking
   * its turn. Before the first request this is the one with the most weight,
   * as the initial credits are not drawn yet.
   */
  findNextService({name, targets}: RouteRule): string {
    const split = this.splits.get(name);
    const isKnown = split && hasSameTargets(split.targets, targets);
    return targets[findNext(targets, isKnown ? split.credits : [])]!.service;
  }

  private findSplit(rule: RouteRule): Split {
    const known = this.splits.get(rule.name);
    if (known && hasSameTargets(known.targets, rule.targets)) return known;
    const split: Split = {
      targets: rule.targets,
      totalWeight: rule.targets.reduce((sum, {weight}) => sum + weight, 0),
      credits: rule.targets.map(({weight}) => weight * this.random()),
    };
    if (this.splits.size >= MAX_SPLITS) this.splits.clear();
    this.splits.set(rule.name, split);
    return split;
  }
}

/** Finds the index of the target with the most credits after the next step. */
function findNext(
  targets: RouteRule['targets'],
  credits: readonly number[],
): number {
  let best = 0;
  let most = -Infinity;
  targets.forEach(({weight}, index) => {
    const credit = (credits[index] ?? 0) + weight;
    if (credit <= most) return;
    most = credit;
    best = index;
  });
  return best;
}

function hasSameTargets(
  one: RouteRule['targets'],
  other: RouteRule['targets'],
): boolean {
  return (
    one.length === other.length &&
    one.every(
      ({service, weight}, index) =>
        service === other[index]!.service && weight === other[index]!.weight,
    )
  );
}
