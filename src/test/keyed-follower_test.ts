/**
 * Following a topic of the store: records appended, lost, restored from an older
 * copy, or kept back by a connection gone silent.
 */
import {describe, expect, it} from 'vitest';
import type {KeyedPage, KeyedTopic} from '../coordination/keyed-follower.js';
import {
  KeyedFollower,
  StoreUnavailableError,
} from '../coordination/keyed-follower.js';
import {waitMs} from '../protocol/backoff.js';
import {waitFor} from '../measure/wait-for.js';
import type {KeyedSnapshot} from '../state/keyed-records.js';
import {KeyedRecords} from '../state/keyed-records.js';

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
    isPolling: () => true,
    handleAnswer: () => (events.answers += 1),
    handleSilentPoll: () => (events.silentPolls += 1),
    handleAvailability: () => {},
    report: () => {},
  });
}

const SLOW_READ_MS = 200;

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

  // Guards against a node that learns only at the next record, or at the end of
  // its wait, that the store was restored while it was away.
  it('the first read after an outage does not wait', async () => {
    const topic = new ScriptedTopic(
      [FIRST],
      ['unavailable', {records: [], next: FIRST.end, end: FIRST.end}],
    );
    const follower = createFollower(topic, new KeyedRecords());
    follower.start();
    await waitFor('three reads', () => topic.waits.length === 3);
    follower.stop();
    expect(topic.waits).toEqual([1000, 0, 1000]);
  });
});

/** A topic whose newest records take some time to read. */
class SlowTopic extends ScriptedTopic {
  async readNewest(signal?: AbortSignal): Promise<KeyedSnapshot> {
    const snapshot = await super.readNewest();
    await waitMs(SLOW_READ_MS, signal);
    if (signal?.aborted) throw new StoreUnavailableError('aborted');
    return snapshot;
  }
}

// Guards against a node that ends each read of a slow store for the next one,
// because it hears of later records from others all the time.
it('a read of the newest records goes on when others have later ones', async () => {
  const records = new KeyedRecords();
  const topic = new SlowTopic([FIRST], ['silent']);
  const follower = createFollower(topic, records);
  follower.start();
  const timer = setInterval(() => follower.checkNow(), SLOW_READ_MS / 2);
  await waitFor('the first record', () => records.find('a') !== undefined);
  clearInterval(timer);
  expect(records.find('a')).toEqual(FIRST.records[0]);
  follower.stop();
});

describe('a check beside a poll on a silent connection', () => {
  const cases = [
    {
      name: 'takes later records and repeats the poll',
      newest: [FIRST, LATER],
      check: {
        records: [{key: 'a', era: 0, offset: 1, value: '2'}],
        next: {era: 0, offset: 2},
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
      name: 'reads the newest records when the store was restored',
      newest: [FIRST, REWRITTEN],
      check: {records: [], next: REWRITTEN.end, end: REWRITTEN.end},
      value: '2',
      events: {answers: 2, silentPolls: 1},
    },
    {
      name: 'confirms the known records',
      newest: [FIRST],
      check: {records: [], next: {era: 0, offset: 1}, end: {era: 0, offset: 1}},
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
    await follower.checkTopic();
    await waitFor('the newest', () => records.find('a')?.value === value);
    await waitFor('all answers', () => seen.answers === events.answers);
    expect(seen).toEqual(events);
    follower.stop();
  });
});
