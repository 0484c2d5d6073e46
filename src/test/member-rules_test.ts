/**
 * Membership rules that involve a single node: precedence of updates, gossip
 * per message, digests of member tables, suspicion timeouts and probe order.
 */
import {create} from '@bufbuild/protobuf';
import fc from 'fast-check';
import seedrandom from 'seedrandom';
import {describe, expect, it} from 'vitest';
import {
  compareBucketDigests,
  computeBucketDigests,
} from '../coordination/member-digest.js';
import {computeSendLimit, MemberGossip} from '../coordination/member-gossip.js';
import {ProbeOrder} from '../coordination/member-order.js';
import {
  computeSuspicionPeriods,
  Suspicions,
} from '../coordination/member-suspicion.js';
import {MemberTable} from '../coordination/member-table.js';
import type {Member} from '../protocol/membership_pb.js';
import {MemberSchema, MemberStatus} from '../protocol/membership_pb.js';

const {ALIVE, SUSPECT, LEAVING, DEAD} = MemberStatus;

interface Update {
  readonly nodeId?: string;
  readonly incarnation?: number;
  readonly sequence?: number;
  readonly status?: MemberStatus;
  readonly peerAddress?: string;
}

function buildMember(update: Update): Member {
  return create(MemberSchema, {
    nodeId: 'a',
    incarnation: 1,
    sequence: 1,
    status: ALIVE,
    peerAddress: '127.0.0.1:1',
    ...update,
  });
}

function buildTable(updates: readonly Update[]): MemberTable {
  const table = new MemberTable();
  for (const update of updates) table.apply(buildMember(update));
  return table;
}

interface WinCase {
  readonly name: string;
  readonly known: Update;
  readonly update: Update;
  readonly wins: boolean;
}

const winCases: WinCase[] = [
  {
    name: 'equal',
    known: {},
    update: {},
    wins: false,
  },
  {
    name: 'suspect against alive',
    known: {},
    update: {status: SUSPECT},
    wins: true,
  },
  {
    name: 'alive against suspect',
    known: {status: SUSPECT},
    update: {},
    wins: false,
  },
  {
    name: 'a refutation against suspect',
    known: {status: SUSPECT},
    update: {sequence: 2},
    wins: true,
  },
  {
    name: 'leaving against suspect',
    known: {status: SUSPECT},
    update: {status: LEAVING},
    wins: true,
  },
  {
    name: 'suspect against leaving',
    known: {status: LEAVING},
    update: {status: SUSPECT},
    wins: false,
  },
  {
    name: 'dead against leaving',
    known: {status: LEAVING},
    update: {status: DEAD},
    wins: true,
  },
  {
    name: 'a refutation against dead',
    known: {status: DEAD},
    update: {sequence: 2},
    wins: true,
  },
  {
    name: 'dead of an older sequence against alive',
    known: {sequence: 2},
    update: {status: DEAD},
    wins: false,
  },
  {
    name: 'a new process against a later sequence of the old one',
    known: {sequence: 9, status: LEAVING},
    update: {incarnation: 2, sequence: 0},
    wins: true,
  },
  {
    name: 'an update of an old process against a new one',
    known: {incarnation: 2, sequence: 0},
    update: {sequence: 9, status: DEAD},
    wins: false,
  },
];

describe('precedence of updates about a node', () => {
  it.each(winCases)('$name: $wins', ({known, update, wins}) => {
    const table = buildTable([known]);
    const changed = table.apply(buildMember(update));
    expect(changed.length).toBe(wins ? 1 : 0);
  });

  it('the same updates in any order lead to the same record', () => {
    const anyUpdate = fc.record({
      incarnation: fc.integer({min: 1, max: 3}),
      sequence: fc.integer({min: 0, max: 3}),
      status: fc.constantFrom(ALIVE, SUSPECT, LEAVING, DEAD),
    });
    const anyOrders = fc
      .array(anyUpdate, {minLength: 1, maxLength: 12})
      .chain(updates =>
        fc.tuple(
          fc.constant(updates),
          fc.shuffledSubarray(updates, {minLength: updates.length}),
        ),
      );
    const seedRecord: Update = {incarnation: 0, sequence: 0};
    fc.assert(
      fc.property(anyOrders, ([first, second]) => {
        const one = buildTable([seedRecord, ...first]).find('a')!;
        const other = buildTable([seedRecord, ...second]).find('a')!;
        expect(one).toEqual(other);
      }),
      {seed: 11, numRuns: 300},
    );
  });
});

interface AddressCase {
  readonly name: string;
  readonly updates: readonly Update[];
  readonly living: readonly string[];
}

const addressCases: AddressCase[] = [
  {
    name: 'a later process of another node takes over the address',
    updates: [{nodeId: 'a'}, {nodeId: 'b', incarnation: 2}],
    living: ['b'],
  },
  {
    name: 'an earlier process does not take back the address',
    updates: [{nodeId: 'b', incarnation: 2}, {nodeId: 'a'}],
    living: ['b'],
  },
  {
    name: 'nodes at different addresses are both alive',
    updates: [{nodeId: 'a'}, {nodeId: 'b', peerAddress: '127.0.0.1:2'}],
    living: ['a', 'b'],
  },
  {
    name: 'a dead status of an unknown node is not stored',
    updates: [{nodeId: 'a', status: DEAD}],
    living: [],
  },
];

describe('at most one node is alive at an address', () => {
  it.each(addressCases)('$name', ({updates, living}) => {
    const members = buildTable(updates).list();
    const alive = members.filter(({status}) => status !== DEAD);
    expect(alive.map(({nodeId}) => nodeId).sort()).toEqual([...living]);
  });
});

describe('gossiped updates', () => {
  it.each([1, 3, 12, 100, 2100])(
    'each is sent a bounded number of times among %s members',
    memberCount => {
      const gossip = new MemberGossip();
      gossip.enqueue(buildMember({}));
      let sends = 0;
      while (gossip.take(memberCount).length > 0) sends += 1;
      expect(sends).toBe(computeSendLimit(memberCount));
      expect(sends).toBeLessThanOrEqual(36);
    },
  );

  it('messages carry bounded bytes, and the least sent updates go first', () => {
    const gossip = new MemberGossip();
    for (let index = 0; index < 500; index++) {
      gossip.enqueue(buildMember({nodeId: `node-${index}`}));
    }
    const first = gossip.take(500).map(({nodeId}) => nodeId);
    const second = gossip.take(500).map(({nodeId}) => nodeId);
    expect(first.length).toBeLessThan(60);
    expect(first.filter(nodeId => second.includes(nodeId))).toEqual([]);
  });
});

describe('digests of member tables', () => {
  const base = Array.from({length: 100}, (unused, index) =>
    buildMember({nodeId: `node-${index}`, peerAddress: `127.0.0.1:${index}`}),
  );
  const changes = [
    {name: 'nothing', change: {}, buckets: 0},
    {name: 'a sequence', change: {sequence: 2}, buckets: 1},
    {name: 'a status', change: {status: SUSPECT}, buckets: 1},
    {name: 'a dead status', change: {status: DEAD}, buckets: 1},
  ];
  it.each(changes)('$name differs in $buckets', ({change, buckets}) => {
    const other = base.map((member, index) =>
      index === 50 ? create(MemberSchema, {...member, ...change}) : member,
    );
    const differing = compareBucketDigests(
      computeBucketDigests(base),
      computeBucketDigests(other),
    );
    expect(differing.length).toBe(buckets);
  });
});

describe('suspicions', () => {
  it.each([
    {members: 3, periods: 4},
    {members: 10, periods: 4},
    {members: 100, periods: 8},
    {members: 2100, periods: 14},
  ])('last $periods periods among $members', ({members, periods}) => {
    expect(computeSuspicionPeriods(2000, 500, members)).toBe(periods);
  });

  it('a later suspicion of the same node does not postpone the timeout', () => {
    const suspicions = new Suspicions();
    suspicions.start('a', 4);
    suspicions.start('a', 9);
    expect(suspicions.takeExpired(3)).toEqual([]);
    expect(suspicions.takeExpired(4)).toEqual(['a']);
  });
});

describe('probe order', () => {
  it('returns each member once per round', () => {
    const order = new ProbeOrder(seedrandom('order'));
    const nodeIds = new Set(['a', 'b', 'c', 'd', 'e']);
    for (let round = 0; round < 10; round++) {
      const asked = [...nodeIds].map(() => order.takeNext(nodeIds));
      expect(new Set(asked)).toEqual(nodeIds);
    }
  });
});
