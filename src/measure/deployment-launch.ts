/**
 * Starts the deployment of a file as processes on loopback: the platform log
 * stand-in, and for each worker an upstream stand-in and a node.
 */
import type {
  BalancingPolicy,
  ConfigurationInput,
} from '../protocol/configuration.js';
import type {DeploymentFile, DeploymentInput} from './deployment-file.js';
import type {HostSpec} from './local-deployment.js';
import {LocalDeployment} from './local-deployment.js';
import type {LogProcess} from './upstream-process.js';
import {startLogProcess, startUpstreamProcess} from './upstream-process.js';

/** Changes that a run makes to a deployment file. */
export interface LaunchOptions {
  /** Balancing policy of every profile; the file's when absent. */
  readonly balancing?: BalancingPolicy;
  /** Behaviour of upstream stand-ins by host id; overrides the file's. */
  readonly controls?: Readonly<Record<string, Record<string, unknown>>>;
  /** Names of the services to start; all when absent. */
  readonly services?: readonly string[];
  /** Number of workers by service; overrides the file's. */
  readonly workers?: Readonly<Record<string, number>>;
  /** Worker versions by host id; overrides the file's. */
  readonly versions?: Readonly<Record<string, string>>;
  /** Version that gets all traffic while no move runs, by service. */
  readonly versionInForce?: Readonly<Record<string, string>>;
}

/** A running deployment with its platform log. */
export interface LaunchedDeployment {
  readonly log: LogProcess;
  readonly deployment: LocalDeployment;
  stop(): Promise<void>;
}

/** Starts all processes of a deployment. */
export async function startDeployment(
  file: DeploymentInput,
  options: LaunchOptions = {},
): Promise<LaunchedDeployment> {
  const log = await startLogProcess();
  try {
    const deployment = await LocalDeployment.start({
      name: file.deployment.name,
      logAddress: log.address,
      configuration: buildConfiguration(file.configuration, options),
      hosts: buildHosts(file.deployment, options),
      startUpstream: startUpstreamProcess,
    });
    const stop = async (): Promise<void> => {
      await deployment.stop();
      await log.stop();
    };
    return {log, deployment, stop};
  } catch (error) {
    await log.stop();
    throw error;
  }
}

/** Starts a deployment, runs a task on it, and stops it even on an error. */
export async function runOnDeployment<T>(
  file: DeploymentInput,
  options: LaunchOptions,
  run: (launched: LaunchedDeployment) => Promise<T>,
): Promise<T> {
  const launched = await startDeployment(file, options);
  try {
    return await run(launched);
  } finally {
    await launched.stop();
  }
}

/** Builds the hosts of a deployment, distributed over its data centres. */
export function buildHosts(
  deployment: DeploymentFile['deployment'],
  options: LaunchOptions = {},
): HostSpec[] {
  const {dataCentres} = deployment;
  const hosts: HostSpec[] = [];
  for (const [service, spec] of Object.entries(deployment.services)) {
    if (options.services && !options.services.includes(service)) continue;
    const count = options.workers?.[service] ?? spec.workers;
    for (let index = 0; index < count; index++) {
      const id = `${service}-${index}`;
      hosts.push({
        id,
        service,
        dataCentre: dataCentres[index % dataCentres.length]!,
        version: options.versions?.[id] ?? spec.version,
        slots: spec.slots,
        control: {
          serviceTimeMs: spec.serviceTimeMs,
          ...options.controls?.[id],
        },
      });
    }
  }
  return hosts;
}

function buildConfiguration(
  configuration: ConfigurationInput,
  {balancing, versionInForce}: LaunchOptions,
): ConfigurationInput {
  const profiles = Object.entries(configuration.profiles).map(
    ([name, profile]) => [
      name,
      {...profile, ...(balancing === undefined ? {} : {balancing})},
    ],
  );
  const services = Object.entries(configuration.services).map(
    ([name, service]) => {
      const version = versionInForce?.[name];
      return [name, {...service, ...(version === undefined ? {} : {version})}];
    },
  );
  return {
    profiles: Object.fromEntries(profiles) as ConfigurationInput['profiles'],
    services: Object.fromEntries(services) as ConfigurationInput['services'],
  };
}
