/**
 * A known operator record is never replaced by an older one, also when a store
 * that was restored from an older copy gives offsets out again.
 */
import {describe, expect, it} from 'vitest';
import type {KeyedRecord, KeyedSnapshot} from '../state/keyed-records.js';
import type {RecordPosition} from '../protocol/record-position.js';
import {KeyedRecords} from '../state/keyed-records.js';

const START: RecordPosition = {era: 0, offset: 0};
const RESTORED: RecordPosition = {era: 1, offset: 4};
/** Time that the records of earlier eras are kept. */
const REWRITE_TIME_MS = 20_000;

interface StepCase {
  readonly name: string;
  readonly steps: ReadonlyArray<
    | {records: KeyedRecord[]; end?: RecordPosition}
    | {snapshot: KeyedSnapshot}
    | {elapsedMs: number}
  >;
  readonly values: Record<string, string | undefined>;
}

describe('keyed records', () => {
  const cases: readonly StepCase[] = [
    {
      name: 'the later offset wins in any order',
      steps: [
        {records: [{key: 'a', era: 0, offset: 5, value: 'new'}]},
        {records: [{key: 'a', era: 0, offset: 3, value: 'old'}]},
      ],
      values: {a: 'new'},
    },
    {
      name: 'a snapshot without a key deletes it',
      steps: [
        {records: [{key: 'a', era: 0, offset: 1, value: 'x'}]},
        {snapshot: {records: [], end: {era: 0, offset: 4}}},
      ],
      values: {a: undefined},
    },
    {
      name: 'an old snapshot does not delete newer records',
      steps: [
        {records: [{key: 'a', era: 0, offset: 9, value: 'x'}]},
        {snapshot: {records: [], end: {era: 0, offset: 4}}},
      ],
      values: {a: 'x'},
    },
    {
      name: 'an older record does not restore a deleted key',
      steps: [
        {records: [{key: 'a', era: 0, offset: 7}]},
        {records: [{key: 'a', era: 0, offset: 6, value: 'x'}]},
      ],
      values: {a: undefined},
    },
    {
      name: 'a later era wins over a higher offset',
      steps: [
        {records: [{key: 'a', era: 0, offset: 5, value: 'lost'}]},
        {records: [{key: 'a', era: 1, offset: 3, value: 'new'}], end: RESTORED},
        {records: [{key: 'a', era: 0, offset: 9, value: 'late'}]},
      ],
      values: {a: 'new'},
    },
    {
      name: 'an offset that is given out again has a new record',
      steps: [
        {records: [{key: 'a', era: 0, offset: 3, value: 'lost'}]},
        {records: [{key: 'a', era: 1, offset: 3, value: 'new'}], end: RESTORED},
      ],
      values: {a: 'new'},
    },
    {
      name: 'a snapshot of an earlier era changes nothing',
      steps: [
        {records: [{key: 'a', era: 1, offset: 3, value: 'new'}], end: RESTORED},
        {
          snapshot: {
            records: [{key: 'b', era: 0, offset: 7, value: 'lost'}],
            end: {era: 0, offset: 9},
          },
        },
      ],
      values: {a: 'new', b: undefined},
    },
    {
      name: 'a record that is lost for a moment stays until it is written again',
      steps: [
        {records: [{key: 'a', era: 0, offset: 5, value: 'lost'}]},
        {snapshot: {records: [], end: RESTORED}},
        {elapsedMs: REWRITE_TIME_MS - 1},
      ],
      values: {a: 'lost'},
    },
    {
      name: 'a record that is not written again goes in the end',
      steps: [
        {records: [{key: 'a', era: 0, offset: 5, value: 'lost'}]},
        {snapshot: {records: [], end: RESTORED}},
        {elapsedMs: REWRITE_TIME_MS},
      ],
      values: {a: undefined},
    },
    {
      name: 'a record that is written again stays',
      steps: [
        {records: [{key: 'a', era: 0, offset: 5, value: 'lost'}]},
        {snapshot: {records: [], end: RESTORED}},
        {
          records: [{key: 'a', era: 1, offset: 4, value: 'lost'}],
          end: {era: 1, offset: 5},
        },
        {elapsedMs: REWRITE_TIME_MS},
      ],
      values: {a: 'lost'},
    },
    {
      name: 'a record that is deleted after the restore goes at once',
      steps: [
        {records: [{key: 'a', era: 0, offset: 5, value: 'lost'}]},
        {snapshot: {records: [], end: RESTORED}},
        {records: [{key: 'a', era: 1, offset: 4}], end: {era: 1, offset: 5}},
      ],
      values: {a: undefined},
    },
    {
      name: 'a second restore gives writers their time anew',
      steps: [
        {records: [{key: 'a', era: 0, offset: 5, value: 'lost'}]},
        {snapshot: {records: [], end: RESTORED}},
        {elapsedMs: REWRITE_TIME_MS - 1},
        {snapshot: {records: [], end: {era: 2, offset: 1}}},
        {elapsedMs: REWRITE_TIME_MS - 1},
      ],
      values: {a: 'lost'},
    },
    {
      name: 'a snapshot of the era still deletes what the era had',
      steps: [
        {records: [{key: 'a', era: 1, offset: 1, value: 'x'}], end: RESTORED},
        {snapshot: {records: [], end: RESTORED}},
      ],
      values: {a: undefined},
    },
  ];
  it.each(cases)('$name', ({steps, values}) => {
    let now = 0;
    const records = new KeyedRecords(() => now);
    for (const step of steps) {
      if ('snapshot' in step) records.applySnapshot(step.snapshot);
      else if ('elapsedMs' in step) now += step.elapsedMs;
      else records.applyRecords(step.records, step.end ?? START);
      records.expireLost();
    }
    for (const [key, value] of Object.entries(values)) {
      expect(records.find(key)?.value).toBe(value);
    }
  });
});
