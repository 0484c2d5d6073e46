/** A known operator record is never replaced by an older one. */
import {describe, expect, it} from 'vitest';
import type {KeyedPage, KeyedTopic} from '../coordination/keyed-follower.js';
import {
  KeyedFollower,
  StoreUnavailableError,
} from '../coordination/keyed-follower.js';
import {waitFor} from '../measure/wait-for.js';
import type {KeyedRecord, KeyedSnapshot} from '../state/keyed-records.js';
import {KeyedRecords} from '../state/keyed-records.js';

interface StepCase {
  readonly name: string;
  readonly steps: ReadonlyArray<
    {records: KeyedRecord[]; end?: number} | {snapshot: KeyedSnapshot}
  >;
  readonly values: Record<string, string | undefined>;
}

describe('keyed records', () => {
  const cases: readonly StepCase[] = [
    {
      name: 'the later offset wins in any order',
      steps: [
        {records: [{key: 'a', offset: 5, value: 'new'}]},
        {records: [{key: 'a', offset: 3, value: 'old'}]},
      ],
      values: {a: 'new'},
    },
    {
      name: 'a snapshot without a key deletes it',
      steps: [
        {records: [{key: 'a', offset: 1, value: 'x'}]},
        {snapshot: {records: [], end: {era: 0, offset: 4}}},
      ],
      values: {a: undefined},
    },
    {
      name: 'an old snapshot does not delete newer records',
      steps: [
        {records: [{key: 'a', offset: 9, value: 'x'}]},
        {snapshot: {records: [], end: {era: 0, offset: 4}}},
      ],
      values: {a: 'x'},
    },
    {
      name: 'an older record does not restore a deleted key',
      steps: [
        {records: [{key: 'a', offset: 7}]},
        {records: [{key: 'a', offset: 6, value: 'x'}]},
      ],
      values: {a: undefined},
    },
  ];
  it.each(cases)('$name', ({steps, values}) => {
    const records = new KeyedRecords();
    for (const step of steps) {
      if ('snapshot' in step) records.applySnapshot(step.snapshot);
      else records.applyRecords(step.records, step.end);
    }
    for (const [key, value] of Object.entries(values)) {
      expect(records.find(key)?.value).toBe(value);
    }
  });
});

/** A topic that answers reads from a script. */
class ScriptedTopic implements KeyedTopic {
  newestReads = 0;

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
  records: [{key: 'a', offset: 0, value: '1'}],
  end: {era: 0, offset: 1},
};
const LATER: KeyedSnapshot = {
  records: [{key: 'a', offset: 4, value: '2'}],
  end: {era: 0, offset: 5},
};

/** What a follower told its node. */
interface FollowerEvents {
  answers: number;
  silentPolls: number;
}

function createFollower(
  topic: KeyedTopic,
  records: KeyedRecords,
  events: FollowerEvents = {answers: 0, silentPolls: 0},
): KeyedFollower {
  return new KeyedFollower({
    topic,
    records,
    pollWaitMs: 1000,
    random: () => 0,
    handleAnswer: () => (events.answers += 1),
    handleSilentPoll: () => (events.silentPolls += 1),
    handleAvailability: () => {},
    report: () => {},
  });
}

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
          records: [{key: 'a', offset: 1, value: '2'}],
          next: 2,
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
          records: [{key: 'a', offset: 1, value: '2'}],
          next: 2,
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
  ];
  it.each(cases)('$name: the newest record is known', async row => {
    const records = new KeyedRecords();
    const topic = new ScriptedTopic([...row.newest], [...row.pages]);
    const follower = createFollower(topic, records);
    follower.start();
    await waitFor('the first record', () => records.find('a') !== undefined);
    if (row.checksNow) {
      await new Promise(resolve => setImmediate(resolve));
      follower.checkNow();
    }
    await waitFor('the newest', () => records.find('a')?.value === '2');
    follower.stop();
  });
});

describe('a check beside a poll on a silent connection', () => {
  const cases = [
    {
      name: 'takes later records and repeats the poll',
      newest: [FIRST, LATER],
      check: {
        records: [{key: 'a', offset: 1, value: '2'}],
        next: 2,
        end: {era: 0, offset: 2},
      },
      value: '2',
      events: {answers: 2, silentPolls: 1},
    },
    {
      name: 'reads the newest records when the next ones are gone',
      newest: [FIRST, LATER],
      check: undefined,
      value: '2',
      events: {answers: 2, silentPolls: 1},
    },
    {
      name: 'confirms the known records',
      newest: [FIRST],
      check: {records: [], next: 1, end: {era: 0, offset: 1}},
      value: '1',
      events: {answers: 2, silentPolls: 0},
    },
    {
      name: 'leaves the poll as it is when the store does not answer',
      newest: [FIRST],
      check: 'unavailable' as const,
      value: '1',
      events: {answers: 1, silentPolls: 0},
    },
  ];
  // Guards against a node that misses records until its poll times out.
  it.each(cases)('$name', async ({newest, check, value, events}) => {
    const records = new KeyedRecords();
    const seen = {answers: 0, silentPolls: 0};
    const topic = new ScriptedTopic([...newest], ['silent', check]);
    const follower = createFollower(topic, records, seen);
    follower.start();
    await waitFor('the first answer', () => seen.answers === 1);
    await new Promise(resolve => setImmediate(resolve));
    await follower.checkPoll();
    await waitFor('the newest', () => records.find('a')?.value === value);
    await waitFor('all answers', () => seen.answers === events.answers);
    expect(seen).toEqual(events);
    follower.stop();
  });
});
