/**
 * A deployment on loopback for tests and measurements: for each host an
 * upstream stand-in and a node process, which use one platform log.
 */
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {basename, join, resolve} from 'node:path';
import {stringify as formatToml} from 'smol-toml';
import type {ConfigurationInput} from '../protocol/configuration.js';
import {formatKeyPath} from '../protocol/settings.js';
import {ChildProgram} from './child-program.js';
import {findFreePorts} from './free-ports.js';
import {waitFor} from './wait-for.js';

const NODE_PROGRAM = resolve('dist/bin/node.js');
const START_TIMEOUT_MS = 30_000;

/** A running upstream stand-in, in this process or in another. */
export interface UpstreamHandle {
  readonly address: string;
  setControl(control: Readonly<Record<string, unknown>>): Promise<void>;
  readStats(): Promise<Record<string, unknown>>;
  stop(): Promise<void>;
}

/** Options for starting an upstream stand-in. */
export interface UpstreamStartOptions {
  readonly service: string;
  readonly version: string;
  readonly slots: number;
  readonly port: number;
  readonly nodeAddress: string;
  readonly seed: string;
  readonly control: Readonly<Record<string, unknown>>;
}

/** Starts an upstream stand-in. */
export type StartUpstream = (
  start: UpstreamStartOptions,
) => Promise<UpstreamHandle>;

/** One host to start. */
export interface HostSpec {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly version: string;
  readonly slots: number;
  /** Source IP address of the node's connections to other nodes. */
  readonly localAddress?: string;
  /** Behaviour of the upstream stand-in from the start. */
  readonly control?: Readonly<Record<string, unknown>>;
}

/** A deployment to start. */
export interface DeploymentSpec {
  readonly name: string;
  readonly logAddress: string;
  readonly configuration: ConfigurationInput;
  readonly hosts: readonly HostSpec[];
  readonly startUpstream: StartUpstream;
  /** Starts a proxy in front of a peer listener; resolves with its address. */
  readonly openPeerProxy?: (
    hostId: string,
    peerListenAddress: string,
  ) => Promise<string>;
  /** Settings added to those of each node, by section, in camel case. */
  readonly nodeSettings?: Readonly<Record<string, Record<string, unknown>>>;
}

/** One host of a running deployment. */
export class Host {
  upstream: UpstreamHandle | undefined;
  node: ChildProgram | undefined;

  constructor(
    readonly spec: HostSpec,
    readonly callerAddress: string,
    readonly peerAddress: string,
    readonly peerListenAddress: string,
    readonly upstreamPort: number,
    readonly settingsFile: string,
  ) {}

  /** Starts the node process and waits until it is ready. */
  async startNode(): Promise<void> {
    const node = new ChildProgram(NODE_PROGRAM, ['-s', this.settingsFile]);
    this.node = node;
    await waitFor(
      `node ${this.spec.id} to be ready`,
      async () => {
        if (!node.isRunning)
          throw new Error(`node process exited: ${node.output}`);
        const response = await fetch(`http://${this.callerAddress}/-/ready`);
        return response.ok;
      },
      START_TIMEOUT_MS,
    );
  }

  /** Starts a node with another id at the addresses of this host. */
  async startNodeAs(nodeId: string): Promise<void> {
    const settings = readFileSync(this.settingsFile, 'utf8');
    const line = `id = "${this.spec.id}"`;
    writeFileSync(
      this.settingsFile,
      settings.replace(line, `id = "${nodeId}"`),
    );
    await this.startNode();
  }

  /** Reads the node's status. */
  async readStatus(): Promise<NodeStatus> {
    const response = await fetch(`http://${this.callerAddress}/-/status`);
    return (await response.json()) as NodeStatus;
  }
}

/** The part of a node's status that deployments read. */
export interface NodeStatus {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly counters: Record<string, number>;
  readonly process: {
    readonly cpuSeconds: number;
    readonly rssBytes: number;
    readonly peerCallBytes: number;
  };
  readonly keyHomes: {
    /** Newest home list by service. */
    readonly lists: Readonly<Record<string, unknown>>;
  };
  readonly nodes: ReadonlyArray<{
    readonly nodeId: string;
    readonly incarnation: number;
    readonly workers: ReadonlyArray<{
      readonly service: string;
      readonly state: string;
    }>;
  }>;
  readonly members: ReadonlyArray<{
    readonly nodeId: string;
    readonly incarnation: number;
    readonly status: string;
  }>;
}

/** A running deployment. */
export class LocalDeployment {
  private constructor(
    readonly spec: DeploymentSpec,
    readonly hosts: Host[],
    private readonly folder: string,
  ) {}

  /**
   * Starts all hosts and waits until each node knows all workers and key homes.
   */
  static async start(spec: DeploymentSpec): Promise<LocalDeployment> {
    const folder = mkdtempSync(join(tmpdir(), 'sequoiaspool-'));
    const ports = await findFreePorts(spec.hosts.length * 3);
    const takeAddress = (): string => `127.0.0.1:${ports.pop()}`;
    const hosts: Host[] = [];
    for (const host of spec.hosts) {
      const peerListenAddress = takeAddress();
      const peerAddress =
        (await spec.openPeerProxy?.(host.id, peerListenAddress)) ??
        peerListenAddress;
      hosts.push(
        new Host(
          host,
          takeAddress(),
          peerAddress,
          peerListenAddress,
          ports.pop()!,
          join(folder, `${host.id}.toml`),
        ),
      );
    }
    const deployment = new LocalDeployment(spec, hosts, folder);
    for (const host of hosts) deployment.writeSettings(host);
    try {
      await Promise.all(hosts.map(host => deployment.startHost(host)));
      await deployment.waitUntilComplete();
      await deployment.waitForKeyHomes();
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  /** Finds a host by id. */
  findHost(id: string): Host {
    const host = this.hosts.find(candidate => candidate.spec.id === id);
    if (!host) throw new Error(`no host ${id} in the deployment`);
    return host;
  }

  /** Starts the node and the upstream of one host. */
  async startHost(host: Host): Promise<void> {
    await host.startNode();
    await this.startUpstream(host);
  }

  /** Starts the upstream of one host. */
  async startUpstream(host: Host): Promise<void> {
    const {spec} = host;
    host.upstream = await this.spec.startUpstream({
      service: spec.service,
      version: spec.version,
      slots: spec.slots,
      port: host.upstreamPort,
      nodeAddress: host.callerAddress,
      seed: spec.id,
      control: spec.control ?? {},
    });
  }

  /** Waits until every running node knows the workers of all hosts. */
  async waitUntilComplete(): Promise<void> {
    const running = this.hosts.filter(host => host.node?.isRunning);
    await waitFor(
      'all nodes to know all workers',
      async () => {
        for (const host of running) {
          const {nodes} = await host.readStatus();
          const workers = nodes.flatMap(node => node.workers);
          if (workers.length < running.length) return false;
        }
        return true;
      },
      START_TIMEOUT_MS,
    );
  }

  /** Waits until each node knows the key homes, which bookings need. */
  async waitForKeyHomes(): Promise<void> {
    await waitFor(
      'all nodes to know key homes',
      async () => {
        for (const host of this.hosts) {
          const {keyHomes} = await host.readStatus();
          if (!keyHomes.lists[host.spec.service]) return false;
        }
        return true;
      },
      START_TIMEOUT_MS,
    );
  }

  /** Stops all processes of the deployment. */
  async stop(): Promise<void> {
    await Promise.all(
      this.hosts.map(async host => {
        await host.node?.kill();
        await host.upstream?.stop();
      }),
    );
    rmSync(this.folder, {recursive: true, force: true});
  }

  private writeSettings(host: Host): void {
    const {spec} = host;
    const extra = this.spec.nodeSettings ?? {};
    const settings = {
      node: {
        id: spec.id,
        dataCentre: spec.dataCentre,
        callerAddress: host.callerAddress,
        peerAddress: host.peerAddress,
        peerListenAddress: host.peerListenAddress,
        ...extra['node'],
      },
      platformLog: {
        address: this.spec.logAddress,
        name: this.spec.name,
        ...extra['platformLog'],
      },
      membership: {
        deployment: basename(this.folder),
        seeds: this.hosts.slice(0, 3).map(other => other.peerAddress),
        ...extra['membership'],
      },
      connections: {
        localAddress: spec.localAddress,
        ...extra['connections'],
      },
      stop: {...extra['stop']},
      logging: {...extra['logging']},
      configuration: this.spec.configuration,
    };
    writeFileSync(host.settingsFile, formatToml(toSnakeKeys(settings)));
  }
}

/** Converts keys to the form used in settings files. */
export function toSnakeKeys(value: unknown): Record<string, unknown> {
  return toSnakeValue(value) as Record<string, unknown>;
}

function toSnakeValue(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toSnakeValue);
  if (value === null || typeof value !== 'object') return value;
  return Object.fromEntries(
    Object.entries(value)
      .filter(([, item]) => item !== undefined)
      .map(([key, item]) => [formatKeyPath([key]), toSnakeValue(item)]),
  );
}
