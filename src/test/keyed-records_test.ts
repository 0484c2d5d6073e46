/**
 * A known operator record is never replaced by an older one, also when a store
 * that was restored from an older copy gives offsets out again.
 */
import {describe, expect, it} from 'vitest';
import type {KeyedPage, KeyedTopic} from '../coordination/keyed-follower.js';
import {
  KeyedFollower,
  StoreUnavailableError,
} from '../coordination/keyed-follower.js';
import {waitFor} from '../measure/wait-for.js';
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

/** A topic that answers reads from a script. */
class ScriptedTopic implements KeyedTopic {
  newestReads = 0;
  /** Longest wait of each read by offset, in milliseconds. */
  readonly waits: number[] = [];

  constructor(
    private readonly newest: KeyedSnapshot[],
    private readonly pages: Array<
      KeyedPage | undefined | 'unavailable' | 'silent'
    >,
  ) {}

  async readNewest(): Promise<KeyedSnapshot> {
    this.newestReads += 1;
    return this.newest.length > 1 ? this.newest.shift()! : this.newest[0]!;
  }

  read(
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<KeyedPage | undefined> {
    this.waits.push(waitMs);
    const page = this.pages.length > 0 ? this.pages.shift() : 'silent';
    if (page === 'unavailable') {
      return Promise.reject(new StoreUnavailableError('unavailable'));
    }
    if (page !== 'silent') return Promise.resolve(page);
    return new Promise((resolve, reject) => {
      const fail = (): void => reject(new StoreUnavailableError('aborted'));
      signal?.addEventListener('abort', fail, {once: true});
    });
  }
}

const FIRST: KeyedSnapshot = {
  records: [{key: 'a', era: 0, offset: 0, value: '1'}],
  end: {era: 0, offset: 1},
};
const LATER: KeyedSnapshot = {
  records: [{key: 'a', era: 0, offset: 4, value: '2'}],
  end: {era: 0, offset: 5},
};

/** After a restore: the new record has an offset that was read before. */
const REWRITTEN: KeyedSnapshot = {
  records: [{key: 'a', era: 2, offset: 0, value: '2'}],
  end: {era: 2, offset: 1},
};

/** After an earlier restore. */
const RESTORED_COPY: KeyedSnapshot = {
  records: [{key: 'a', era: 1, offset: 0, value: '0'}],
  end: {era: 1, offset: 1},
};

interface FollowCase {
  readonly name: string;
  readonly newest: KeyedSnapshot[];
  readonly pages: Array<KeyedPage | undefined | 'unavailable' | 'silent'>;
  readonly checksNow?: boolean;
}

describe('following a topic', () => {
  const cases: readonly FollowCase[] = [
    {
      name: 'a record is appended',
      newest: [FIRST],
      pages: [
        {
          records: [{key: 'a', era: 0, offset: 1, value: '2'}],
          next: {era: 0, offset: 2},
          end: {era: 0, offset: 2},
        },
      ],
    },
    {
      name: 'the next records are no longer in the store',
      newest: [FIRST, LATER],
      pages: [undefined],
    },
    {
      name: 'the store is unavailable for two reads',
      newest: [FIRST],
      pages: [
        'unavailable',
        'unavailable',
        {
          records: [{key: 'a', era: 0, offset: 1, value: '2'}],
          next: {era: 0, offset: 2},
          end: {era: 0, offset: 2},
        },
      ],
    },
    {
      name: 'a read stalls and another node has newer records',
      newest: [FIRST, LATER],
      pages: ['silent'],
      checksNow: true,
    },
    {
      name: 'the store was restored and lacks the next offset',
      newest: [FIRST, REWRITTEN],
      pages: [undefined],
    },
    {
      name: 'a read from before a restore gets records of reused offsets',
      newest: [FIRST, REWRITTEN],
      pages: [
        {
          records: [{key: 'b', era: 2, offset: 1, value: 'x'}],
          next: {era: 2, offset: 2},
          end: {era: 2, offset: 2},
        },
      ],
    },
    {
      name: 'a read from before a restore gets no record',
      newest: [FIRST, REWRITTEN],
      pages: [
        {
          records: [],
          next: {era: 2, offset: 1},
          end: {era: 2, offset: 1},
        },
      ],
    },
    {
      name: 'an answer of an earlier era comes late',
      newest: [FIRST, RESTORED_COPY, FIRST, REWRITTEN],
      pages: [undefined, undefined],
    },
  ];
  it.each(cases)('$name: the newest record is known', async row => {
    const records = new KeyedRecords();
    const follower = new KeyedFollower({
      topic: new ScriptedTopic([...row.newest], [...row.pages]),
      records,
      pollWaitMs: 1000,
      random: () => 0,
      handleAvailability: () => {},
      report: () => {},
    });
    follower.start();
    await waitFor('the first record', () => records.find('a') !== undefined);
    if (row.checksNow) {
      await new Promise(resolve => setImmediate(resolve));
      follower.checkNow();
    }
    await waitFor('the newest', () => records.find('a')?.value === '2');
    follower.stop();
  });

  // Guards against a node that learns only at the next record, or at the end of
  // its wait, that the store was restored while it was away.
  it('the first read after an outage does not wait', async () => {
    const topic = new ScriptedTopic(
      [FIRST],
      ['unavailable', {records: [], next: FIRST.end, end: FIRST.end}],
    );
    const follower = new KeyedFollower({
      topic,
      records: new KeyedRecords(),
      pollWaitMs: 1000,
      random: () => 0,
      handleAvailability: () => {},
      report: () => {},
    });
    follower.start();
    await waitFor('three reads', () => topic.waits.length === 3);
    follower.stop();
    expect(topic.waits).toEqual([1000, 0, 1000]);
  });
});
