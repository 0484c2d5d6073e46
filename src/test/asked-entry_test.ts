/** An entry that is asked for a route: nothing of it changes. */
import {inspect} from 'node:util';
import seedrandom from 'seedrandom';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {EntryOptions} from '../coordination/entry.js';
import {Entry} from '../coordination/entry.js';
import {NestedCalls} from '../coordination/nested-calls.js';
import {RouteSplitter} from '../coordination/route-split.js';
import type {RouteExplanation} from '../coordination/routing/route-explanation.js';
import type {AttemptAnswer} from '../protocol/attempt.js';
import type {RouteRule} from '../protocol/configuration.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import {EMPTY_BODY} from '../protocol/service-request.js';
import {Explanations} from '../state/explanations.js';
import type {WorkerRow} from '../state/worker-table.js';
import {createLookup} from './stand-ins/lookup.js';
import type {RowChange} from './stand-ins/route-inputs.js';
import {createOptions, createRows, FULL} from './stand-ins/route-inputs.js';

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
