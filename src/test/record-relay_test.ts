/**
 * Relay of records and of the age of the last confirmation of the log's tail,
 * with many nodes in one process and calls that may be lost, slow or empty.
 */
import seedrandom from 'seedrandom';
import {describe, expect, it} from 'vitest';
import {readToTail} from '../coordination/log-follower.js';
import type {ReceivedRecords} from '../coordination/record-relay.js';
import {RecordRelay} from '../coordination/record-relay.js';
import {waitFor} from '../measure/wait-for.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import {StateStore} from '../state/state-store.js';

const SEED = 'record-relay';
const FANOUT = 3;
const PULL_INTERVAL_MS = 100;
const AGE_MS = 5000;
const SLOW_ANSWER_MS = 50;

function buildRecord(index: number): string {
  return JSON.stringify({
    kind: 'join',
    id: `record-${index}`,
    author: 'test',
    writtenAtMs: 1,
    buildsOn: 0,
    nodeId: 'a',
    incarnation: index + 1,
    peerAddress: '127.0.0.1:1',
  });
}

function buildRecords(count: number): Array<{offset: number; data: string}> {
  return [...Array(count).keys()].map(offset => ({
    offset,
    data: buildRecord(offset),
  }));
}

/** Nodes that call each other within this process. */
class Cluster {
  readonly nodes = new Map<string, {state: StateStore; relay: RecordRelay}>();
  pushCount = 0;
  private readonly random = seedrandom(SEED);

  constructor(
    size: number,
    private readonly lossShare: number,
  ) {
    for (let index = 0; index < size; index++) this.add(`node-${index}`);
  }

  start(): void {
    for (const {relay} of this.nodes.values()) relay.start();
  }

  async stop(): Promise<void> {
    await Promise.all([...this.nodes.values()].map(({relay}) => relay.stop()));
  }

  private add(name: string): void {
    const state = new StateStore(undefined);
    const relay = new RecordRelay({
      state,
      calls: {
        readRecords: async (peer, fromOffset) => {
          this.applyLoss();
          return this.nodes.get(peer)!.relay.handleRead(fromOffset, false);
        },
        pushRecords: async (peer, records) => {
          this.pushCount += 1;
          this.applyLoss();
          return this.nodes.get(peer)!.relay.handlePush(records);
        },
      },
      listPeers: () => [...this.nodes.keys()].filter(peer => peer !== name),
      fanout: FANOUT,
      pullIntervalMs: PULL_INTERVAL_MS,
      random: this.random,
      count: () => {},
    });
    this.nodes.set(name, {state, relay});
  }

  private applyLoss(): void {
    if (this.random() < this.lossShare) throw new Error('lost');
  }
}

describe('a record that one node has reaches all nodes', () => {
  const cases = [
    {name: 'two nodes', size: 2, lossShare: 0, records: 1},
    {name: 'eleven nodes', size: 11, lossShare: 0, records: 1},
    {name: 'many nodes', size: 300, lossShare: 0, records: 1},
    {name: 'a third of the calls lost', size: 100, lossShare: 0.3, records: 3},
    {
      name: 'more records than one message',
      size: 20,
      lossShare: 0,
      records: 400,
    },
    {name: 'more records than are kept', size: 20, lossShare: 0, records: 900},
  ];
  it.each(cases)('$name', async ({size, lossShare, records}) => {
    const cluster = new Cluster(size, lossShare);
    cluster.start();
    cluster.nodes.get('node-0')!.state.applyRecords(buildRecords(records));
    await waitFor('all nodes to have all records', () =>
      [...cluster.nodes.values()].every(
        ({state}) => state.current.nextOffset === records,
      ),
    );
    await cluster.stop();
    // The number of pushes per node doesn't grow with the number of nodes.
    expect(cluster.pushCount).toBeLessThanOrEqual(2 * size * (FANOUT + 1));
  });
});

describe('the age of the log tail is never understated', () => {
  const held = buildRecords(2);
  const base: ReceivedRecords = {
    records: [],
    snapshot: undefined,
    nextOffset: held.length,
    logAgeMs: AGE_MS,
  };
  const cases = [
    {name: 'of a peer with the same state', answer: base, isTaken: true},
    {
      name: 'of a peer that is behind',
      answer: {...base, nextOffset: 1},
      isTaken: true,
    },
    {
      name: 'of a peer that is ahead but sends no records',
      answer: {...base, nextOffset: 3},
      isTaken: false,
    },
    {
      name: 'of a peer that is ahead of the records it sends',
      answer: {...base, records: [{offset: 2, data: '{}'}], nextOffset: 9},
      isTaken: false,
    },
    {
      name: 'of a peer that never read the tail',
      answer: {...base, logAgeMs: Infinity},
      isTaken: false,
    },
    {
      name: 'of a peer that sends a negative age',
      answer: {...base, logAgeMs: -1},
      isTaken: false,
    },
  ];
  it.each(cases)('$name', async ({answer, isTaken}) => {
    const state = new StateStore(undefined);
    state.applyRecords(held);
    const relay = new RecordRelay({
      state,
      calls: {
        readRecords: async (peer, fromOffset) => {
          await new Promise(resolve => setTimeout(resolve, SLOW_ANSWER_MS));
          return fromOffset > 2 ? {...answer, records: []} : answer;
        },
        pushRecords: async () => 0,
      },
      listPeers: () => ['peer'],
      fanout: FANOUT,
      pullIntervalMs: PULL_INTERVAL_MS,
      random: Math.random,
      count: () => {},
    });
    await relay.fetchFrom('peer');
    const ageMs = state.computeLogAgeMs();
    if (!isTaken) expect(ageMs).toBe(Infinity);
    // The duration of the call is added to the age.
    else expect(ageMs).toBeGreaterThan(AGE_MS + SLOW_ANSWER_MS / 2);
  });

  const logs = [
    {
      name: 'a log that ends at the next offset of this node',
      nextOffset: 2,
      isTaken: true,
    },
    {name: 'a log that lost its last records', nextOffset: 1, isTaken: false},
  ];
  it.each(logs)('$name', async ({nextOffset, isTaken}) => {
    const state = new StateStore(undefined);
    state.applyRecords(held);
    const log = {
      read: async () => ({records: [], firstOffset: 0, nextOffset}),
      append: () => Promise.reject(new Error('not called')),
    };
    const signal = new AbortController().signal;
    const error = await readToTail(log, state, signal).catch(
      (reason: unknown) => reason,
    );
    expect(error instanceof LogUnavailableError).toBe(!isTaken);
    expect(Number.isFinite(state.computeLogAgeMs())).toBe(isTaken);
  });
});
