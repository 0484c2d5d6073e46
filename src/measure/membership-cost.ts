/**
 * Measures what control costs one node, in an idle deployment, against the
 * number of nodes, and how fast a worker's change is known everywhere.
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
/** Long enough for one announcement to last the whole measurement. */
const ANNOUNCEMENT_TTL_MS = 600_000;
const SLOTS = 6;

const CONFIGURATION: ConfigurationInput = {
  profiles: {desk: {}},
  services: {[SERVICE]: {profile: 'desk'}},
};

/** What to measure. */
export interface MembershipCostOptions {
  readonly nodeCounts: readonly number[];
  /** Time of each measurement. */
  readonly durationMs: number;
  /** Time before it, in which the joins have spread. */
  readonly settleMs: number;
}

/** Cost per node in a deployment of one size. */
export interface MembershipCost {
  readonly nodes: number;
  /** Membership messages that one node sends, requests and replies. */
  readonly messagesPerSecond: number;
  /** Bytes of these messages without HTTP headers. */
  readonly payloadBytesPerSecond: number;
  /** Bytes of all calls between nodes, headers included, relay as well. */
  readonly controlBytesPerSecond: number;
  readonly cpuPercentOfOneCore: number;
  readonly rssMib: number;
  /** Time until all nodes knew that one worker drains. */
  readonly spreadMs: number;
}

/** Measures each size in turn. */
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
    return {...cost, spreadMs: await measureSpread(deployment)};
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

/** Has one upstream say that it drains and waits until all nodes know. */
async function measureSpread(deployment: LocalDeployment): Promise<number> {
  const [host] = deployment.hosts;
  const startedAt = performance.now();
  await host!.upstream!.setControl({state: 'draining'});
  await Promise.all(
    deployment.hosts.map(other =>
      waitFor('the change to be known', async () => {
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

/** Announces a worker that nobody will call. */
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
    readFigures: async () => ({}),
    stop: async () => {},
  };
  return handle;
};

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
