/**
 * Folding the platform log: of racing records the first must win, and any
 * interleaving, duplication and restart must lead to the same state.
 */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {LoggedRecord, LogRecord} from '../protocol/records.js';
import {foldRecord} from '../state/fold-record.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {EMPTY_STATE} from '../state/replicated-state.js';
import {findSnapshot, parseSnapshot} from '../state/snapshot.js';
import {StateStore} from '../state/state-store.js';
import {DEFAULT_CONFIGURATION} from './deployment-fixture.js';

const SEED = 20261204;
const RUNS = 300;

type RecordFields = Partial<LogRecord> & {kind: LogRecord['kind']};

let lastId = 0;

/** Builds a record with defaults for the fields that don't matter here. */
function buildRecord(fields: RecordFields): LogRecord {
  const base = {author: 'test', writtenAtMs: 1, buildsOn: 0};
  return {id: `record-${++lastId}`, ...base, ...fields} as LogRecord;
}

function toLogged(records: readonly unknown[]): LoggedRecord[] {
  return records.map((record, offset) => ({
    offset,
    data: typeof record === 'string' ? record : JSON.stringify(record),
  }));
}

function foldAll(records: readonly LoggedRecord[]): {
  state: ReplicatedState;
  outcomes: string[];
} {
  let state = EMPTY_STATE;
  const outcomes: string[] = [];
  for (const logged of records) {
    const result = foldRecord(state, logged);
    expect(result.state.version).toBeGreaterThanOrEqual(state.version);
    outcomes.push(result.outcome);
    state = result.state;
  }
  return {state, outcomes};
}

const publish = (buildsOn: number): LogRecord =>
  buildRecord({
    kind: 'configuration',
    buildsOn,
    configuration: DEFAULT_CONFIGURATION,
  });
const setOut = (out: boolean, buildsOn: number): LogRecord =>
  buildRecord({kind: 'data-centre', dataCentre: 'arusha', out, buildsOn});
const startMove = (moveId: string, buildsOn: number): LogRecord =>
  buildRecord({
    kind: 'move-start',
    service: 'kona-desk',
    moveId,
    fromVersion: 'v1',
    toVersion: 'v2',
    doneByMs: 100,
    buildsOn,
  });
const step = (
  moveId: string,
  sharePercent: number,
  buildsOn: number,
): LogRecord =>
  buildRecord({
    kind: 'move-step',
    service: 'kona-desk',
    moveId,
    sharePercent,
    evidence: 'good',
    buildsOn,
  });
const endMove = (
  moveId: string,
  outcome: 'done' | 'taken-back',
  buildsOn: number,
): LogRecord =>
  buildRecord({
    kind: 'move-end',
    service: 'kona-desk',
    moveId,
    outcome,
    evidence: 'seen',
    buildsOn,
  });
const listHomes = (buildsOn: number): LogRecord =>
  buildRecord({
    kind: 'home-list',
    service: 'kona-desk',
    homes: [{nodeId: 'a', incarnation: 1, peerAddress: '127.0.0.1:1'}],
    handedOver: [],
    buildsOn,
  });
const join = (incarnation: number): LogRecord =>
  buildRecord({
    kind: 'join',
    nodeId: 'a',
    incarnation,
    peerAddress: '127.0.0.1:1',
  });
const duplicated = publish(0);

interface FoldCase {
  readonly name: string;
  readonly records: readonly unknown[];
  readonly outcomes: readonly string[];
}

describe('the first of racing records in log order wins', () => {
  const cases: FoldCase[] = [
    {
      name: 'two configurations that build on the same one',
      records: [publish(0), publish(0), publish(1)],
      outcomes: ['accepted', 'superseded', 'accepted'],
    },
    {
      name: 'a configuration that builds on a missing one',
      records: [publish(3)],
      outcomes: ['superseded'],
    },
    {
      name: 'a duplicate append',
      records: [duplicated, duplicated, publish(1)],
      outcomes: ['accepted', 'duplicate', 'accepted'],
    },
    {
      name: 'two operators take a data centre out and in',
      records: [setOut(true, 0), setOut(false, 0), setOut(false, 1)],
      outcomes: ['accepted', 'superseded', 'accepted'],
    },
    {
      name: 'a second move while one runs',
      records: [startMove('m1', 0), startMove('m2', 0), startMove('m3', 1)],
      outcomes: ['accepted', 'superseded', 'superseded'],
    },
    {
      name: 'a step that lowers or keeps the share',
      records: [
        startMove('m1', 0),
        step('m1', 20, 1),
        step('m1', 20, 2),
        step('m1', 5, 2),
        step('m1', 50, 2),
      ],
      outcomes: [
        'accepted',
        'accepted',
        'superseded',
        'superseded',
        'accepted',
      ],
    },
    {
      name: 'racing steps',
      records: [startMove('m1', 0), step('m1', 5, 1), step('m1', 50, 1)],
      outcomes: ['accepted', 'accepted', 'superseded'],
    },
    {
      name: 'nothing after a move was taken back',
      records: [
        startMove('m1', 0),
        endMove('m1', 'taken-back', 1),
        step('m1', 50, 2),
        endMove('m1', 'done', 2),
        startMove('m1', 2),
        startMove('m2', 2),
      ],
      outcomes: [
        'accepted',
        'accepted',
        'superseded',
        'superseded',
        'superseded',
        'accepted',
      ],
    },
    {
      name: 'nothing after a move was done',
      records: [
        startMove('m1', 0),
        endMove('m1', 'done', 1),
        endMove('m1', 'taken-back', 2),
      ],
      outcomes: ['accepted', 'accepted', 'superseded'],
    },
    {
      name: 'a preceding step does not prevent taking back',
      records: [
        startMove('m1', 0),
        step('m1', 50, 1),
        endMove('m1', 'taken-back', 1),
      ],
      outcomes: ['accepted', 'accepted', 'accepted'],
    },
    {
      name: 'done must build on the newest step',
      records: [
        startMove('m1', 0),
        step('m1', 50, 1),
        endMove('m1', 'done', 1),
      ],
      outcomes: ['accepted', 'accepted', 'superseded'],
    },
    {
      name: 'a record of another move',
      records: [startMove('m1', 0), step('m0', 50, 1)],
      outcomes: ['accepted', 'superseded'],
    },
    {
      name: 'home lists by epoch',
      records: [listHomes(0), listHomes(0), listHomes(1)],
      outcomes: ['accepted', 'superseded', 'accepted'],
    },
    {
      name: 'a late join record of an older process',
      records: [join(2), join(1), join(3)],
      outcomes: ['accepted', 'superseded', 'accepted'],
    },
    {
      name: 'malformed records between valid ones',
      records: [
        'no json',
        publish(0),
        '{"kind":"dance"}',
        'null',
        buildRecord({kind: 'configuration', configuration: {profiles: 1}}),
        publish(1),
      ],
      outcomes: [
        'malformed',
        'accepted',
        'malformed',
        'malformed',
        'malformed',
        'accepted',
      ],
    },
  ];
  it.each(cases)('$name', ({records, outcomes}) => {
    const folded = foldAll(toLogged(records));
    expect(folded.outcomes).toEqual(outcomes);
    const countOf = (outcome: string): number =>
      outcomes.filter(each => each === outcome).length;
    expect(folded.state.version).toBe(countOf('accepted'));
    expect(folded.state.malformedCount).toBe(countOf('malformed'));
  });
});

describe('ended home lists are kept while a key may be resent', () => {
  const hourMs = 3_600_000;
  const cases = [
    {name: 'an hour apart', apartMs: hourMs, count: 200, firstKept: 80},
    {name: 'a second apart', apartMs: 1000, count: 200, firstKept: 1},
    {name: 'few, days apart', apartMs: 100 * hourMs, count: 64, firstKept: 1},
    {name: 'days apart', apartMs: 100 * hourMs, count: 90, firstKept: 19},
  ];
  it.each(cases)('$name', ({apartMs, count, firstKept}) => {
    const state = foldLists(count, index => index * apartMs);
    const lists = state.homeLists['kona-desk']!;
    expect(lists.at(-1)!.epoch).toBe(count);
    expect(lists[0]!.epoch).toBe(firstKept);
    expect(lists).toHaveLength(count - firstKept + 1);
  });

  const clocks = [
    {name: 'one writer far ahead', odd: 150, atMs: 10_000 * hourMs},
    {name: 'one writer far behind', odd: 150, atMs: 0},
    {name: 'the first writer far ahead', odd: 0, atMs: 10_000 * hourMs},
  ];
  it.each(clocks)('$name: no list is dropped too early', ({odd, atMs}) => {
    const state = foldLists(200, index =>
      index === odd ? atMs : 1000 * index,
    );
    expect(state.homeLists['kona-desk']).toHaveLength(200);
  });

  it('a list is kept when the writer that ended it had a clock far behind', () => {
    const quietUntil = 20;
    const state = foldLists(200, index => {
      if (index < quietUntil) return index;
      return index === quietUntil ? 0 : 100 * hourMs;
    });
    const kept = state.homeLists['kona-desk']!.map(list => list.epoch);
    // The record with the wrong timestamp ended the list of epoch 20.
    expect(kept).toContain(quietUntil);
  });

  function foldLists(
    count: number,
    computeTime: (index: number) => number,
  ): ReplicatedState {
    const records = [...Array(count).keys()].map(index => ({
      ...listHomes(index),
      writtenAtMs: computeTime(index),
    }));
    return foldAll(toLogged(records)).state;
  }
});

const recordArbitrary = fc.oneof(
  fc.nat(4).map(publish),
  fc.tuple(fc.boolean(), fc.nat(4)).map(([out, on]) => setOut(out, on)),
  fc.tuple(fc.nat(3), fc.nat(6)).map(([id, on]) => startMove(`m${id}`, on)),
  fc
    .tuple(fc.nat(3), fc.nat(100), fc.nat(6))
    .map(([id, share, on]) => step(`m${id}`, share, on)),
  fc
    .tuple(fc.nat(3), fc.boolean(), fc.nat(6))
    .map(([id, done, on]) =>
      endMove(`m${id}`, done ? 'done' : 'taken-back', on),
    ),
  fc.nat(3).map(listHomes),
  fc.nat(5).map(join),
  fc.constant('malformed'),
);

/** Logs in which some records are duplicated. */
const logArbitrary = fc
  .array(fc.tuple(recordArbitrary, fc.nat(3)), {maxLength: 40})
  .map(entries =>
    toLogged(
      entries.flatMap(([record, copies]) =>
        copies === 0 ? [record, record] : [record],
      ),
    ),
  );

describe('whatever way the records come, the state is the same', () => {
  it('any chunks in any order, repeated, with restarts and snapshots', () => {
    const chunkArbitrary = fc.record({
      from: fc.nat(60),
      length: fc.nat(12),
      action: fc.constantFrom('push', 'push', 'push', 'restart', 'snapshot'),
    });
    const property = fc.property(
      logArbitrary,
      fc.array(chunkArbitrary, {maxLength: 60}),
      (records, chunks) => {
        const expected = foldAll(records).state;
        let store = new StateStore(undefined);
        let snapshot: ReplicatedState = EMPTY_STATE;
        for (const {from, length, action} of chunks) {
          const before = store.current;
          if (action === 'push') {
            store.applyRecords(records.slice(from, from + length));
            expect(store.current.version).toBeGreaterThanOrEqual(
              before.version,
            );
          } else if (action === 'restart') {
            store = new StateStore(undefined);
          } else {
            store.applySnapshot(parseSnapshot(toJson(snapshot))!);
            snapshot = store.current;
          }
        }
        store.applyRecords(records);
        expect(toJson(store.current)).toEqual(toJson(expected));
      },
    );
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('a reader that starts at a snapshot ends where a full reader does', () => {
    const property = fc.property(
      logArbitrary,
      fc.nat(60),
      fc.nat(60),
      (records, at, expired) => {
        const upToOffset = Math.min(at, records.length);
        const state = foldAll(records.slice(0, upToOffset)).state;
        const snapshot = buildRecord({kind: 'snapshot', upToOffset, state});
        const log = toLogged([...records.map(({data}) => data), snapshot]);
        const firstKept = Math.min(expired, log.length - 1);
        const found = findSnapshot(log.slice(firstKept), firstKept);
        // A snapshot must not be used when records after it have expired.
        expect(found !== undefined).toBe(firstKept <= upToOffset);
        const store = new StateStore(undefined);
        if (found) store.applySnapshot(found);
        store.applyRecords(log);
        expect(toJson(store.current)).toEqual(toJson(foldAll(log).state));
      },
    );
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});

function toJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value)) as unknown;
}
