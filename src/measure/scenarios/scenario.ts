/**
 * What all scenarios share: their options, their report, and one measured run
 * of load on a running deployment.
 */
import seedrandom from 'seedrandom';
import type {BalancingPolicy} from '../../protocol/configuration.js';
import {BALANCING_POLICIES} from '../../protocol/configuration.js';
import type {DeploymentInput} from '../deployment-file.js';
import {buildNodeTargets, toRoundedMs} from '../deployment-load.js';
import type {LaunchedDeployment} from '../deployment-launch.js';
import type {Quantiles} from '../latency.js';
import {runLoad} from '../load-generator.js';
import type {CallStream} from '../load-plan.js';
import type {LocalDeployment} from '../local-deployment.js';
import type {MachineLoad} from '../machine.js';
import {readCpuSeconds} from '../machine.js';
import type {UpstreamCounts} from '../run-check.js';
import {checkRuns, readUpstreamCounts} from '../run-check.js';

const SECOND_MS = 1000;
/** Start of a run that is left out of its latencies. */
const WARM_UP_MS = 500;
/** Time for workers to pass their cold start under load. */
const WARM_UP_RUN_SECONDS = 3;

/** How a scenario is to be run. */
export interface ScenarioOptions {
  readonly seed: string;
  /** Length of one measured run; a scenario makes several. */
  readonly seconds: number;
  /** Calls per second in place of the scenario's own. */
  readonly ratePerSecond?: number;
  readonly file: DeploymentInput;
}

/** A number per variant that is drawn as a bar or a point. */
export interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly points: ReadonlyArray<{
    readonly group: string;
    readonly name: string;
    readonly value: number;
  }>;
}

/** What a scenario found. */
export interface ScenarioFindings {
  /** Figures by variant. */
  readonly variants: Readonly<Record<string, object>>;
  /** The figures that matter, such as ratios between variants. */
  readonly summary: Readonly<Record<string, unknown>>;
  /** What is aimed at, in words; absent when nothing is. */
  readonly target?: string;
  readonly isTargetMet?: boolean;
  readonly plot?: Plot;
}

/** One experiment. */
export interface Scenario {
  readonly description: string;
  run(options: ScenarioOptions): Promise<ScenarioFindings>;
}

/** The JSON object that a scenario prints. */
export interface ScenarioReport extends ScenarioFindings {
  readonly scenario: string;
  readonly deployment: string;
  readonly seed: string;
  readonly seconds: number;
  readonly ratePerSecond?: number;
  readonly machine: {readonly before: MachineLoad; readonly after: MachineLoad};
}

/** Figures of one measured run. */
export interface RunFigures {
  readonly requests: number;
  readonly right: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly unanswered: Readonly<Record<string, number>>;
  readonly upstreamErrors: number;
  readonly wrong: number;
  readonly doubled: number;
  readonly truncated: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** By name of stream. */
  readonly streams: Readonly<Record<string, Quantiles>>;
  readonly refusalsByStream: Readonly<
    Record<string, Readonly<Record<string, number>>>
  >;
  readonly upstreamRequests: number;
  readonly attemptsPerCall: number;
  /** Attempts between nodes per call, first ones and retries. */
  readonly gateAttemptsPerCall: number;
  readonly coldOverloads: number;
  readonly probesPerUpstreamPerSecond: number;
  /** Processor time of all nodes per call. */
  readonly nodeCpuMsPerCall: number;
  readonly generatorLagP99Ms: number;
}

/** Runs streams of calls on a deployment and gathers the figures. */
export async function runStreams(
  {deployment}: LaunchedDeployment,
  options: ScenarioOptions,
  streams: readonly CallStream[],
): Promise<RunFigures> {
  const pids = deployment.hosts.flatMap(({node}) => (node ? [node.pid] : []));
  const before = await readUpstreamCounts(deployment);
  const retriesBefore = await countRetries(deployment);
  const cpuBefore = readCpuSeconds(pids);
  const report = await runLoad({
    seed: options.seed,
    durationMs: options.seconds * SECOND_MS,
    warmUpMs: Math.min(WARM_UP_MS, (options.seconds * SECOND_MS) / 4),
    streams,
  });
  const cpuSeconds = readCpuSeconds(pids) - cpuBefore;
  const retries = (await countRetries(deployment)) - retriesBefore;
  const after = await readUpstreamCounts(deployment);
  const countGrowth = (name: 'requests' | 'probes' | 'coldOverloads'): number =>
    addCounts(after, name) - addCounts(before, name);
  const {requests, right, refusals, unanswered, upstreamErrors} = report;
  const {p50Ms, p99Ms, p999Ms} = report.latency;
  const named = Object.entries(report.streams);
  return {
    requests,
    right,
    refusals,
    unanswered,
    upstreamErrors,
    wrong: report.wrong,
    doubled: checkRuns(after.values(), report.bookings).doubled,
    truncated: report.truncated,
    p50Ms,
    p99Ms,
    p999Ms,
    streams: Object.fromEntries(
      named.map(([name, stream]) => [name, stream.latency]),
    ),
    refusalsByStream: Object.fromEntries(
      named.map(([name, stream]) => [name, stream.refusals]),
    ),
    upstreamRequests: countGrowth('requests'),
    attemptsPerCall: computeRatio(countGrowth('requests'), requests),
    gateAttemptsPerCall: computeRatio(requests + retries, requests),
    coldOverloads: countGrowth('coldOverloads'),
    probesPerUpstreamPerSecond: computeRatio(
      countGrowth('probes'),
      after.size * options.seconds,
    ),
    nodeCpuMsPerCall: toRoundedMs((cpuSeconds * SECOND_MS) / requests),
    generatorLagP99Ms: report.generatorLag.p99Ms,
  };
}

/**
 * Runs the streams unmeasured, so that the workers' cold start after the
 * deployment's own start does not count as the state without a fault.
 */
export async function runWarmUp(
  launched: LaunchedDeployment,
  options: ScenarioOptions,
  streams: readonly CallStream[],
): Promise<void> {
  const seed = `${options.seed}-warm-up`;
  const seconds = WARM_UP_RUN_SECONDS;
  await runStreams(launched, {...options, seed, seconds}, streams);
}

/** Lookups of a service from several callers through all nodes. */
export function buildLookups(
  {deployment}: LaunchedDeployment,
  service: string,
  ratePerSecond: number,
  callers = 8,
): CallStream[] {
  return Array.from({length: callers}, (item, index) => ({
    name: 'lookup',
    caller: `caller-${index}`,
    kind: 'lookup',
    ratePerSecond: ratePerSecond / callers,
    targets: buildNodeTargets(deployment.hosts, service),
  }));
}

/**
 * Runs a task once with each balancing policy. The first to run meets a
 * generator that is not yet compiled, so the seed decides which one that is.
 */
export async function runPolicies<T>(
  {seed}: ScenarioOptions,
  run: (policy: BalancingPolicy) => Promise<T>,
): Promise<Record<BalancingPolicy, T>> {
  const count = BALANCING_POLICIES.length;
  const first = Math.floor(seedrandom(seed)() * count);
  const results: Partial<Record<BalancingPolicy, T>> = {};
  for (let turn = 0; turn < count; turn++) {
    const policy = BALANCING_POLICIES[(first + turn) % count]!;
    results[policy] = await run(policy);
  }
  return results as Record<BalancingPolicy, T>;
}

/** The service that a scenario loads: the first of the deployment. */
export function findMainService(options: ScenarioOptions): string {
  const [service] = Object.keys(options.file.deployment.services);
  if (service === undefined) throw new Error('the deployment has no service');
  return service;
}

/** Divides and rounds; 0 when there is nothing to divide by. */
export function computeRatio(value: number, by: number): number {
  return by === 0 ? 0 : Math.round((value / by) * 1000) / 1000;
}

/** Retries and hedges that all nodes have counted. */
async function countRetries({hosts}: LocalDeployment): Promise<number> {
  const statuses = await Promise.all(hosts.map(host => host.readStatus()));
  return statuses
    .flatMap(({counters}) => Object.entries(counters))
    .filter(([name]) => /^(retries|hedges)\./.test(name))
    .filter(([name]) => name !== 'retries.refused-by-budget')
    .reduce((sum, [, count]) => sum + count, 0);
}

function addCounts(
  counts: ReadonlyMap<string, UpstreamCounts>,
  name: 'requests' | 'probes' | 'coldOverloads',
): number {
  return [...counts.values()].reduce((sum, each) => sum + each[name], 0);
}
