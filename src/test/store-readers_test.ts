/**
 * Operators' records in large fleets of which few nodes poll the store, without
 * a network. Timers are faked, as in peer-directory_test.
 */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {runFor, startEmulatedTime} from './stand-ins/emulated-time.js';
import {EmulatedTopic, Service} from './stand-ins/emulated-topic.js';
import type {TestNode} from './stand-ins/peer-fleet.js';
import {DATA_CENTRES, TestFleet} from './stand-ins/peer-fleet.js';

const STEP_MS = 20;
/** Time for all nodes to find each other and to settle who polls. */
const START_MS = 4000;
/** Users' bound for a change to be in force, of the strictest deployment. */
const MAX_APPLY_MS = 2000;
/** Time for writers to write again what a restored store has lost. */
const REWRITE_TIME_MS = 20_000;
const KEY = 'config';

let fleet: TestFleet;
let topic: EmulatedTopic;

beforeEach(() => {
  startEmulatedTime();
});

afterEach(() => {
  topic.stop();
  for (const {directory, freshness} of fleet.nodes.values()) {
    directory.stop();
    freshness.stop();
  }
  vi.useRealTimers();
});

async function startFleet(size: number): Promise<void> {
  fleet = new TestFleet();
  topic = new EmulatedTopic();
  fleet.topic = topic;
  topic.append(KEY, 'first');
  fleet.addAll(size);
  await runFor(START_MS);
}

function listPolling(): Array<[string, TestNode]> {
  return [...fleet.nodes].filter(([, {freshness}]) => freshness.isPolling);
}

/** Appends a record; returns after which time all nodes have it, or Infinity. */
async function measureApplyTime(nodes: readonly TestNode[]): Promise<number> {
  topic.append(KEY, 'second');
  for (let elapsedMs = 0; elapsedMs < 3 * MAX_APPLY_MS; elapsedMs += STEP_MS) {
    const haveAll = nodes.every(
      ({records}) => records.find(KEY)?.value === 'second',
    );
    if (haveAll) return elapsedMs;
    await runFor(STEP_MS);
  }
  return Infinity;
}

describe('a fleet that follows the store', () => {
  // Guards against store calls that grow with nodes times changes, which cost
  // users nearly half of what a large fleet earned in the seconds of its start.
  it.each([
    {size: 11, maxStartCalls: 40, maxChangeCalls: 30},
    {size: 73, maxStartCalls: 73, maxChangeCalls: 30},
    {size: 195, maxStartCalls: 98, maxChangeCalls: 30},
  ])('of $size nodes makes few calls', async row => {
    const {size, maxStartCalls, maxChangeCalls} = row;
    await startFleet(size);
    for (const {records} of fleet.nodes.values()) {
      expect(records.find(KEY)?.value).toBe('first');
    }
    expect(topic.calls).toBeLessThan(maxStartCalls);
    topic.calls = 0;
    expect(await measureApplyTime([...fleet.nodes.values()])).toBeLessThan(
      MAX_APPLY_MS,
    );
    await runFor(MAX_APPLY_MS);
    expect(topic.calls).toBeLessThan(maxChangeCalls);
  });

  type Fault = (nodeId: string, node: TestNode) => void;
  const faults: ReadonlyArray<{name: string; apply: Fault; isGone: boolean}> = [
    {
      name: 'are refused by the store',
      apply: nodeId => topic.services.set(nodeId, Service.REFUSED),
      isGone: false,
    },
    {
      name: 'wait on polls gone silent',
      apply: nodeId => topic.services.set(nodeId, Service.SILENT),
      isGone: false,
    },
    {
      name: 'end without notice',
      apply: (nodeId, node) => {
        topic.services.set(nodeId, Service.SILENT);
        node.isUnresponsive = true;
        node.directory.stop();
        node.freshness.stop();
      },
      isGone: true,
    },
  ];
  // Guards against a change that is not in force in time, since those that
  // poll for all other nodes don't learn of it.
  it.each(faults.flatMap(fault => [11, 73].map(size => ({...fault, size}))))(
    'of $size has a change in time when all that poll $name',
    async row => {
      await startFleet(row.size);
      const polling = listPolling();
      expect(polling.length).toBeGreaterThan(0);
      for (const [nodeId, node] of polling) row.apply(nodeId, node);
      const names = new Set(polling.map(([nodeId]) => nodeId));
      const others = [...fleet.nodes].filter(([nodeId]) => !names.has(nodeId));
      const nodes = row.isGone ? others : [...fleet.nodes];
      const applyMs = await measureApplyTime(nodes.map(([, node]) => node));
      expect(applyMs).toBeLessThan(MAX_APPLY_MS);
    },
  );

  // Guards against a node that keeps for good what a restored store has lost,
  // since only the reads of nodes that poll showed that nobody wrote it again.
  it('drops at every node what nobody writes again after a restore', async () => {
    await startFleet(11);
    topic.append('other', 'lost');
    await runFor(MAX_APPLY_MS);
    topic.startEra();
    topic.append(KEY, 'first');
    await runFor(REWRITE_TIME_MS + MAX_APPLY_MS);
    for (const {records} of fleet.nodes.values()) {
      expect(records.find(KEY)?.value).toBe('first');
      expect(records.find('other')).toBeUndefined();
    }
  });

  it('has a node that starts later learn the records without a call', async () => {
    await startFleet(73);
    topic.services.set('later', Service.REFUSED);
    const node = fleet.add('later', DATA_CENTRES[0]!);
    await runFor(1000);
    expect(node.records.find(KEY)?.value).toBe('first');
  });
});
