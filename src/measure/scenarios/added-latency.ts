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
import type {RunFigures, Scenario, ScenarioOptions} from './scenario.js';
import {computeRatio, runStreams} from './scenario.js';

const DEFAULT_RATE = 200;
const P99_LIMIT_MS = 1.2;
const CALLERS = 4;
const WARM_UP_SECONDS = 5;
const WARM_UP_RATE = 1500;

type Way = 'straight' | 'oneHop' | 'twoHops';

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
      runWays(launched, options, service),
    );
    return {...buildFindings(variants), variants};
  },
};

async function runWays(
  launched: LaunchedDeployment,
  options: ScenarioOptions,
  service: string,
): Promise<Record<Way, RunFigures>> {
  const {hosts} = launched.deployment;
  const [near, far] = hosts.map(host => ({
    address: host.callerAddress,
    prefix: `/${service}`,
  }));
  const targets: Record<Way, Target[]> = {
    straight: buildUpstreamTargets(hosts, service),
    oneHop: [near!],
    twoHops: [far!],
  };
  const run = (way: Way): Promise<RunFigures> =>
    runWay(launched, options, targets[way]);
  // The first calls run before the JIT compiler has optimized the code.
  await runWay(
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

function runWay(
  launched: LaunchedDeployment,
  options: ScenarioOptions,
  targets: readonly Target[],
): Promise<RunFigures> {
  const rate = options.ratePerSecond ?? DEFAULT_RATE;
  const streams = Array.from({length: CALLERS}, (item, index) => ({
    name: 'lookup',
    caller: `caller-${index}`,
    kind: 'lookup' as const,
    ratePerSecond: rate / CALLERS,
    targets,
  }));
  return runStreams(launched, options, streams);
}

function buildFindings(variants: Record<Way, RunFigures>) {
  const find = (way: Way): Quantiles => variants[way].streams['lookup']!;
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
    target: `at most ${P99_LIMIT_MS} ms added at p99 by two hops`,
    isTargetMet: twoHops.p99Ms <= P99_LIMIT_MS,
    plot: {
      title: 'Latency by way of the call',
      unit: 'ms',
      points: (['straight', 'oneHop', 'twoHops'] as const).flatMap(way => [
        {group: 'p50', name: way, value: variants[way].p50Ms},
        {group: 'p99', name: way, value: variants[way].p99Ms},
      ]),
    },
  };
}
