/**
 * Membership of real node processes: lost nodes are declared dead, nodes that
 * return rejoin, and no node loses workers while a partition heals.
 */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {Host} from '../measure/local-deployment.js';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {computeLocalAddress, startFixture} from './deployment-fixture.js';
import {createLinkFaults} from './stand-ins/fault-proxy.js';

const NODE_COUNT = 6;
/** Short intervals, so that a test takes seconds. */
const FAST_MEMBERSHIP = {
  probeInterval: '100ms',
  probeTimeout: '100ms',
  suspicionTime: '500ms',
};

let fixture: Fixture;

beforeEach(async () => {
  fixture = await startFixture({
    workers: NODE_COUNT,
    hasPeerProxies: true,
    nodeSettings: {membership: FAST_MEMBERSHIP},
  });
});

afterEach(async () => {
  await fixture?.stop();
});

function listHosts(...indexes: number[]): Host[] {
  return indexes.map(index => fixture.deployment.hosts[index]!);
}

async function readStatuses(host: Host): Promise<Map<string, string>> {
  const {members} = await host.readStatus();
  return new Map(members.map(({nodeId, status}) => [nodeId, status]));
}

/** Waits until each observer lists each subject with a status. */
async function waitForStatus(
  observers: readonly Host[],
  subjects: readonly Host[],
  expected: string,
): Promise<void> {
  await waitFor(`status ${expected} on all observers`, async () => {
    for (const observer of observers) {
      await checkStatus(
        observer,
        subjects.map(subject => subject.spec.id),
        expected,
      );
    }
    return true;
  });
}

/** Throws the observed statuses unless all nodes have the expected status. */
async function checkStatus(
  observer: Host,
  nodeIds: readonly string[],
  expected: string,
): Promise<void> {
  const statuses = await readStatuses(observer);
  if (nodeIds.every(nodeId => statuses.get(nodeId) === expected)) return;
  const seen = JSON.stringify(Object.fromEntries(statuses));
  throw new Error(`${observer.spec.id} sees ${seen}`);
}

/** Waits until each node lists all nodes as alive, with their workers. */
async function waitForAllWorkers(): Promise<void> {
  const {hosts} = fixture.deployment;
  await waitForStatus(hosts, hosts, 'alive');
  await waitFor('the workers of all nodes on each node', async () => {
    for (const host of hosts) {
      const {nodes} = await host.readStatus();
      const workers = nodes.flatMap(node => node.workers);
      if (workers.length !== NODE_COUNT) return false;
    }
    return true;
  });
}

/** Stalls all links between two groups of hosts in both directions. */
function startPartition(one: readonly Host[], other: readonly Host[]): void {
  pauseLinks(one, other);
  pauseLinks(other, one);
}

function pauseLinks(from: readonly Host[], to: readonly Host[]): void {
  for (const source of from) {
    const index = fixture.deployment.hosts.indexOf(source);
    for (const target of to) {
      const faults = createLinkFaults();
      faults.toTarget.isStalled = true;
      faults.toClient.isStalled = true;
      const proxy = fixture.peerProxies.get(target.spec.id)!;
      proxy.faultsBySource.set(computeLocalAddress(index), faults);
    }
  }
}

function stopPartition(): void {
  for (const proxy of fixture.peerProxies.values()) {
    for (const faults of proxy.faultsBySource.values()) {
      faults.toTarget.isStalled = false;
      faults.toClient.isStalled = false;
    }
  }
}

interface AbsenceCase {
  readonly name: string;
  /** Makes the host unreachable; resolves with a function that restores it. */
  readonly leave: (host: Host) => Promise<() => Promise<void>>;
}

const absenceCases: AbsenceCase[] = [
  {
    name: 'killed and restarted at the same address',
    leave: async host => {
      await host.node!.kill();
      return () => host.startNode();
    },
  },
  {
    name: 'suspended and resumed',
    leave: async host => {
      host.node!.sendSignal('SIGSTOP');
      return async () => host.node!.sendSignal('SIGCONT');
    },
  },
  {
    name: 'partitioned from all others and reconnected',
    leave: async host => {
      const others = fixture.deployment.hosts.filter(other => other !== host);
      startPartition([host], others);
      return async () => stopPartition();
    },
  },
];

describe('a node that goes away is held dead and joins again', () => {
  it.each(absenceCases)('$name', async ({leave}) => {
    const [away] = listHosts(1);
    const others = listHosts(0, 2, 3, 4, 5);
    const bringBack = await leave(away!);
    await waitForStatus(others, [away!], 'dead');
    for (const other of others) {
      const {nodes} = await other.readStatus();
      expect(nodes.map(node => node.nodeId)).not.toContain(away!.spec.id);
    }
    await waitForStatus(others, others, 'alive');
    await bringBack();
    await waitForAllWorkers();
  });
});

describe('a partition in two halves', () => {
  it('each half goes on, and healing takes no worker away', async () => {
    const one = listHosts(0, 1, 2);
    const other = listHosts(3, 4, 5);
    startPartition(one, other);
    await waitForStatus(one, other, 'dead');
    await waitForStatus(other, one, 'dead');
    await waitForStatus(one, one, 'alive');
    await waitForStatus(other, other, 'alive');
    const lowest = {workers: NODE_COUNT, seen: ''};
    let isHealed = false;
    const watch = async (host: Host): Promise<void> => {
      while (!isHealed) {
        const {nodes, members} = await host.readStatus();
        const workers = nodes.flatMap(node => node.workers).length;
        if (workers >= lowest.workers) continue;
        lowest.workers = workers;
        lowest.seen = `${host.spec.id} sees ${JSON.stringify(members)}`;
      }
    };
    const watches = [...one, ...other].map(watch);
    stopPartition();
    await waitForAllWorkers();
    isHealed = true;
    await Promise.all(watches);
    expect(lowest.workers, lowest.seen).toBeGreaterThanOrEqual(NODE_COUNT / 2);
  });
});

describe('a broken path', () => {
  it('between two nodes gets neither declared dead', async () => {
    const [first, second] = listHosts(4, 5);
    const {hosts} = fixture.deployment;
    startPartition([first!], [second!]);
    const before = await countProbes(first!);
    // Enough probes that the two have probed each other several times.
    await waitFor('probes', async () => {
      const statuses = await readStatuses(first!);
      expect([...statuses.values()]).not.toContain('dead');
      return (await countProbes(first!)) > before + 100;
    });
    await waitForStatus(hosts, hosts, 'alive');
  });
});

async function countProbes(host: Host): Promise<number> {
  const {counters} = await host.readStatus();
  return counters['membership.messages-sent'] ?? 0;
}

describe('nodes of two deployments', () => {
  it('stay separate when one has the addresses of the other as seeds', async () => {
    const {hosts} = fixture.deployment;
    const foreignFixture = await startFixture({
      workers: 1,
      nodeSettings: {
        membership: {
          ...FAST_MEMBERSHIP,
          seeds: hosts.map(({peerAddress}) => peerAddress),
        },
      },
    });
    const [foreignHost] = foreignFixture.deployment.hosts;
    const before = await countProbes(hosts[0]!);
    await waitFor(
      'probes',
      async () => (await countProbes(hosts[0]!)) > before + 100,
    );
    expect((await readStatuses(foreignHost!)).size).toBe(1);
    await waitForStatus(hosts, hosts, 'alive');
    await foreignFixture.stop();
  });
});

describe('a node replaced by one of another id at the same address', () => {
  it('is declared dead on all nodes, and the new one alive', async () => {
    const [old] = listHosts(2);
    const others = listHosts(0, 1, 3, 4, 5);
    await old!.node!.kill();
    await old!.startNodeAs('desk-new');
    await waitForStatus(others, [old!], 'dead');
    await waitFor('the new node to be alive on all nodes', async () => {
      for (const other of others) {
        await checkStatus(other, ['desk-new'], 'alive');
      }
      return true;
    });
  });
});
