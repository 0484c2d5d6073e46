/**
 * Runs the load of a deployment file: its calls through all nodes and, at a
 * tenth of the rate, its idempotent calls directly to the upstreams. The
 * difference is the latency that the nodes add.
 */
import type {DeploymentFile, DeploymentInput} from './deployment-file.js';
import type {Quantiles} from './latency.js';
import type {LoadReport} from './load-generator.js';
import {runLoad} from './load-generator.js';
import type {CallStream, Target} from './load-plan.js';
import type {Host, LocalDeployment} from './local-deployment.js';
import type {MachineLoad} from './machine.js';
import {readMachineLoad} from './machine.js';
import type {RunFaults} from './run-check.js';
import {checkRuns, readUpstreamStats} from './run-check.js';

const MS_PER_SECOND = 1000;
/** Rate of the direct calls as a fraction of the rate through the nodes. */
const DIRECT_RATE_FRACTION = 0.1;
const WARM_UP_FRACTION = 0.1;

type Service = DeploymentFile['deployment']['services'][string];

/** How to run the load. */
export interface DeploymentLoadOptions {
  readonly seed: string;
  readonly seconds: number;
  readonly signal?: AbortSignal;
}

/** Latency that the nodes add, at two quantiles, in milliseconds. */
export interface AddedLatency {
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Results of one load run of a deployment, printed as JSON. */
export interface DeploymentResults
  extends Omit<LoadReport, 'bookings'>, RunFaults {
  readonly deployment: string;
  readonly seed: string;
  readonly seconds: number;
  /** Added latency by stream name. */
  readonly addedLatency: Readonly<Record<string, AddedLatency>>;
  readonly probesPerUpstreamPerSecond: number;
  readonly machine: MachineLoad;
}

/** Runs the load of a deployment file and returns the results. */
export async function runDeploymentLoad(
  file: DeploymentInput,
  deployment: LocalDeployment,
  options: DeploymentLoadOptions,
): Promise<DeploymentResults> {
  const {seed, seconds, signal} = options;
  const durationMs = seconds * MS_PER_SECOND;
  const timing = {durationMs, warmUpMs: durationMs * WARM_UP_FRACTION};
  const machine = readMachineLoad();
  const before = await readUpstreamStats(deployment);
  const [{bookings, ...report}, direct] = await Promise.all([
    runLoad({...timing, seed, streams: buildStreams(file, deployment)}, signal),
    runLoad(
      {
        ...timing,
        seed: `${seed}-straight`,
        streams: buildDirectStreams(file, deployment),
      },
      signal,
    ),
  ]);
  const after = await readUpstreamStats(deployment);
  const countProbes = (counts: typeof after): number =>
    [...counts.values()].reduce((sum, {probes}) => sum + probes, 0);
  const probes = countProbes(after) - countProbes(before);
  return {
    deployment: file.deployment.name,
    seed,
    seconds,
    ...report,
    ...checkRuns(after.values(), bookings),
    addedLatency: compareWithDirect(report, direct),
    probesPerUpstreamPerSecond: probes / after.size / seconds,
    machine,
  };
}

/** Whether a run had right answers and no fault. */
export function hasNoFaults(results: DeploymentResults): boolean {
  const {wrong, truncated, doubled, untrueRefusals, neverRan} = results;
  const faults = wrong + truncated + doubled + untrueRefusals + neverRan;
  return faults === 0 && results.right > 0;
}

/** Builds targets that reach a service through each of the given nodes. */
export function buildNodeTargets(
  hosts: readonly Host[],
  service: string,
): Target[] {
  return hosts.map(host => ({
    address: host.callerAddress,
    prefix: `/${service}`,
  }));
}

/** Builds targets that reach the upstreams of a service without a node. */
export function buildUpstreamTargets(
  hosts: readonly Host[],
  service: string,
): Target[] {
  return hosts
    .filter(host => host.spec.service === service)
    .map(host => ({address: host.upstream!.address, prefix: ''}));
}

function buildStreams(
  file: DeploymentInput,
  {hosts}: LocalDeployment,
): CallStream[] {
  return Object.entries(file.deployment.services).flatMap(([name, service]) =>
    buildServiceStreams(name, service, buildNodeTargets(hosts, name)),
  );
}

function buildDirectStreams(
  file: DeploymentInput,
  {hosts}: LocalDeployment,
): CallStream[] {
  return Object.entries(file.deployment.services).flatMap(([name, service]) =>
    buildServiceStreams(name, service, buildUpstreamTargets(hosts, name))
      .filter(stream => stream.kind !== 'booking')
      .map(stream => ({
        ...stream,
        ratePerSecond: stream.ratePerSecond * DIRECT_RATE_FRACTION,
      })),
  );
}

function buildServiceStreams(
  name: string,
  service: Service,
  targets: readonly Target[],
): CallStream[] {
  return service.calls.flatMap(calls =>
    Array.from({length: calls.callers}, (item, index) => ({
      name: `${name} ${calls.kind}`,
      caller: `caller-${index}`,
      kind: calls.kind,
      path: calls.path,
      ratePerSecond: calls.ratePerSecond / calls.callers,
      uploadBytes: calls.uploadBytes,
      targets,
    })),
  );
}

function compareWithDirect(
  report: Pick<LoadReport, 'streams'>,
  direct: LoadReport,
): Record<string, AddedLatency> {
  const added: Record<string, AddedLatency> = {};
  for (const [name, {latency}] of Object.entries(direct.streams)) {
    const throughNodes = report.streams[name]?.latency;
    if (throughNodes) added[name] = computeAddedLatency(throughNodes, latency);
  }
  return added;
}

/**
 * Computes the difference of quantiles between calls through nodes and direct
 * ones.
 */
export function computeAddedLatency(
  throughNodes: Quantiles,
  direct: Quantiles,
): AddedLatency {
  return {
    p50Ms: toRoundedMs(throughNodes.p50Ms - direct.p50Ms),
    p99Ms: toRoundedMs(throughNodes.p99Ms - direct.p99Ms),
  };
}

/** Rounds milliseconds to microsecond precision. */
export function toRoundedMs(ms: number): number {
  return Math.round(ms * 1000) / 1000;
}
