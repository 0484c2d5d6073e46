/**
 * Measures the cost of control traffic per node in idle deployments of several
 * sizes, and the time until a worker's change of state is known at all nodes.
 */
import type {ConfigurationInput} from '../protocol/configuration.js';
import type {
  Host,
  NodeStatus,
  StartUpstream,
  UpstreamHandle,
} from './local-deployment.js';
import {LocalDeployment} from './local-deployment.js';
import {startLogProcess} from './upstream-process.js';
import {waitFor} from './wait-for.js';

const MS_PER_SECOND = 1000;
const PERCENT = 100;
const SERVICE = 'kona-desk';
/** Lets one announcement outlast the whole measurement. */
const ANNOUNCEMENT_TTL_MS = 600_000;
const SLOTS = 6;

const CONFIGURATION: ConfigurationInput = {
  profiles: {desk: {}},
  services: {[SERVICE]: {profile: 'desk'}},
};

/** Options of the measurement. */
export interface MembershipCostOptions {
  readonly nodeCounts: readonly number[];
  /** Duration of each measurement. */
  readonly durationMs: number;
  /** Time before each measurement in which the joins propagate. */
  readonly settleMs: number;
}

/** Cost per node in a deployment of one size. */
export interface MembershipCost {
  readonly nodes: number;
  /** Membership requests and replies that a node sends. */
  readonly messagesPerSecond: number;
  /** Bytes of the membership messages without HTTP headers. */
  readonly payloadBytesPerSecond: number;
  /** Bytes of all calls between nodes, headers and record relay included. */
  readonly controlBytesPerSecond: number;
  readonly cpuPercentOfOneCore: number;
  readonly rssMib: number;
  /** Time until all nodes knew that a worker drains. */
  readonly spreadMs: number;
}

/** Measures deployments of each size, one after the other. */
export async function measureMembershipCost(
  options: MembershipCostOptions,
): Promise<MembershipCost[]> {
  const costs: MembershipCost[] = [];
  for (const nodeCount of options.nodeCounts) {
    costs.push(await measureSize(nodeCount, options));
  }
  return costs;
}

async function measureSize(
  nodeCount: number,
  options: MembershipCostOptions,
): Promise<MembershipCost> {
  const log = await startLogProcess();
  const deployment = await LocalDeployment.start({
    name: 'membership-cost',
    logAddress: log.address,
    configuration: CONFIGURATION,
    hosts: Array.from({length: nodeCount}, (unused, index) => ({
      id: `node-${index}`,
      service: SERVICE,
      dataCentre: 'arusha',
      version: 'v1',
      slots: SLOTS,
    })),
    startUpstream: announceOnce,
  });
  try {
    await wait(options.settleMs);
    const cost = await measureIdle(deployment, options.durationMs);
    return {...cost, spreadMs: await measurePropagation(deployment)};
  } finally {
    await deployment.stop();
    await log.stop();
  }
}

async function measureIdle(
  deployment: LocalDeployment,
  durationMs: number,
): Promise<Omit<MembershipCost, 'spreadMs'>> {
  const startedAt = performance.now();
  const before = await readStatuses(deployment.hosts);
  await wait(durationMs);
  const after = await readStatuses(deployment.hosts);
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const nodes = deployment.hosts.length;
  const computeRate = (read: (status: NodeStatus) => number): number => {
    const sum = (statuses: NodeStatus[]): number =>
      statuses.reduce((total, status) => total + read(status), 0);
    return (sum(after) - sum(before)) / seconds / nodes;
  };
  const count = (name: string) => (status: NodeStatus) =>
    status.counters[name] ?? 0;
  const rss = after.map(status => status.process.rssBytes);
  return {
    nodes,
    messagesPerSecond: computeRate(count('membership.messages-sent')),
    payloadBytesPerSecond: computeRate(count('membership.bytes-sent')),
    controlBytesPerSecond: computeRate(status => status.process.peerCallBytes),
    cpuPercentOfOneCore:
      PERCENT * computeRate(status => status.process.cpuSeconds),
    rssMib: Math.max(...rss) / 1024 ** 2,
  };
}

/** Lets an upstream announce that it drains and waits until all nodes know. */
async function measurePropagation(
  deployment: LocalDeployment,
): Promise<number> {
  const [host] = deployment.hosts;
  const startedAt = performance.now();
  await host!.upstream!.setControl({state: 'draining'});
  await Promise.all(
    deployment.hosts.map(other =>
      waitFor('the draining state to reach all nodes', async () => {
        const {nodes} = await other.readStatus();
        const node = nodes.find(({nodeId}) => nodeId === host!.spec.id);
        return node?.workers[0]?.state === 'draining';
      }),
    ),
  );
  return performance.now() - startedAt;
}

function readStatuses(hosts: readonly Host[]): Promise<NodeStatus[]> {
  return Promise.all(hosts.map(host => host.readStatus()));
}

/** Announces a worker without an upstream; no calls are sent to it. */
const announceOnce: StartUpstream = async start => {
  const address = `127.0.0.1:${start.port}`;
  const announce = async (state: unknown): Promise<void> => {
    const {service, version, slots} = start;
    await fetch(`http://${start.nodeAddress}/-/announce`, {
      method: 'POST',
      body: JSON.stringify({
        service,
        version,
        slots,
        address,
        state,
        ttlMs: ANNOUNCEMENT_TTL_MS,
      }),
    });
  };
  await announce('ready');
  const handle: UpstreamHandle = {
    address,
    setControl: control => announce(control['state']),
    readStats: async () => ({}),
    stop: async () => {},
  };
  return handle;
};

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
