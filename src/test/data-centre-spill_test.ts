/** Which requests leave a data centre, by what their entry knows. */
import seedrandom from 'seedrandom';
import {describe, expect, it} from 'vitest';
import type {SpillRequest} from '../coordination/routing/data-centre-spill.js';
import {DataCentreSpill} from '../coordination/routing/data-centre-spill.js';
import {chooseWorker} from '../coordination/routing/worker-choice.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import type {WorkerRow} from '../state/worker-table.js';
import type {SiteOutcome} from './stand-ins/spill-loop.js';
import {createSpillRow, IDLE, SpillLoop} from './stand-ins/spill-loop.js';

const STEP_MS = 100;
const FULL = {...IDLE, inFlight: 6, queued: 3};
const FAILING: WorkerLoad = {...IDLE, state: 'failing'};
const COLD: WorkerLoad = {...IDLE, state: 'cold'};
const REQUEST: SpillRequest = {
  isFirst: true,
  isNested: false,
  isLarge: false,
  wasRefusedAtHome: false,
  timeLeftMs: 1000,
};

interface Side {
  readonly count: number;
  /** Undefined for workers of which nothing is known. */
  readonly figures?: WorkerLoad;
  readonly ageMs?: number;
  readonly isSuspect?: boolean;
  /** Number of its workers that are full whatever the figures. */
  readonly full?: number;
}

/** An entry whose figures of both sides stay the same, with their age. */
class SteadyEntry {
  readonly lines: string[] = [];
  readonly counts: string[] = [];
  readonly chosen = new Set<string>();
  readonly spill = new DataCentreSpill({
    service: 'service',
    count: name => this.counts.push(name),
    report: (text, context) => this.lines.push(JSON.stringify(context)),
  });
  private readonly random = seedrandom('1');
  private now = 0;

  /** Returns the part of the choices that left, one each step. */
  choose(
    home: Side,
    away: Side,
    request: Partial<SpillRequest> = {},
    choices = 100,
    pauseMs = STEP_MS,
  ): number {
    let left = 0;
    for (let count = 0; count < choices; count++) {
      this.now += pauseMs;
      const rows = [
        ...this.buildRows('home', home),
        ...this.buildRows('away', away),
      ];
      const chosen = chooseWorker('paced', rows, {
        dataCentre: 'home',
        farCostMs: 12,
        random: this.random,
        choiceCount: count,
        now: this.now,
        spill: {share: this.spill, request: {...REQUEST, ...request}},
      });
      this.chosen.add(chosen!.target.nodeId);
      if (chosen?.dataCentre === 'away') left += 1;
    }
    return left / choices;
  }

  private buildRows(name: string, side: Side): WorkerRow[] {
    const {figures, ageMs = 50, isSuspect = false, full = 0} = side;
    return Array.from({length: side.count}, (unused, index) => ({
      ...createSpillRow(name, index),
      isSuspect,
      observed: figures && {
        figures: index < full ? FULL : figures,
        at: this.now - ageMs,
        inFlightHere: 0,
      },
    }));
  }
}

const TWO_IDLE = {count: 2, figures: IDLE};
const TWO_FULL = {count: 2, figures: FULL};
const NESTED = {isNested: true, timeLeftMs: 40};

/** Part that leaves in the first choice, and in the next 100. */
const CASES: readonly {
  name: string;
  guards: string;
  home: Side;
  away: Side;
  request?: Partial<SpillRequest>;
  first: number;
  next: readonly [least: number, most: number];
}[] = [
  {
    name: 'home is calm',
    guards: 'traffic that costs money for nothing',
    home: TWO_IDLE,
    away: TWO_IDLE,
    first: 0,
    next: [0, 0],
  },
  {
    name: 'home is full',
    guards: 'a full data centre beside an idle one',
    home: TWO_FULL,
    away: TWO_IDLE,
    first: 0,
    next: [0.6, 0.95],
  },
  {
    name: 'all are full',
    guards: 'more leaving than there is room for',
    home: TWO_FULL,
    away: TWO_FULL,
    first: 0,
    next: [0, 0],
  },
  {
    name: 'others are nearly full',
    guards: 'all entries that send to one free slot',
    home: TWO_FULL,
    away: {count: 2, figures: {...IDLE, limit: 100, inFlight: 99}},
    first: 0,
    next: [0, 0.2],
  },
  {
    name: 'the figures of others are old',
    guards: 'trust in old room',
    home: TWO_FULL,
    away: {...TWO_IDLE, ageMs: 1200},
    first: 0,
    next: [0, 0],
  },
  {
    name: 'own figures are old',
    guards: 'leaving a home of which nothing is known',
    home: {...TWO_FULL, ageMs: 3000},
    away: TWO_IDLE,
    first: 0,
    next: [0, 0],
  },
  {
    name: 'others are cold',
    guards: 'a flood of cold workers',
    home: TWO_FULL,
    away: {count: 2, figures: COLD},
    first: 0,
    next: [0, 0],
  },
  {
    name: 'home is cold',
    guards: 'a cold home that is flooded, or never tried',
    home: {count: 2, figures: COLD},
    away: TWO_IDLE,
    first: 0,
    next: [0.6, 0.96],
  },
  {
    name: 'home has no worker',
    guards: 'a service without own workers',
    home: {count: 0},
    away: TWO_IDLE,
    first: 1,
    next: [1, 1],
  },
  {
    name: 'home fails',
    guards: 'requests to a failing home',
    home: {count: 2, figures: FAILING},
    away: TWO_IDLE,
    first: 1,
    next: [1, 1],
  },
  {
    name: 'home is suspect',
    guards: 'requests to a lost home',
    home: {...TWO_IDLE, isSuspect: true},
    away: TWO_IDLE,
    first: 1,
    next: [1, 1],
  },
  {
    name: 'home fails and others are full',
    guards: 'a refusal for lack of known room',
    home: {count: 2, figures: FAILING},
    away: TWO_FULL,
    first: 1,
    next: [1, 1],
  },
  {
    name: 'others fail',
    guards: 'leaving to failing workers',
    home: TWO_FULL,
    away: {count: 2, figures: FAILING},
    first: 0,
    next: [0, 0],
  },
  {
    name: 'a nested call would wait',
    guards: 'a parent that holds its slot while its call waits',
    home: TWO_FULL,
    away: TWO_IDLE,
    request: NESTED,
    first: 1,
    next: [1, 1],
  },
  {
    name: 'a nested call would wait everywhere',
    guards: 'calls sent where there is no room',
    home: TWO_FULL,
    away: TWO_FULL,
    request: NESTED,
    first: 0,
    next: [0, 0],
  },
  {
    name: 'a body is large',
    guards: 'large bodies on a slow link',
    home: TWO_FULL,
    away: TWO_IDLE,
    request: {isLarge: true},
    first: 0,
    next: [0, 0],
  },
  {
    name: 'a body is large and home fails',
    guards: 'a large body without a worker',
    home: {count: 2, figures: FAILING},
    away: TWO_IDLE,
    request: {isLarge: true},
    first: 1,
    next: [1, 1],
  },
  {
    name: 'a home gate refused',
    guards: 'a retry at the next full gate',
    home: TWO_FULL,
    away: TWO_IDLE,
    request: {isFirst: false, wasRefusedAtHome: true},
    first: 1,
    next: [1, 1],
  },
  {
    name: 'a home gate refused and others are full',
    guards: 'a retry where there is no room',
    home: TWO_FULL,
    away: TWO_FULL,
    request: {isFirst: false, wasRefusedAtHome: true},
    first: 0,
    next: [0, 0],
  },
];

describe('a data centre with workers elsewhere', () => {
  it.each(CASES)('guards against $guards, when $name', row => {
    const entry = new SteadyEntry();
    const {home, away, request, next} = row;
    expect(entry.choose(home, away, request, 1)).toBe(row.first);
    const left = entry.choose(home, away, request);
    expect(left).toBeGreaterThanOrEqual(next[0]);
    expect(left).toBeLessThanOrEqual(next[1]);
  });

  // Guards against requests that leave one full worker for another.
  it('sends what leaves to the only worker with room', () => {
    const entry = new SteadyEntry();
    entry.choose(TWO_FULL, {...TWO_IDLE, count: 8, full: 7}, NESTED);
    expect([...entry.chosen]).toEqual(['away-7']);
  });

  // Guards against a restarted entry that trusts in figures it does not have.
  it('chooses among all workers before any figures', () => {
    const left = new SteadyEntry().choose({count: 2}, {count: 2});
    expect(left).toBeGreaterThan(0);
  });

  // Guards against a share that remains when it is not needed, or not known.
  it.each([
    {name: 'home has room', home: TWO_IDLE, away: TWO_IDLE},
    {name: 'figures are old', home: TWO_FULL, away: {...TWO_IDLE, ageMs: 1200}},
    {
      name: 'costs are equal',
      home: {count: 2, figures: {...IDLE, inFlight: 4}},
      away: TWO_IDLE,
    },
  ])('has a share that ends when $name', ({home, away}) => {
    const entry = new SteadyEntry();
    entry.choose(TWO_FULL, TWO_IDLE);
    expect(entry.spill.share).toBeGreaterThan(0.9);
    entry.choose(home, away, {}, 350);
    expect(entry.spill.share).toBe(0);
  });

  // Guards against a share that jumps with a burst of requests: a full change
  // takes 2 s. And against a home that is no longer observed.
  it('has a share that rises with time, not with requests, and not to all', () => {
    const entry = new SteadyEntry();
    const figures = {...FULL, queued: 30};
    entry.choose({count: 2, figures}, TWO_IDLE, {}, 1000, 1);
    expect(entry.spill.share).toBeGreaterThan(0.3);
    expect(entry.spill.share).toBeLessThanOrEqual(0.5);
    entry.choose(TWO_FULL, TWO_IDLE);
    expect(entry.choose(TWO_FULL, TWO_IDLE, {}, 400)).toBeLessThan(1);
  });

  // Guards against logs that grow with the requests, and lack the inputs.
  it('logs changes of the share once a second, and counts missing room', () => {
    const entry = new SteadyEntry();
    entry.choose(TWO_FULL, TWO_IDLE, {}, 20);
    expect(entry.lines.length).toBeGreaterThan(1);
    expect(entry.lines.length).toBeLessThanOrEqual(3);
    expect(entry.lines[0]).toMatch(/share.*home.*away.*freeAway.*awayAgeMs/);
    entry.choose(TWO_FULL, TWO_FULL, {}, 5);
    expect(entry.counts).toContain('choices.far.no-worker');
  });
});

/** Sites of which the first has one of five workers. */
function buildSites(demand: number, entries: number) {
  return [
    {name: 'one', workers: 1, entries, demand},
    {name: 'two', workers: 2, entries, demand},
    {name: 'three', workers: 2, entries, demand},
  ];
}

function computeMeanShare({shares}: SiteOutcome): number {
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

describe('entries with a third of the demand and a fifth of the workers', () => {
  // Guards against entries that oscillate, or all choose one worker: at 75 of
  // its 60 requests per second, more than a fifth must leave.
  it.each([2, 20])('%i each find their share and hold it', entries => {
    const loop = new SpillLoop(buildSites(75, entries));
    loop.run(5000);
    const served = loop.workers.map(worker => worker.served);
    const waited = loop.workers.map(worker => worker.waitedMs);
    for (let period = 0; period < 6; period++) {
      const outcomes = loop.run(5000);
      const share = computeMeanShare(outcomes.get('one')!);
      expect(share).toBeGreaterThan(0.2);
      expect(share).toBeLessThan(0.6);
      for (const name of ['two', 'three'])
        expect(computeMeanShare(outcomes.get(name)!)).toBeLessThan(0.05);
    }
    const counts = loop.workers.map(
      (worker, index) => worker.served - served[index]!,
    );
    expect(Math.max(...counts) / Math.min(...counts)).toBeLessThan(1.5);
    for (const [index, worker] of loop.workers.entries()) {
      const waitMs = (worker.waitedMs - waited[index]!) / counts[index]!;
      // A service time; the wait without a share grows with each second.
      expect(waitMs).toBeLessThan(100);
    }
  });

  // Guards against requests that leave by chance, or go on after a peak.
  it('leave only while the demand is above what home bears', () => {
    const loop = new SpillLoop(buildSites(75, 20));
    const findPart = ({left, requests}: SiteOutcome): number => left / requests;
    expect(findPart(loop.run(10_000, 0.3).get('one')!)).toBeLessThan(0.02);
    expect(findPart(loop.run(10_000).get('one')!)).toBeGreaterThan(0.2);
    loop.run(10_000, 0.3);
    expect(findPart(loop.run(10_000, 0.3).get('one')!)).toBeLessThan(0.02);
  });
});
