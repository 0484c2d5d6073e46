/**
 * Evaluation of a new version: which figures make it bad, good or unproven.
 */
import {describe, expect, it} from 'vitest';
import {
  compareVersions,
  computeBinomialTail,
  mergeFigures,
} from '../coordination/version-evaluation.js';
import {configurationSchema} from '../protocol/configuration.js';
import type {RouteFigures} from '../state/version-evidence.js';

const settings = configurationSchema.parse({
  profiles: {desk: {}},
  services: {},
}).profiles['desk']!.moves;

function buildFigures(
  route: string,
  answers: number,
  failures: number,
  durationMs: number,
): RouteFigures {
  return {
    route,
    answers,
    failures,
    recentAnswers: answers,
    recentFailures: failures,
    recentDurationsMs: Array.from({length: answers}, () => durationMs),
    recentCancelledMs: [],
  };
}

/** Builds the figures of a route with the given durations. */
function buildTimes(route: string, durationsMs: number[]): RouteFigures {
  const figures = buildFigures(route, durationsMs.length, 0, 0);
  return {...figures, recentDurationsMs: durationsMs};
}

function buildTimesOf(count: number, durationMs: number): number[] {
  return Array.from({length: count}, () => durationMs);
}

const cases = [
  {
    name: 'slow as often as the old version on the same hosts',
    seen: [buildTimes('tickets', [5, 5, 5, 5, 5, 5, 5, 40, 40])],
    old: [
      buildTimes('tickets', [...buildTimesOf(90, 5), ...buildTimesOf(8, 40)]),
    ],
    judgement: 'unproven',
  },
  {
    name: 'half of few answers slow',
    seen: [buildTimes('tickets', [5, 40, 5, 40, 40, 5, 40, 5, 40])],
    old: [
      buildTimes('tickets', [...buildTimesOf(90, 5), ...buildTimesOf(8, 40)]),
    ],
    judgement: 'bad',
  },
  {
    name: 'a third of many answers slow',
    seen: [
      buildTimes('tickets', [...buildTimesOf(20, 5), ...buildTimesOf(10, 40)]),
    ],
    old: [
      buildTimes('tickets', [...buildTimesOf(90, 5), ...buildTimesOf(8, 40)]),
    ],
    judgement: 'bad',
  },
  {
    name: 'slow, with few answers of the old version to compare',
    seen: [buildTimes('tickets', [5, 5, 5, 5, 40, 5, 40, 5, 40])],
    old: [buildTimes('tickets', [...buildTimesOf(7, 5), 40])],
    judgement: 'unproven',
  },
  {
    name: 'as good as the old version',
    seen: [buildFigures('tickets', 40, 0, 5)],
    old: [buildFigures('tickets', 400, 0, 5)],
    judgement: 'good',
  },
  {
    name: 'too few answers',
    seen: [buildFigures('tickets', 5, 0, 5)],
    old: [buildFigures('tickets', 400, 0, 5)],
    judgement: 'unproven',
  },
  {
    name: 'no answers at all',
    seen: [],
    old: [],
    judgement: 'unproven',
  },
  {
    name: 'a route that only the old version has answered',
    seen: [buildFigures('tickets', 40, 0, 5)],
    old: [buildFigures('tickets', 400, 0, 5), buildFigures('pay', 9, 0, 5)],
    judgement: 'unproven',
  },
  {
    name: 'failing',
    seen: [buildFigures('tickets', 10, 4, 5)],
    old: [buildFigures('tickets', 400, 0, 5)],
    judgement: 'bad',
  },
  {
    name: 'failing on one route only',
    seen: [buildFigures('tickets', 400, 0, 5), buildFigures('pay', 5, 3, 5)],
    old: [buildFigures('tickets', 400, 0, 5), buildFigures('pay', 9, 0, 5)],
    judgement: 'bad',
  },
  {
    name: 'failing no more than the old version',
    seen: [buildFigures('tickets', 100, 10, 5)],
    old: [buildFigures('tickets', 400, 40, 5)],
    judgement: 'good',
  },
  {
    name: 'two failures, which may be chance',
    seen: [buildFigures('tickets', 40, 2, 5)],
    old: [buildFigures('tickets', 400, 0, 5)],
    judgement: 'good',
  },
  {
    name: 'slow',
    seen: [buildFigures('tickets', 40, 0, 50)],
    old: [buildFigures('tickets', 400, 0, 5)],
    judgement: 'bad',
  },
  {
    name: 'so slow that all its requests are cancelled',
    seen: [
      {
        ...buildFigures('tickets', 0, 0, 0),
        recentCancelledMs: Array.from({length: 20}, () => 50),
      },
    ],
    old: [buildFigures('tickets', 400, 0, 5)],
    judgement: 'bad',
  },
  {
    name: 'as good, while hedges at the old version were cancelled early',
    seen: [buildFigures('tickets', 40, 0, 20)],
    old: [
      {
        ...buildFigures('tickets', 3, 0, 20),
        recentCancelledMs: Array.from({length: 20}, () => 1),
      },
    ],
    judgement: 'good',
  },
  {
    name: 'slower by less than the timing noise of a machine',
    seen: [buildFigures('tickets', 40, 0, 3)],
    old: [buildFigures('tickets', 400, 0, 1)],
    judgement: 'good',
  },
  {
    name: 'failing each of the few requests that it gets',
    seen: [
      {
        ...buildFigures('tickets', 3, 3, 5),
        recentAnswers: 1,
        recentFailures: 1,
      },
    ],
    old: [buildFigures('tickets', 400, 0, 5)],
    judgement: 'bad',
  },
  {
    name: 'failing recently after many successful answers',
    seen: [
      {
        ...buildFigures('tickets', 10_000, 5, 5),
        recentAnswers: 20,
        recentFailures: 5,
      },
    ],
    old: [buildFigures('tickets', 400, 0, 5)],
    judgement: 'bad',
  },
];

describe('evidence about a version', () => {
  it.each(cases)('$name: $judgement', ({seen, old, judgement}) => {
    expect(compareVersions(seen, old, settings).result).toBe(judgement);
  });

  it('is merged over gates by route', () => {
    const merged = mergeFigures([
      [buildFigures('tickets', 3, 1, 5), buildFigures('pay', 1, 0, 5)],
      [buildFigures('tickets', 4, 1, 5)],
    ]);
    expect(merged.map(({route, answers}) => [route, answers])).toEqual([
      ['tickets', 7],
      ['pay', 1],
    ]);
  });
});

describe('the probability of at least so many slow answers', () => {
  it.each([
    {trials: 8, successes: 0, share: 0.1, chance: 1},
    {trials: 8, successes: 8, share: 0.5, chance: 1 / 256},
    {trials: 2, successes: 1, share: 0.5, chance: 0.75},
    {trials: 300, successes: 300, share: 0.01, chance: 0},
    {trials: 3000, successes: 1800, share: 0.5, chance: 0},
  ])('$successes of $trials at probability $share', testCase => {
    const {trials, successes, share, chance} = testCase;
    expect(computeBinomialTail(trials, successes, share)).toBeCloseTo(
      chance,
      9,
    );
  });
});
