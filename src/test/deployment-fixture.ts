/**
 * Deployments for tests: node processes, with the stand-ins inside the test so
 * that it can switch faults and read counts directly.
 */
import type {ConfigurationInput} from '../protocol/configuration.js';
import type {HostSpec} from '../measure/local-deployment.js';
import {LocalDeployment} from '../measure/local-deployment.js';
import {PlatformLogStandIn} from './stand-ins/platform-log.js';
import type {UpstreamControl} from './stand-ins/upstream.js';
import {UpstreamStandIn} from './stand-ins/upstream.js';

/** What a test may choose of its deployment. */
export interface FixtureOptions {
  /** Workers of `kona-desk`, one host each. */
  readonly workers?: number;
  readonly dataCentres?: readonly string[];
  readonly slots?: number;
  readonly control?: Partial<UpstreamControl>;
  /** Called with the host id when a request crashes its worker. */
  readonly handleCrash?: (hostId: string) => void;
  readonly configuration?: ConfigurationInput;
  readonly nodeSettings?: Readonly<Record<string, Record<string, unknown>>>;
}

/** A deployment with its stand-ins. */
export interface Fixture {
  readonly log: PlatformLogStandIn;
  readonly deployment: LocalDeployment;
  /** Upstream stand-ins by host id; replaced when one is started again. */
  readonly upstreams: ReadonlyMap<string, UpstreamStandIn>;
  stop(): Promise<void>;
}

export const DEFAULT_CONFIGURATION: ConfigurationInput = {
  profiles: {desk: {}},
  services: {'kona-desk': {profile: 'desk'}},
};

/** Starts a deployment of `kona-desk` on hosts `desk-0`, `desk-1`, ... */
export async function startFixture(
  options: FixtureOptions = {},
): Promise<Fixture> {
  const dataCentres = options.dataCentres ?? ['arusha'];
  const hosts: HostSpec[] = [];
  for (let index = 0; index < (options.workers ?? 3); index++) {
    hosts.push({
      id: `desk-${index}`,
      service: 'kona-desk',
      dataCentre: dataCentres[index % dataCentres.length]!,
      version: 'v1',
      slots: options.slots ?? 6,
      control: options.control ?? {},
    });
  }
  const log = new PlatformLogStandIn();
  await log.start();
  const upstreams = new Map<string, UpstreamStandIn>();
  const deployment = await LocalDeployment.start({
    name: 'kona',
    logAddress: log.address,
    configuration: options.configuration ?? DEFAULT_CONFIGURATION,
    hosts,
    nodeSettings: options.nodeSettings,
    startUpstream: async start => {
      const upstream = new UpstreamStandIn({
        ...start,
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
        readFigures: async () => ({...upstream.figures}),
        stop: () => upstream.stop(),
      };
    },
  });
  return {
    log,
    deployment,
    upstreams,
    stop: async () => {
      await deployment.stop();
      await log.stop();
    },
  };
}
