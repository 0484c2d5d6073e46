/** Tests that the queue serves callers in turn, whatever each sends. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {CallerQueue} from '../coordination/admission/caller-queue.js';

interface OrderCase {
  readonly name: string;
  /** Caller and cost of each item, in order of arrival. */
  readonly items: ReadonlyArray<[string, number]>;
  readonly order: string;
}

describe('deficit round robin', () => {
  const cases: OrderCase[] = [
    {
      name: 'serves the items of one caller in order',
      items: [
        ['a', 1],
        ['a', 1],
      ],
      order: 'aa',
    },
    {
      name: 'alternates between two callers',
      items: [
        ['a', 1],
        ['a', 1],
        ['a', 1],
        ['b', 1],
        ['b', 1],
        ['b', 1],
      ],
      order: 'ababab',
    },
    {
      name: 'serves expensive requests less often',
      items: [
        ['a', 2],
        ['a', 2],
        ['b', 1],
        ['b', 1],
        ['b', 1],
        ['b', 1],
      ],
      order: 'babbab',
    },
  ];
  it.each(cases)('$name', ({items, order}) => {
    const queue = new CallerQueue<string>();
    for (const [caller, cost] of items) queue.append(caller, caller, cost);
    let taken = '';
    while (queue.length > 0) taken += queue.take();
    expect(taken).toBe(order);
  });

  it('serves a newly active caller before the backlog of another', () => {
    const queue = new CallerQueue<string>();
    for (let index = 0; index < 50; index++) queue.append('flood', 'flood');
    queue.take();
    queue.append('rare', 'rare');
    const next = [queue.take(), queue.take()];
    expect(next).toContain('rare');
  });

  it('returns each item once, whatever the order of calls', () => {
    const action = fc.tuple(
      fc.constantFrom('append', 'take', 'room', 'remove'),
      fc.constantFrom('a', 'b', 'c'),
      fc.double({min: 0.25, max: 8, noNaN: true}),
    );
    fc.assert(
      fc.property(fc.array(action, {maxLength: 200}), actions => {
        const queue = new CallerQueue<{caller: string}>();
        const inside = new Set<{caller: string}>();
        for (const [kind, caller, cost] of actions) {
          if (kind === 'append') {
            const item = {caller};
            inside.add(item);
            queue.append(caller, item, cost);
          } else if (kind === 'remove') {
            const item = [...inside].find(known => known.caller === caller);
            if (item) expect(queue.remove(caller, item)).toBe(true);
            if (item) inside.delete(item);
          } else {
            const item =
              kind === 'take' ? queue.take() : queue.removeFromLongest(caller);
            if (kind === 'take')
              expect(item !== undefined).toBe(inside.size > 0);
            if (item) expect(inside.delete(item)).toBe(true);
          }
          expect(queue.length).toBe(inside.size);
        }
      }),
      {seed: 4, numRuns: 500},
    );
  });
});

describe('eviction from a full queue', () => {
  it.each([
    {name: 'evicts from the longest backlog', own: 0, other: 10, gives: true},
    {
      name: 'evicts nothing for the caller with the longest backlog',
      own: 10,
      other: 3,
      gives: false,
    },
    {
      name: 'evicts nothing if no backlog would be longer',
      own: 4,
      other: 5,
      gives: false,
    },
  ])('$name', ({own, other, gives}) => {
    const queue = new CallerQueue<string>();
    for (let index = 0; index < own; index++) queue.append('own', 'own');
    for (let index = 0; index < other; index++) {
      queue.append('other', `other-${index}`);
    }
    const displaced = queue.removeFromLongest('own');
    expect(displaced).toBe(gives ? `other-${other - 1}` : undefined);
  });
});
