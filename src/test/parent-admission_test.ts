/**
 * Tests the admission of requests whose nested calls fail. A called service
 * that bears a number of calls per second is emulated on a virtual clock; each
 * admitted parent makes its calls, and those beyond that number are refused.
 */
import {describe, expect, it} from 'vitest';
import type {ParentRequest} from '../coordination/admission/parent-admission.js';
import {
  formatKind,
  ParentAdmission,
} from '../coordination/admission/parent-admission.js';
import {NestedCalls} from '../coordination/nested-calls.js';
import {findRetryCost} from '../coordination/refusals/retry-rules.js';
import {AttemptError} from '../protocol/attempt.js';
import type {RefusalError} from '../protocol/reasons.js';
import {Reason} from '../protocol/reasons.js';
import {Verdict} from '../protocol/verdict.js';
import {createLookup} from './stand-ins/lookup.js';

const CALLED = 'called';
const SERVICE = 'front';
const PARENTS_PER_SECOND = 40;
const GAP_MS = 1000 / PARENTS_PER_SECOND;
/** Smallest part of a kind that is admitted. */
const MIN_SHARE = 0.25;

const URGENT: ParentRequest = {service: SERVICE, route: 'urgent', rank: 1};
const OTHER: ParentRequest = {service: SERVICE, route: 'other', rank: 2};
const CHILDLESS: ParentRequest = {service: SERVICE, route: 'plain', rank: 3};

class Bench {
  now = 0;
  readonly refusals: RefusalError[] = [];
  readonly lines: Array<Readonly<Record<string, string | number>>> = [];
  readonly admission = new ParentAdmission({
    count: () => {},
    report: (text, context) => void this.lines.push(context),
  });
  private allowance = 0;

  /**
   * Sends all kinds for some seconds.
   *
   * @param capacity calls per second that the called service bears.
   * @returns Parts of each kind that were admitted in each second.
   */
  run(
    seconds: number,
    capacity: number,
    kinds: readonly ParentRequest[],
  ): Array<Record<string, number>> {
    return Array.from({length: seconds}, () => {
      const admitted: Record<string, number> = {};
      for (let index = 0; index < PARENTS_PER_SECOND; index++) {
        this.now += GAP_MS;
        const calls = (capacity * GAP_MS) / 1000;
        this.allowance = Math.min(5, this.allowance + calls);
        for (const kind of kinds) {
          admitted[kind.route] ??= 0;
          if (this.send(kind)) admitted[kind.route]! += 1 / PARENTS_PER_SECOND;
        }
      }
      return admitted;
    });
  }

  private send(kind: ParentRequest): boolean {
    try {
      this.admission.admit(kind, this.now);
    } catch (error) {
      this.refusals.push(error as RefusalError);
      return false;
    }
    if (kind !== CHILDLESS) this.recordCall(formatKind(SERVICE, kind.route));
    return true;
  }

  private recordCall(kind: string): void {
    this.admission.recordCall(CALLED, kind, this.now);
    const isServed = this.allowance >= 1;
    if (isServed) this.allowance -= 1;
    const outcome = isServed ? 'served' : 'refused';
    this.admission.recordOutcome(CALLED, outcome, this.now);
  }
}

// Guards against kinds that make no calls and are taken for parents, because
// another kind that does runs beside them.
describe('a call is attributed', () => {
  const CASES = [
    {name: 'to the only kind that runs', runs: ['urgent'], isFound: true},
    {name: 'to no kind of several', runs: ['urgent', 'plain'], isFound: false},
    {name: 'to no kind that ends before it', runs: [], isFound: false},
  ];
  it.each(CASES)('$name', ({runs, isFound}) => {
    const kinds: Array<string | undefined> = [];
    const nestedCalls = new NestedCalls({
      recordCall: (called, kind) => void kinds.push(kind),
      recordOutcome: () => {},
    });
    for (const run of [...runs, ...runs]) nestedCalls.startRun(1000, run);
    nestedCalls.startRun(100, 'short');
    nestedCalls.startCall(CALLED, 500, 0);
    expect(kinds).toEqual([isFound ? 'urgent' : undefined]);
  });
});

// Guards against entries that send a parent to one gate after the other, each
// of which thins the kind by itself.
it('an entry sends a refused parent to no other gate', () => {
  const refusal = new AttemptError(Reason.CALLS_FAILING, Verdict.NOT_RUN, '');
  expect(findRetryCost(createLookup(), refusal, false, true)).toBeUndefined();
});

describe('parents of calls to a saturated service', () => {
  const kinds = [URGENT, OTHER, CHILDLESS];

  // Guards against runs that hold slots only to fail with their calls, against
  // kinds that are starved, and against one refused before a less urgent one.
  it.each([
    {name: 'for half of the calls', capacity: 40},
    {name: 'for a fifth of the calls', capacity: 16},
    {name: 'for no call', capacity: 0},
  ])('are thinned by rank when it has capacity $name', ({capacity}) => {
    const bench = new Bench();
    bench.run(5, 1000, kinds);
    const seconds = bench.run(20, capacity, kinds);
    const last = seconds.slice(10);
    for (const admitted of last) {
      expect(admitted['plain']).toBeCloseTo(1);
      expect(admitted['other']).toBeLessThan(0.9);
      expect(admitted['other']).toBeGreaterThanOrEqual(MIN_SHARE - 0.05);
      expect(admitted['urgent']).toBeGreaterThanOrEqual(admitted['other']!);
      // The more urgent kind is thinned after the other one only.
      const isOtherThinned = admitted['other']! < MIN_SHARE + 0.1;
      if (!isOtherThinned) expect(admitted['urgent']).toBeGreaterThan(0.9);
    }
    if (capacity === 0) expect(last[9]!['urgent']).toBeCloseTo(MIN_SHARE, 1);
  });

  // Guards against an admission that swings between all and few.
  it('are admitted at a steady rate', () => {
    const bench = new Bench();
    bench.run(5, 1000, kinds);
    const last = bench.run(40, 50, kinds).slice(20);
    const parts = last.map(({urgent, other}) => urgent! + other!);
    expect(Math.max(...parts) - Math.min(...parts)).toBeLessThan(0.4);
  });

  // Guards against parents that stay refused after the service has recovered.
  it('are all admitted again when calls succeed', () => {
    const bench = new Bench();
    bench.run(5, 1000, kinds);
    bench.run(10, 0, kinds);
    const seconds = bench.run(15, 1000, kinds);
    const last = seconds.at(-1)!;
    expect(last['urgent']).toBeCloseTo(1);
    expect(last['other']).toBeCloseTo(1);
    for (const [index, {urgent, other}] of seconds.entries()) {
      const before = seconds[index - 1];
      if (before)
        expect(urgent! + other!).toBeGreaterThan(
          0.9 * (before['urgent']! + before['other']!),
        );
    }
  });

  // Guards against refusals after single failures.
  it('are admitted while few calls were seen', () => {
    const bench = new Bench();
    for (let index = 0; index < 20; index++) {
      bench.now += 1000;
      bench.admission.admit(URGENT, bench.now);
      bench.admission.recordCall(CALLED, 'front/urgent', bench.now);
      bench.admission.recordOutcome(CALLED, 'refused', bench.now);
    }
    expect(bench.refusals).toEqual([]);
  });

  // Guards against callers that are told to come back when nothing will have
  // changed, and against a log line per request.
  it('get a refusal before they run, with a time and a cause', () => {
    const bench = new Bench();
    bench.run(5, 1000, kinds);
    bench.run(10, 0, kinds);
    for (const {verdict, reason, retryAfterMs, detail} of bench.refusals) {
      expect([verdict, reason]).toEqual(['not-run', 'calls-failing']);
      expect(retryAfterMs).toBeGreaterThan(0);
      expect(retryAfterMs).toBeLessThanOrEqual(4 * GAP_MS + 250);
      expect(detail).toMatch(/^calls to called: \d+ % of \d+ failed lately/);
    }
    expect(bench.lines.length).toBeLessThanOrEqual(2 * 15);
  });
});
