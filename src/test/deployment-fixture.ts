/**
 * Deployments for tests. Nodes are processes; the stand-ins run in the test
 * process, so that a test can switch faults and read counts directly.
 */
import type {ConfigurationInput} from '../protocol/configuration.js';
import type {HostSpec} from '../measure/local-deployment.js';
import {LocalDeployment} from '../measure/local-deployment.js';
import {FaultProxy} from './stand-ins/fault-proxy.js';
import {PlatformLogStandIn} from './stand-ins/platform-log.js';
import type {UpstreamControl} from './stand-ins/upstream.js';
import {UpstreamStandIn} from './stand-ins/upstream.js';

/** Options of a test deployment. */
export interface FixtureOptions {
  /** Number of workers of `kona-desk`, one per host. */
  readonly workers?: number;
  readonly dataCentres?: readonly string[];
  readonly slots?: number;
  /** Versions assigned to the workers in rotation; `v1` when absent. */
  readonly versions?: readonly string[];
  readonly control?: Partial<UpstreamControl>;
  /** Called with the host id when a request crashes its worker. */
  readonly handleCrash?: (hostId: string) => void;
  readonly configuration?: ConfigurationInput;
  readonly nodeSettings?: Readonly<Record<string, Record<string, unknown>>>;
  /**
   * Whether to place a fault proxy in front of each node's peer listener. Nodes
   * then connect to each other from distinct addresses, see
   * `computeLocalAddress`.
   */
  readonly hasPeerProxies?: boolean;
  /** Whether to place a fault proxy in front of each upstream. */
  readonly hasUpstreamProxies?: boolean;
}

/** A deployment with its stand-ins. */
export interface Fixture {
  readonly log: PlatformLogStandIn;
  readonly deployment: LocalDeployment;
  /** Upstream stand-ins by host id; a restarted one replaces its entry. */
  readonly upstreams: ReadonlyMap<string, UpstreamStandIn>;
  /** Fault proxies in front of peer listeners, by host id. */
  readonly peerProxies: ReadonlyMap<string, FaultProxy>;
  /** Fault proxies in front of upstreams, by host id. */
  readonly upstreamProxies: ReadonlyMap<string, FaultProxy>;
  stop(): Promise<void>;
}

/**
 * Computes the source address of a node's connections when there are proxies.
 */
export function computeLocalAddress(hostIndex: number): string {
  return `127.0.0.${FIRST_LOCAL_OCTET + hostIndex}`;
}

const FIRST_LOCAL_OCTET = 11;

export const DEFAULT_CONFIGURATION: ConfigurationInput = {
  profiles: {desk: {}},
  services: {'kona-desk': {profile: 'desk'}},
};

/** Configuration whose workers take full load from the start, as if warm. */
export const WARM_CONFIGURATION: ConfigurationInput = {
  profiles: {desk: {limits: {coldConcurrency: 6, queueWait: '2s'}}},
  services: {'kona-desk': {profile: 'desk'}},
};

/** Starts a deployment of `kona-desk` on hosts `desk-0`, `desk-1`, ... */
export async function startFixture(
  options: FixtureOptions = {},
): Promise<Fixture> {
  const dataCentres = options.dataCentres ?? ['arusha'];
  const versions = options.versions ?? ['v1'];
  const hosts: HostSpec[] = [];
  for (let index = 0; index < (options.workers ?? 3); index++) {
    hosts.push({
      id: `desk-${index}`,
      service: 'kona-desk',
      dataCentre: dataCentres[index % dataCentres.length]!,
      version: versions[index % versions.length]!,
      slots: options.slots ?? 6,
      control: options.control ?? {},
      ...(options.hasPeerProxies
        ? {localAddress: computeLocalAddress(index)}
        : {}),
    });
  }
  const log = new PlatformLogStandIn();
  await log.start();
  const upstreams = new Map<string, UpstreamStandIn>();
  const peerProxies = new Map<string, FaultProxy>();
  const upstreamProxies = new Map<string, FaultProxy>();
  const openProxy = async (
    proxies: Map<string, FaultProxy>,
    hostId: string,
    address: string,
  ): Promise<string> => {
    const proxy = new FaultProxy(address);
    proxies.set(hostId, proxy);
    return proxy.start();
  };
  const deployment = await LocalDeployment.start({
    name: 'kona',
    logAddress: log.address,
    configuration: options.configuration ?? DEFAULT_CONFIGURATION,
    hosts,
    nodeSettings: options.nodeSettings,
    ...(options.hasPeerProxies
      ? {
          openPeerProxy: (hostId, address) =>
            openProxy(peerProxies, hostId, address),
        }
      : {}),
    startUpstream: async start => {
      const announcedAddress = options.hasUpstreamProxies
        ? await openProxy(
            upstreamProxies,
            start.seed,
            `127.0.0.1:${start.port}`,
          )
        : undefined;
      const upstream = new UpstreamStandIn({
        ...start,
        announcedAddress,
        handleCrash: () => options.handleCrash?.(start.seed),
      });
      upstreams.set(start.seed, upstream);
      await upstream.start();
      return {
        address: upstream.address,
        setControl: async control => {
          Object.assign(upstream.control, control);
          await upstream.announce();
        },
        readStats: async () => ({...upstream.stats}),
        stop: () => upstream.stop(),
      };
    },
  });
  return {
    log,
    deployment,
    upstreams,
    peerProxies,
    upstreamProxies,
    stop: async () => {
      await deployment.stop();
      const proxies = [...peerProxies.values(), ...upstreamProxies.values()];
      await Promise.all(proxies.map(proxy => proxy.stop()));
      await log.stop();
    },
  };
}
