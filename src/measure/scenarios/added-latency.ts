/**
 * Scenario on the latency that nodes add to a call: one hop when the call
 * enters at the worker's local node, two hops when it enters at another node,
 * compared with direct calls to the upstream. Two services with one worker each
 * fix the path of every call.
 */
import {buildUpstreamTargets, computeAddedLatency} from '../deployment-load.js';
import type {LaunchedDeployment} from '../deployment-launch.js';
import {runOnDeployment} from '../deployment-launch.js';
import type {Quantiles} from '../latency.js';
import type {Target} from '../load-plan.js';
import type {RunResults, Scenario, ScenarioOptions} from './scenario.js';
import {computeRatio, runStreams} from './scenario.js';

const DEFAULT_RATE = 200;
const MAX_ADDED_P99_MS = 1.2;
const CALLER_COUNT = 4;
const WARM_UP_SECONDS = 5;
const WARM_UP_RATE = 1500;

type CallPath = 'straight' | 'oneHop' | 'twoHops';

/** Added latency and processor time per call. */
export const addedLatencyScenario: Scenario = {
  description: 'latency and processor time that one and two hops add',
  run: async options => {
    const services = Object.keys(options.file.deployment.services).slice(0, 2);
    const [service, other] = services;
    if (!service || !other)
      throw new Error(
        'added-latency needs a deployment file with two services',
      );
    const workers = {[service]: 1, [other]: 1};
    const controls = {[`${service}-0`]: {serviceTimeMs: 0}};
    const launch = {services, workers, controls};
    const variants = await runOnDeployment(options.file, launch, launched =>
      runPaths(launched, options, service),
    );
    return {...buildFindings(variants), variants};
  },
};

async function runPaths(
  launched: LaunchedDeployment,
  options: ScenarioOptions,
  service: string,
): Promise<Record<CallPath, RunResults>> {
  const {hosts} = launched.deployment;
  const [near, far] = hosts.map(host => ({
    address: host.callerAddress,
    prefix: `/${service}`,
  }));
  const targets: Record<CallPath, Target[]> = {
    straight: buildUpstreamTargets(hosts, service),
    oneHop: [near!],
    twoHops: [far!],
  };
  const run = (path: CallPath): Promise<RunResults> =>
    runPath(launched, options, targets[path]);
  // The first calls run before the JIT compiler has optimized the code.
  await runPath(
    launched,
    {...options, seconds: WARM_UP_SECONDS, ratePerSecond: WARM_UP_RATE},
    [...targets.straight, ...targets.oneHop, ...targets.twoHops],
  );
  return {
    straight: await run('straight'),
    oneHop: await run('oneHop'),
    twoHops: await run('twoHops'),
  };
}

function runPath(
  launched: LaunchedDeployment,
  options: ScenarioOptions,
  targets: readonly Target[],
): Promise<RunResults> {
  const rate = options.ratePerSecond ?? DEFAULT_RATE;
  const streams = Array.from({length: CALLER_COUNT}, (item, index) => ({
    name: 'lookup',
    caller: `caller-${index}`,
    kind: 'lookup' as const,
    ratePerSecond: rate / CALLER_COUNT,
    targets,
  }));
  return runStreams(launched, options, streams);
}

function buildFindings(variants: Record<CallPath, RunResults>) {
  const find = (path: CallPath): Quantiles => variants[path].streams['lookup']!;
  const oneHop = computeAddedLatency(find('oneHop'), find('straight'));
  const twoHops = computeAddedLatency(find('twoHops'), find('straight'));
  return {
    summary: {
      oneHop,
      twoHops,
      nodeCpuMsPerCall: {
        oneHop: variants.oneHop.nodeCpuMsPerCall,
        twoHops: variants.twoHops.nodeCpuMsPerCall,
      },
      p99Ratio: {
        oneHop: computeRatio(find('oneHop').p99Ms, find('straight').p99Ms),
        twoHops: computeRatio(find('twoHops').p99Ms, find('straight').p99Ms),
      },
    },
    target: `at most ${MAX_ADDED_P99_MS} ms added at p99 by two hops`,
    isTargetMet: twoHops.p99Ms <= MAX_ADDED_P99_MS,
    plot: {
      title: 'Latency by way of the call',
      unit: 'ms',
      points: (['straight', 'oneHop', 'twoHops'] as const).flatMap(path => [
        {group: 'p50', name: path, value: variants[path].p50Ms},
        {group: 'p99', name: path, value: variants[path].p99Ms},
      ]),
    },
  };
}
