/**
 * Moves that operators order through the platform's store: each node starts on
 * its own, steps spread from node to node, and the outcome in the store is
 * final.
 */
import {describe, expect, it} from 'vitest';
import {StoreUnavailableError} from '../coordination/keyed-follower.js';
import type {MoveOrder} from '../coordination/desired-state.js';
import type {MoveStage} from '../coordination/ordered-moves.js';
import {OrderedMoves} from '../coordination/ordered-moves.js';
import {StateStore} from '../state/state-store.js';
import {WorkerTable} from '../state/worker-table.js';

const ORDER: MoveOrder = {
  moveId: 'desk-4',
  era: 0,
  service: 'desk',
  toVersion: 'v2',
  durationMs: 12_000,
};

/** A node with its own clock; all nodes of a test share a store. */
class Node {
  now = 0;
  readonly state = new StateStore(undefined);
  readonly workers = new WorkerTable();
  readonly moves: OrderedMoves;

  constructor(
    store: {stage?: MoveStage; isAway?: boolean},
    versions: readonly string[] = ['v1', 'v1', 'v2'],
  ) {
    versions.forEach((version, index) =>
      this.workers.update({
        nodeId: `n${index}`,
        incarnation: 1,
        peerAddress: `127.0.0.1:${index}`,
        dataCentre: 'dc',
        workers: [{service: 'desk', version, slots: 2, state: 'ready'}],
      }),
    );
    this.moves = new OrderedMoves({
      state: this.state,
      workers: this.workers,
      outcomes: {
        read: async () => {
          if (store.isAway) throw new StoreUnavailableError('away');
          return store.stage;
        },
        write: async (order, stage) => {
          if (store.isAway) throw new StoreUnavailableError('away');
          const hasEnded = store.stage && store.stage !== 'running';
          if (!hasEnded) store.stage = stage;
          return store.stage!;
        },
      },
      now: () => this.now,
      random: () => 0,
      push: () => {},
      handleNewId: () => {},
      report: () => {},
    });
  }

  get move() {
    return this.state.findMove('desk')!;
  }

  appendStep(sharePercent: number) {
    return this.moves.appendRecord({
      ...this.buildBase(),
      kind: 'move-step',
      sharePercent,
    });
  }

  appendEnd(outcome: 'done' | 'taken-back') {
    return this.moves.appendRecord({
      ...this.buildBase(),
      kind: 'move-end',
      outcome,
    });
  }

  private buildBase() {
    return {
      id: 'x',
      author: 'n0',
      writtenAtMs: 0,
      buildsOn: this.move.number,
      service: 'desk',
      moveId: this.move.moveId,
      evidence: 'e',
    };
  }
}

describe('an order', () => {
  it('starts from the version that served before', () => {
    const node = new Node({}, ['v1', 'v1']);
    node.moves.updateVersions('desk');
    node.moves.applyOrders([ORDER]);
    expect(node.move).toMatchObject({
      fromVersion: 'v1',
      toVersion: 'v2',
      stage: 'running',
      doneByMs: 12_000,
    });
    expect(node.moves.findBaseVersion('desk')).toBe('v1');
  });

  it('is needed before a newer version serves', () => {
    const node = new Node({}, ['v1', 'v1', 'v3']);
    node.moves.updateVersions('desk');
    expect(node.moves.findBaseVersion('desk')).toBe('v1');
  });

  const written: ReadonlyArray<[MoveStage | undefined, MoveStage, string]> = [
    [undefined, 'running', 'v1'],
    ['running', 'running', 'v1'],
    ['done', 'done', 'v2'],
    ['taken-back', 'taken-back', 'v1'],
  ];
  it.each(written)(
    'with stage %s in the store when a node starts',
    async (stage, expected, base) => {
      const node = new Node(stage ? {stage} : {});
      node.moves.applyOrders([ORDER]);
      await new Promise(resolve => setImmediate(resolve));
      expect(node.move.stage).toBe(expected);
      expect(node.moves.findBaseVersion('desk')).toBe(base);
    },
  );
});

describe('updates of a move from another node', () => {
  it('a newer step is applied, and an older one is not', async () => {
    const store = {};
    const [one, other] = [new Node(store), new Node(store)];
    for (const node of [one, other]) node.moves.applyOrders([ORDER]);
    const before = one.moves.listMoveUpdates();
    await one.appendStep(25);
    other.moves.applyMoveUpdates(one.moves.listMoveUpdates());
    other.moves.applyMoveUpdates(before);
    expect(other.move.sharePercent).toBe(25);
  });

  it('a node that starts late learns the age of the order', () => {
    const store = {};
    const [one, late] = [new Node(store), new Node(store)];
    one.moves.applyOrders([ORDER]);
    one.now = 9000;
    late.now = 500_000;
    late.moves.applyOrders([ORDER]);
    late.moves.applyMoveUpdates(one.moves.listMoveUpdates());
    expect(late.move.doneByMs - late.now).toBe(3000);
  });

  it('an end wins over a later step', async () => {
    const store = {};
    const [one, other] = [new Node(store), new Node(store)];
    for (const node of [one, other]) node.moves.applyOrders([ORDER]);
    await one.appendEnd('taken-back');
    await other.appendStep(25);
    await other.appendStep(50);
    other.moves.applyMoveUpdates(one.moves.listMoveUpdates());
    one.moves.applyMoveUpdates(other.moves.listMoveUpdates());
    expect([one.move.stage, other.move.stage]).toEqual([
      'taken-back',
      'taken-back',
    ]);
  });
});

describe('an outcome', () => {
  it('is the first in the store when two nodes disagree', async () => {
    const store = {};
    const [one, other] = [new Node(store), new Node(store)];
    for (const node of [one, other]) node.moves.applyOrders([ORDER]);
    await one.appendEnd('taken-back');
    await other.appendEnd('done');
    expect(other.move.stage).toBe('taken-back');
  });

  it('is not applied while the store is unavailable', async () => {
    const store = {isAway: true};
    const node = new Node(store);
    node.moves.applyOrders([ORDER]);
    await expect(node.appendEnd('done')).rejects.toThrow('away');
    expect(node.move.stage).toBe('running');
    store.isAway = false;
    expect(await node.appendEnd('done')).toBe('accepted');
  });

  // Guards against a new order that is never carried out, because the end of the
  // one before it was written when it came.
  it('is not applied to an order that came while it was written', async () => {
    const node = new Node({});
    node.moves.applyOrders([ORDER]);
    const ended = node.appendEnd('done');
    const next = {...ORDER, moveId: 'desk-9', toVersion: 'v3'};
    node.moves.applyOrders([next]);
    expect(await ended).toBe('superseded');
    expect(node.move).toMatchObject({moveId: 'desk-9', toVersion: 'v3'});
  });
});
