/** Where a request would go and why, by what an entry knows. */
import {describe, expect, it} from 'vitest';
import {CapacityRefusals} from '../coordination/refusals/capacity-refusals.js';
import {DataCentreSpill} from '../coordination/routing/data-centre-spill.js';
import type {RouteExplanation} from '../coordination/routing/route-explanation.js';
import {buildRouteExplanation} from '../coordination/routing/route-explanation.js';
import type {Profile} from '../protocol/configuration.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import type {WorkerRow} from '../state/worker-table.js';
import {createLookup} from './stand-ins/lookup.js';
import {
  createOptions,
  createRow,
  createRows,
  FULL,
  NOW,
  PROFILE,
} from './stand-ins/route-inputs.js';
import {IDLE} from './stand-ins/spill-loop.js';

const ANY: Profile = {...PROFILE, locality: {mode: 'any'}};

/** Explains a route at an entry that has observed its routes. */
function describeRoute(
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
    random: refuseDraw,
    count: refuseCount,
    countSenders: () => ({workers: 8, entries: 8}),
  });
  for (const ageMs of [6000, 0])
    capacityRefusals.kinds.record(request, NOW - ageMs);
  const spill = new DataCentreSpill({
    service: 'service',
    count: refuseCount,
    report: refuseCount,
  });
  const serviceState = {spill, capacityRefusals, choiceCount: 0};
  const options = createOptions(rows);
  return buildRouteExplanation({options, request, profile, serviceState}, NOW);
}

function refuseDraw(): number {
  throw new Error("a random number of the entry's generator was drawn");
}

function refuseCount(): void {
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
      const {workers} = describeRoute([...others, one], profile, request);
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
      const {refusal} = describeRoute(rows, profile, request);
      expect(refusal?.reason).toBe(expected);
      if (!expected) return;
      expect(refusal?.retryAfterMs).toBeGreaterThan(0);
      expect(refusal?.retryAfterMs).toBeLessThanOrEqual(1000);
    },
  );
});
