/**
 * Evaluates a new version by the answers that gates observed, comparing each
 * route with the old version under the same traffic. One bad route makes the
 * version bad. The version stays unproven while a route that the old version
 * serves has too few successful answers of the new one.
 */
import type {Profile} from '../protocol/configuration.js';
import type {RouteFigures} from '../state/version-evidence.js';

/** Result of comparing a new version with the old one. */
export const EvaluationResult = {
  BAD: 'bad',
  GOOD: 'good',
  UNPROVEN: 'unproven',
} as const;

export type EvaluationResult =
  (typeof EvaluationResult)[keyof typeof EvaluationResult];

/** Result of an evaluation, with the evidence as text. */
export interface VersionEvaluation {
  readonly result: EvaluationResult;
  readonly evidence: string;
  /** Whether all routes together have enough answers and none shows a fault. */
  readonly hasEnoughAnswers: boolean;
}

/** Number of failures of a route below which chance is not ruled out. */
const MIN_FAILURES = 3;
/** Number of durations of a route that a comparison needs. */
const MIN_DURATIONS = 8;
/** Slowdowns below this are within the timing noise of a machine. */
const MIN_SLOWDOWN_MS = 5;
const MEDIAN = 0.5;
/** Increase in the fraction of slow answers that callers would notice. */
const MIN_SLOW_FRACTION_INCREASE = 0.1;
/**
 * Significance level for slow answers. It is low because a move is evaluated
 * many times, and each evaluation may give a false positive.
 */
const MAX_P_VALUE = 0.002;
/** Applied to a route's expected answers: by chance a route may get half. */
const EXPECTED_ANSWERS_FACTOR = 0.5;

/** Merges the figures of several gates by route. */
export function mergeFigures(
  parts: ReadonlyArray<readonly RouteFigures[]>,
): RouteFigures[] {
  const merged = new Map<string, RouteFigures>();
  for (const figures of parts.flat()) {
    const known = merged.get(figures.route);
    merged.set(figures.route, known ? addFigures(known, figures) : figures);
  }
  return [...merged.values()];
}

function addFigures(one: RouteFigures, other: RouteFigures): RouteFigures {
  return {
    route: one.route,
    answers: one.answers + other.answers,
    failures: one.failures + other.failures,
    recentAnswers: one.recentAnswers + other.recentAnswers,
    recentFailures: one.recentFailures + other.recentFailures,
    recentDurationsMs: [...one.recentDurationsMs, ...other.recentDurationsMs],
    recentCancelledMs: [...one.recentCancelledMs, ...other.recentCancelledMs],
  };
}

/** Compares the new version with the old one, route by route. */
export function compareVersions(
  newFigures: readonly RouteFigures[],
  oldFigures: readonly RouteFigures[],
  settings: Profile['moves'],
): VersionEvaluation {
  const oldByRoute = new Map(oldFigures.map(seen => [seen.route, seen]));
  for (const seen of newFigures) {
    const fault =
      findFailures(seen, oldByRoute.get(seen.route), settings) ??
      findSlowdown(seen, oldByRoute.get(seen.route), settings);
    if (fault !== undefined) {
      return {
        result: EvaluationResult.BAD,
        evidence: fault,
        hasEnoughAnswers: false,
      };
    }
  }
  return checkRouteCoverage(newFigures, oldFigures, settings);
}

/**
 * Describes the failures of a route if there are too many. Recent figures show
 * a fault that begins late. Figures since the last step show a worker that
 * fails so often that it gets hardly any requests.
 */
function findFailures(
  seen: RouteFigures,
  old: RouteFigures | undefined,
  settings: Profile['moves'],
): string | undefined {
  const usual = old && old.answers > 0 ? old.failures / old.answers : 0;
  const limit = usual + settings.failureMarginPercent / 100;
  const spans = [
    {failures: seen.recentFailures, answers: seen.recentAnswers},
    {failures: seen.failures, answers: seen.answers},
  ];
  const bad = spans.find(
    ({failures, answers}) =>
      failures >= MIN_FAILURES && failures / answers > limit,
  );
  if (!bad) return undefined;
  return `route ${seen.route}: ${bad.failures} of ${bad.answers} answers failed, old version ${formatPercent(usual)}`;
}

/**
 * Describes the slowdown of a route if there is one, by comparing how often
 * answers are slow. On shared hosts a good version is occasionally slow too,
 * and a bad one may be slow for some requests only, so a binomial test decides
 * whether chance explains the number of slow answers. Cancelled requests count
 * only if they were slow already: of the others the full duration is unknown.
 */
function findSlowdown(
  seen: RouteFigures,
  old: RouteFigures | undefined,
  settings: Profile['moves'],
): string | undefined {
  if (!old || old.recentDurationsMs.length < MIN_DURATIONS) return undefined;
  const usualMs = computeQuantile(old.recentDurationsMs, MEDIAN);
  const limitMs = Math.max(
    usualMs * settings.slowdownFactor,
    usualMs + MIN_SLOWDOWN_MS,
  );
  const before = countSlow(old, limitMs);
  const now = countSlow(seen, limitMs);
  if (now.all < MIN_DURATIONS) return undefined;
  // Laplace smoothing: few old answers don't show the usual fraction.
  const usualFraction = (before.slow + 1) / (before.all + 2);
  const isMore =
    now.slow / now.all > usualFraction + MIN_SLOW_FRACTION_INCREASE;
  const pValue = computeBinomialTail(now.all, now.slow, usualFraction);
  if (!isMore || pValue > MAX_P_VALUE) return undefined;
  return `route ${seen.route}: ${now.slow} of ${now.all} took over ${limitMs.toFixed(1)} ms, old version ${before.slow} of ${before.all}`;
}

function countSlow(
  {recentDurationsMs, recentCancelledMs}: RouteFigures,
  limitMs: number,
): {slow: number; all: number} {
  const isSlow = (ms: number): boolean => ms > limitMs;
  const cancelled = recentCancelledMs.filter(isSlow).length;
  return {
    slow: recentDurationsMs.filter(isSlow).length + cancelled,
    all: recentDurationsMs.length + cancelled,
  };
}

/**
 * Computes the probability of at least this many successes (upper tail of the
 * binomial distribution), where each trial succeeds with probability `rate`.
 */
export function computeBinomialTail(
  trials: number,
  successes: number,
  rate: number,
): number {
  // In logarithms, since the first terms underflow when there are many trials.
  const odds = rate / (1 - rate);
  let logTerm = trials * Math.log1p(-rate);
  let below = 0;
  for (let count = 0; count < successes; count++) {
    below += Math.exp(logTerm);
    logTerm += Math.log(((trials - count) / (count + 1)) * odds);
  }
  return Math.max(0, 1 - below);
}

function checkRouteCoverage(
  newFigures: readonly RouteFigures[],
  oldFigures: readonly RouteFigures[],
  settings: Profile['moves'],
): VersionEvaluation {
  const answers = new Map(
    newFigures.map(seen => [seen.route, seen.answers - seen.failures]),
  );
  const all = countAnswers(newFigures);
  const reachesMinimum = all >= settings.evidenceAnswers;
  const routes = new Set([
    ...oldFigures.map(seen => seen.route),
    ...answers.keys(),
  ]);
  const usual = new Map(oldFigures.map(seen => [seen.route, seen.answers]));
  const trafficRatio = all / Math.max(1, countAnswers(oldFigures));
  const missing = [...routes].filter(route => {
    const expected =
      trafficRatio * (usual.get(route) ?? 0) * EXPECTED_ANSWERS_FACTOR;
    const isRare = settings.skipsRareRoutes && expected < 1;
    const needed = isRare ? 0 : settings.evidenceAnswers;
    return (answers.get(route) ?? 0) < needed;
  });
  const counts = [...answers]
    .map(([route, count]) => `${route} ${count}`)
    .join(', ');
  if (routes.size === 0) {
    return {
      result: EvaluationResult.UNPROVEN,
      evidence: 'no traffic yet',
      hasEnoughAnswers: reachesMinimum,
    };
  }
  if (missing.length > 0) {
    return {
      result: EvaluationResult.UNPROVEN,
      evidence: `too few good answers on ${missing.join(', ')} (${counts})`,
      hasEnoughAnswers: reachesMinimum,
    };
  }
  const evidence = `good answers: ${counts}`;
  return {
    result: EvaluationResult.GOOD,
    evidence,
    hasEnoughAnswers: reachesMinimum,
  };
}

function countAnswers(figures: readonly RouteFigures[]): number {
  return figures.reduce((sum, seen) => sum + seen.answers, 0);
}

/** Computes a quantile by sorting; 0 when there are no values. */
export function computeQuantile(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = [...values].sort((one, other) => one - other);
  const index = Math.min(
    sorted.length - 1,
    Math.floor(quantile * sorted.length),
  );
  return sorted[index] ?? 0;
}

function formatPercent(rate: number): string {
  return `${(rate * 100).toFixed(1)}%`;
}
