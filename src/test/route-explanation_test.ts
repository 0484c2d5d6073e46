/** Where a request would go and why, asked of an entry without sending it. */
import {inspect} from 'node:util';
import seedrandom from 'seedrandom';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {EntryOptions} from '../coordination/entry.js';
import {Entry} from '../coordination/entry.js';
import {NestedCalls} from '../coordination/nested-calls.js';
import {CapacityRefusals} from '../coordination/refusals/capacity-refusals.js';
import {DataCentreSpill} from '../coordination/routing/data-centre-spill.js';
import type {RouteExplanation} from '../coordination/routing/route-explanation.js';
import {buildRouteExplanation} from '../coordination/routing/route-explanation.js';
import {RouteSplitter} from '../coordination/route-split.js';
import type {AttemptAnswer} from '../protocol/attempt.js';
import type {Profile, RouteRule} from '../protocol/configuration.js';
import {profileSchema} from '../protocol/configuration.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import {EMPTY_BODY} from '../protocol/service-request.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import {Explanations} from '../state/explanations.js';
import type {StateStore} from '../state/state-store.js';
import type {WorkerRow, WorkerTable} from '../state/worker-table.js';
import {createLookup} from './stand-ins/lookup.js';
import {createSpillRow, IDLE} from './stand-ins/spill-loop.js';

const NOW = 10_000;
/** With a service time of 100 ms a request waits longer than it may. */
const SERVICE_TIME_US = 100_000;
const FULL: Partial<WorkerLoad> = {inFlight: 6, queued: 9};
const PROFILE: Profile = profileSchema.parse({
  balancing: 'paced',
  locality: {mode: 'prefer-own'},
  refusals: {atEntry: true},
  limits: {queueWait: '2s'},
  hedging: {enabled: false},
});
const ANY: Profile = {...PROFILE, locality: {mode: 'any'}};

interface RowChange {
  readonly figures?: Partial<WorkerLoad> | undefined;
  readonly row?: Partial<WorkerRow>;
}

/** Creates a worker with recent figures, idle unless changed. */
function createRow(
  dataCentre: string,
  index: number,
  {figures, row}: RowChange = {},
  now = NOW,
): WorkerRow {
  const created = createSpillRow(dataCentre, index);
  const load = {...IDLE, serviceTimeUs: SERVICE_TIME_US, ...figures};
  return {
    ...created,
    state: load.state,
    observed: {figures: load, at: now - 50, inFlightHere: 0},
    ...row,
  };
}

/** Workers `home-0` to `home-3` and `away-0` to `away-3`. */
function createRows(
  home: RowChange = {},
  away: RowChange = {},
  now = NOW,
): WorkerRow[] {
  return [0, 1, 2, 3].flatMap(index => [
    createRow('home', index, home, now),
    createRow('away', index, away, now),
  ]);
}

function createOptions(rows: readonly WorkerRow[]) {
  return {
    dataCentre: 'home',
    state: {
      isDataCentreOut: (name: string) => name === 'out',
      findProfile: () => PROFILE,
    } as unknown as StateStore,
    workers: {
      listWorkers: () => rows,
      listNodes: () => [],
    } as unknown as WorkerTable,
    selectVersion: (service: string, all: readonly WorkerRow[]) =>
      all.filter(row => row.version === 'v1'),
    selectWorkers: (service: string, all: readonly WorkerRow[]) =>
      all.filter(
        row => row.version === 'v1' && row.target.nodeId !== 'home-99',
      ),
  };
}

/** Explains a route at an entry that has observed its routes. */
function explain(
  rows: readonly WorkerRow[],
  profile: Profile,
  change: Partial<ServiceRequest> = {},
): RouteExplanation {
  const request: ServiceRequest = {
    ...createLookup(NOW + 1000),
    targetAt: NOW + 400,
    ...change,
  };
  const capacityRefusals = new CapacityRefusals('service', {
    random: failOnDraw,
    count: failOnCount,
    countSenders: () => ({workers: 8, entries: 8}),
  });
  for (const ageMs of [6000, 0])
    capacityRefusals.kinds.record(request, NOW - ageMs);
  const spill = new DataCentreSpill({
    service: 'service',
    count: failOnCount,
    report: failOnCount,
  });
  const serviceState = {spill, capacityRefusals, choiceCount: 0};
  const options = createOptions(rows);
  return buildRouteExplanation({options, request, profile, serviceState}, NOW);
}

function failOnDraw(): number {
  throw new Error("a random number of the entry's generator was drawn");
}

function failOnCount(): void {
  throw new Error('an event was counted or logged');
}

interface RuleCase {
  readonly name: string;
  /** The worker in question; the others are idle unless given. */
  readonly one: WorkerRow;
  readonly others?: readonly WorkerRow[];
  readonly profile?: Profile;
  readonly request?: Partial<ServiceRequest>;
  readonly expected: string | null;
}

const INDEX = 9;
const RULE_CASES: readonly RuleCase[] = [
  {name: 'an idle one at home', one: createRow('home', INDEX), expected: null},
  {
    name: 'one without figures, like all others',
    one: createRow('away', INDEX, {row: {observed: undefined}}),
    others: createRows(
      {row: {observed: undefined}},
      {row: {observed: undefined}},
    ),
    expected: null,
  },
  {
    name: 'a leaving one',
    one: createRow('home', INDEX, {row: {state: 'draining'}}),
    expected: 'draining',
  },
  {
    name: 'one in a data centre that is out',
    one: createRow('out', INDEX),
    expected: 'data-centre-out',
  },
  {
    name: 'one with another version',
    one: createRow('home', INDEX, {row: {version: 'v2'}}),
    expected: 'version-not-in-force',
  },
  {
    name: 'one outside of the subset',
    one: createRow('home', 99),
    expected: 'not-in-subset',
  },
  {
    name: 'a suspect one, own workers first',
    one: createRow('home', INDEX, {row: {isSuspect: true}}),
    expected: 'suspect',
  },
  {
    name: 'a failing one, own workers first',
    one: createRow('home', INDEX, {figures: {state: 'failing'}}),
    expected: 'failing',
  },
  {
    name: 'a suspect one by its cost',
    one: createRow('home', INDEX, {row: {isSuspect: true}}),
    profile: ANY,
    expected: 'suspect',
  },
  {
    name: 'a failing one by its cost',
    one: createRow('home', INDEX, {figures: {state: 'failing'}}),
    profile: ANY,
    expected: 'failing',
  },
  {
    name: 'a cold one elsewhere, which has no room',
    one: createRow('away', INDEX, {figures: {state: 'cold'}}),
    expected: 'cold',
  },
  {
    name: 'a cold one by its cost',
    one: createRow('home', INDEX, {figures: {state: 'cold', pace: 9}}),
    profile: ANY,
    expected: 'cold',
  },
  {
    name: 'one elsewhere while the share stays',
    one: createRow('away', INDEX),
    expected: 'other-data-centre',
  },
  {
    name: 'a full one elsewhere',
    one: createRow('away', INDEX, {figures: FULL}),
    expected: 'no-known-room',
  },
  {
    name: 'one elsewhere with old figures',
    one: createRow('away', INDEX, {
      row: {observed: {figures: IDLE, at: NOW - 4000, inFlightHere: 0}},
    }),
    expected: 'no-known-room',
  },
  {
    name: 'one elsewhere while no own worker is usable',
    one: createRow('away', INDEX),
    others: createRows({row: {isSuspect: true}}),
    expected: null,
  },
  {
    name: 'a full one at home, for a nested call',
    one: createRow('home', INDEX, {figures: FULL}),
    others: createRows({figures: FULL}),
    request: {isNested: true},
    expected: 'request-leaves',
  },
  {
    name: 'one on a very slow host',
    one: createRow('home', INDEX, {figures: {pace: 30}}),
    profile: ANY,
    expected: 'cost',
  },
  {
    name: 'the dearest of those that are compared',
    one: createRow('home', INDEX, {figures: {pace: 5}}),
    profile: ANY,
    expected: 'others-are-cheaper',
  },
  {
    name: 'one that is not next in turn',
    one: createRow('home', INDEX),
    profile: {...PROFILE, balancing: 'round-robin'},
    expected: 'not-its-turn',
  },
];

describe('the rule that rules out a worker', () => {
  // Guards against a rule that is not reported or is reported as another, and
  // against a choice that draws, counts or logs at the entry.
  it.each(RULE_CASES)(
    'is reported for $name',
    ({one, others = createRows(), profile = PROFILE, request, expected}) => {
      const {workers} = explain([...others, one], profile, request);
      const found = workers.find(({node}) => node === one.target.nodeId);
      expect(found?.ruledOutBy).toBe(expected);
      if (expected !== null) expect(found?.probability).toBe(0);
      else expect(found?.probability).toBeGreaterThan(0);
      const sum = workers.reduce((total, each) => total + each.probability, 0);
      expect(sum).toBeCloseTo(1);
    },
  );
});

interface RefusalCase {
  readonly name: string;
  readonly rows: readonly WorkerRow[];
  readonly profile?: Profile;
  readonly request?: Partial<ServiceRequest>;
  readonly expected?: string;
}

const ALL_FULL = createRows({figures: FULL}, {figures: FULL});
const REFUSAL_CASES: readonly RefusalCase[] = [
  {name: 'all workers are full', rows: ALL_FULL, expected: 'queue-timeout'},
  {name: 'there is no worker', rows: [], expected: 'no-worker'},
  {name: 'workers are idle', rows: createRows()},
  {
    name: 'a nested call meets full workers',
    rows: ALL_FULL,
    request: {isNested: true},
  },
  {
    name: 'the profile leaves refusals to the gates',
    rows: ALL_FULL,
    profile: {...PROFILE, refusals: {atEntry: false}},
  },
];

describe('the refusal by the entry', () => {
  // Guards against a refusal that is announced and not made, or the reverse.
  it.each(REFUSAL_CASES)(
    'is told when $name',
    ({rows, profile = PROFILE, request, expected}) => {
      const {refusal} = explain(rows, profile, request);
      expect(refusal?.reason).toBe(expected);
      if (!expected) return;
      expect(refusal?.retryAfterMs).toBeGreaterThan(0);
      expect(refusal?.retryAfterMs).toBeLessThanOrEqual(1000);
    },
  );
});

/** An entry whose attempts are answered at once. */
class AskedEntry {
  readonly chosen: string[] = [];
  readonly counts: string[] = [];
  readonly explanations = new Explanations();
  readonly rows: WorkerRow[];
  readonly entry: Entry;
  draws = 0;

  constructor(home: RowChange, away: RowChange = {}) {
    this.rows = createRows(home, away, performance.now());
    const random = seedrandom('1');
    const options: EntryOptions = {
      ...createOptions(this.rows),
      explanations: this.explanations,
      nestedCalls: new NestedCalls(),
      // Above the part that is sent all the same, so that refusals are certain.
      random: () => {
        this.draws += 1;
        return 0.2 + 0.8 * random();
      },
      createAttemptId: () => String(this.chosen.length),
      count: name => this.counts.push(name),
      isQuarantined: () => false,
      sendAttempt: async ({target}): Promise<AttemptAnswer> => {
        this.chosen.push(target.nodeId);
        return {status: 200, headers: {}, body: EMPTY_BODY};
      },
    };
    this.entry = new Entry(options);
  }

  createRequest(): ServiceRequest {
    const now = performance.now();
    const id = `request-${now}`;
    return {...createLookup(now + 1000), id, targetAt: now + 400};
  }

  /** Sends a request; returns the refusal, if any, in place of an error. */
  async send(): Promise<unknown> {
    const {signal} = new AbortController();
    const request = this.createRequest();
    return this.entry
      .handleRequest(request, signal)
      .catch((error: unknown) => error);
  }

  /** Asks where a request would go. */
  ask(): RouteExplanation {
    return this.entry.describeRoute(this.createRequest(), performance.now());
  }

  /** Prints all state, private fields included. */
  printState(): string {
    const limits = {depth: Infinity, maxArrayLength: null, showHidden: true};
    return inspect(this, {...limits, maxStringLength: null, sorted: true});
  }

  /** Makes the figures of all workers recent. */
  refreshFigures(): void {
    for (const row of this.rows)
      if (row.observed) row.observed = {...row.observed, at: performance.now()};
  }
}

describe('an entry that is asked', () => {
  beforeEach(() => void vi.useFakeTimers({toFake: ['performance']}));
  afterEach(() => void vi.useRealTimers());

  const STATES = [
    {name: 'idle workers', home: {}, away: {}, event: 'choices.near'},
    {
      name: 'a share that leaves',
      home: {figures: FULL},
      away: {},
      event: 'choices.far',
    },
    {
      name: 'refusals',
      home: {figures: FULL},
      away: {figures: FULL},
      event: 'refusals.at-entry',
    },
  ];

  // Guards against an explanation that steps the share, uses up a promise,
  // counts, draws, or creates state for a service without requests.
  it.each(STATES)('has the same state afterwards: $name', async one => {
    const asked = new AskedEntry(one.home, one.away);
    const first = asked.printState();
    asked.ask();
    expect(asked.printState()).toBe(first);
    for (let count = 0; count < 80; count++) {
      vi.advanceTimersByTime(100);
      asked.refreshFigures();
      await asked.send();
    }
    vi.advanceTimersByTime(150);
    const before = asked.printState();
    asked.ask();
    expect(asked.printState()).toBe(before);
    expect(asked.draws).toBeGreaterThan(0);
    expect(asked.counts).toContain(one.event);
  });

  // Guards against later choices that depend on whether an operator asked.
  it.each(STATES)('decides as one that is not: $name', async one => {
    const asked = new AskedEntry(one.home, one.away);
    const other = new AskedEntry(one.home, one.away);
    for (let count = 0; count < 80; count++) {
      vi.advanceTimersByTime(100);
      asked.refreshFigures();
      other.refreshFigures();
      asked.ask();
      const end = await asked.send();
      expect(end).toEqual(await other.send());
    }
    expect(asked.chosen).toEqual(other.chosen);
    expect(asked.counts).toEqual(other.counts);
  });

  // Guards against an explanation that differs from what the next request does.
  it.each(STATES)('says what the next request does: $name', async one => {
    const asked = new AskedEntry(one.home, one.away);
    for (let count = 0; count < 80; count++) {
      vi.advanceTimersByTime(100);
      asked.refreshFigures();
      const {refusal, share, workers} = asked.ask();
      const end = await asked.send();
      const {id} = asked.createRequest();
      const steps = asked.explanations.find(id)?.steps ?? [];
      const attempt = steps.find(({kind}) => kind === 'attempt');
      if (refusal) {
        const {reason, detail} = refusal;
        expect(end).toMatchObject({reason, detail});
        continue;
      }
      expect(attempt?.detail).toMatchObject({share: share?.share});
      const chosen = workers.find(({node}) => node === asked.chosen.at(-1));
      expect(chosen?.ruledOutBy).toBe(null);
    }
  });
});

// Guards against an explanation that takes the turn of a request in the split
// of a route among services.
it('the next service of a route is told without its turn being taken', () => {
  const targets = [
    {service: 'one', weight: 1},
    {service: 'two', weight: 2},
  ];
  const rule = {name: 'route', targets} as unknown as RouteRule;
  const splitter = new RouteSplitter(seedrandom('1'));
  expect(splitter.findNextService(rule)).toBe('two');
  for (let count = 0; count < 20; count++) {
    const next = count === 0 ? undefined : splitter.findNextService(rule);
    const chosen = splitter.chooseService(rule);
    if (next !== undefined) expect(next).toBe(chosen);
  }
});
