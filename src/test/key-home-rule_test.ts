/**
 * Runs the key home under a seeded scheduler: a key runs at most once, and no
 * request that ran is refused as `not-run`.
 */
import {describe, expect, it} from 'vitest';
import type {Mutation, SimulationResult} from './key-home-simulation.js';
import {Simulation} from './key-home-simulation.js';

const SEEDS = 4000;
const SEEDS_PER_MUTATION = 20_000;

interface Totals {
  ran: number;
  notRun: number;
  mayHaveRun: number;
}

async function run(seed: number): Promise<SimulationResult> {
  return new Simulation(String(seed), 'none').run();
}

describe('with events in any order', () => {
  it(`a key runs at most once in ${SEEDS} seeds`, async () => {
    const totals: Totals = {ran: 0, notRun: 0, mayHaveRun: 0};
    for (let seed = 0; seed < SEEDS; seed++) {
      const result = await run(seed);
      expect(result.runs, `runs, seed ${seed}`).toBeLessThanOrEqual(1);
      expect(result.falseNotRun, `false not-run, seed ${seed}`).toBe(0);
      expect(result.differentAnswers, `seed ${seed}`).toBeLessThanOrEqual(1);
      totals.ran += result.verdicts.ran;
      totals.notRun += result.verdicts['not-run'];
      totals.mayHaveRun += result.verdicts['may-have-run'];
    }
    console.log(`key home simulation: ${JSON.stringify(totals)}`);
    expect(totals.ran).toBeGreaterThan(SEEDS);
    expect(totals.mayHaveRun).toBeGreaterThan(0);
  });
});

describe('with one step of the algorithm left out, a key runs twice', () => {
  const mutations: Mutation[] = [
    'no-recheck',
    'no-seal',
    'only-last-home',
    'ignore-incarnation',
    'no-copies',
    'no-close',
  ];
  it.each(mutations)('%s', async mutation => {
    let caughtAt: number | undefined;
    for (let seed = 0; seed < SEEDS_PER_MUTATION; seed++) {
      const result = await new Simulation(String(seed), mutation).run();
      if (result.runs <= 1) continue;
      caughtAt = seed;
      break;
    }
    console.log(`${mutation}: a key ran twice with seed ${caughtAt}`);
    expect(caughtAt).toBeDefined();
  });
});
