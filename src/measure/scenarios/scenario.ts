/**
 * Shared by all scenarios: options, report, and a measured load run on a
 * running deployment.
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
import type {UpstreamStats} from '../run-check.js';
import {checkRuns, readUpstreamStats} from '../run-check.js';

const MS_PER_SECOND = 1000;
/** Time at the start of a run whose calls are left out of the latencies. */
const WARM_UP_MS = 500;
/** Duration of load after which the workers are warm. */
const WARM_UP_RUN_SECONDS = 3;

/** Options of a scenario. */
export interface ScenarioOptions {
  readonly seed: string;
  /** Duration of one measured run; a scenario makes several. */
  readonly seconds: number;
  /** Calls per second; the scenario's default when absent. */
  readonly ratePerSecond?: number;
  readonly file: DeploymentInput;
}

/** Values to draw as a bar chart, grouped, one bar per variant. */
export interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly points: ReadonlyArray<{
    readonly group: string;
    readonly name: string;
    readonly value: number;
  }>;
}

/** Results of a scenario. */
export interface ScenarioFindings {
  /** Results by variant. */
  readonly variants: Readonly<Record<string, object>>;
  /** Main results, such as ratios between variants. */
  readonly summary: Readonly<Record<string, unknown>>;
  /** Description of the target; absent when the scenario has none. */
  readonly target?: string;
  readonly isTargetMet?: boolean;
  readonly plot?: Plot;
}

/** One experiment. */
export interface Scenario {
  readonly description: string;
  run(options: ScenarioOptions): Promise<ScenarioFindings>;
}

/** Report of a scenario, printed as JSON. */
export interface ScenarioReport extends ScenarioFindings {
  readonly scenario: string;
  readonly deployment: string;
  readonly seed: string;
  readonly seconds: number;
  readonly ratePerSecond?: number;
  readonly machine: {readonly before: MachineLoad; readonly after: MachineLoad};
}

/** Results of one measured run. */
export interface RunResults {
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
  /** Latencies by stream name. */
  readonly streams: Readonly<Record<string, Quantiles>>;
  readonly refusalsByStream: Readonly<
    Record<string, Readonly<Record<string, number>>>
  >;
  readonly upstreamRequests: number;
  readonly attemptsPerCall: number;
  /** Attempts at gates per call, retries and hedges included. */
  readonly gateAttemptsPerCall: number;
  readonly coldOverloads: number;
  readonly probesPerUpstreamPerSecond: number;
  /** Processor time of all nodes per call. */
  readonly nodeCpuMsPerCall: number;
  readonly generatorLagP99Ms: number;
}

/** Runs streams of calls on a deployment and returns the results. */
export async function runStreams(
  {deployment}: LaunchedDeployment,
  options: ScenarioOptions,
  streams: readonly CallStream[],
): Promise<RunResults> {
  const pids = deployment.hosts.flatMap(({node}) => (node ? [node.pid] : []));
  const before = await readUpstreamStats(deployment);
  const retriesBefore = await countRetries(deployment);
  const cpuBefore = readCpuSeconds(pids);
  const report = await runLoad({
    seed: options.seed,
    durationMs: options.seconds * MS_PER_SECOND,
    warmUpMs: Math.min(WARM_UP_MS, (options.seconds * MS_PER_SECOND) / 4),
    streams,
  });
  const cpuSeconds = readCpuSeconds(pids) - cpuBefore;
  const retries = (await countRetries(deployment)) - retriesBefore;
  const after = await readUpstreamStats(deployment);
  const computeIncrease = (
    name: 'requests' | 'probes' | 'coldOverloads',
  ): number => addCounts(after, name) - addCounts(before, name);
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
    upstreamRequests: computeIncrease('requests'),
    attemptsPerCall: computeRatio(computeIncrease('requests'), requests),
    gateAttemptsPerCall: computeRatio(requests + retries, requests),
    coldOverloads: computeIncrease('coldOverloads'),
    probesPerUpstreamPerSecond: computeRatio(
      computeIncrease('probes'),
      after.size * options.seconds,
    ),
    nodeCpuMsPerCall: toRoundedMs((cpuSeconds * MS_PER_SECOND) / requests),
    generatorLagP99Ms: report.generatorLag.p99Ms,
  };
}

/**
 * Runs the streams without measuring, so that the workers' cold start after the
 * start of the deployment does not distort the fault-free results.
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

/** Builds lookups of a service from several callers through all nodes. */
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
 * Runs a task once with each balancing policy. The first run is slower because
 * the generator's code is not yet JIT-compiled, so the seed decides which
 * policy runs first.
 */
export async function runPolicies<T>(
  {seed}: ScenarioOptions,
  run: (policy: BalancingPolicy) => Promise<T>,
): Promise<Record<BalancingPolicy, T>> {
  const count = BALANCING_POLICIES.length;
  const first = Math.floor(seedrandom(seed)() * count);
  const results: Partial<Record<BalancingPolicy, T>> = {};
  for (let index = 0; index < count; index++) {
    const policy = BALANCING_POLICIES[(first + index) % count]!;
    results[policy] = await run(policy);
  }
  return results as Record<BalancingPolicy, T>;
}

/** Returns the service that a scenario calls: the first of the deployment. */
export function findMainService(options: ScenarioOptions): string {
  const [service] = Object.keys(options.file.deployment.services);
  if (service === undefined) throw new Error('the deployment has no service');
  return service;
}

/** Computes a ratio rounded to three decimals; 0 when the divisor is 0. */
export function computeRatio(value: number, divisor: number): number {
  return divisor === 0 ? 0 : Math.round((value / divisor) * 1000) / 1000;
}

/** Adds up the retries and hedges of all nodes. */
async function countRetries({hosts}: LocalDeployment): Promise<number> {
  const statuses = await Promise.all(hosts.map(host => host.readStatus()));
  return statuses
    .flatMap(({counters}) => Object.entries(counters))
    .filter(([name]) => /^(retries|hedges)\./.test(name))
    .filter(([name]) => name !== 'retries.refused-by-budget')
    .reduce((sum, [, count]) => sum + count, 0);
}

function addCounts(
  counts: ReadonlyMap<string, UpstreamStats>,
  name: 'requests' | 'probes' | 'coldOverloads',
): number {
  return [...counts.values()].reduce((sum, each) => sum + each[name], 0);
}
