/**
 * Scenarios on the choice of a worker: the adaptive policy compared with the
 * baseline policies, with and without a slow worker.
 */
import type {BalancingPolicy} from '../../protocol/configuration.js';
import {runOnDeployment} from '../deployment-launch.js';
import type {Plot, RunResults, Scenario, ScenarioOptions} from './scenario.js';
import {
  buildLookups,
  computeRatio,
  findMainService,
  runPolicies,
  runStreams,
  runWarmUp,
} from './scenario.js';

const DEFAULT_RATE = 600;
const SLOW_FACTOR = 10;
const MAX_SLOW_WORKER_P99_RATIO = 1.5;
/** Smaller differences are indistinguishable from the noise of the machine. */
const MAX_NO_FAULT_P99_RATIO = 1.05;

interface SlowWorkerResults {
  readonly noneSlowed: RunResults;
  readonly oneSlowed: RunResults;
  readonly p99Ratio: number;
  /** Fraction of the requests that reached the slowed worker. */
  readonly slowedShare: number;
}

/**
 * Compares a deployment with one worker slowed tenfold to the same with none.
 */
export const slowWorkerScenario: Scenario = {
  description: 'one worker slowed tenfold; p99 against none slowed',
  run: async options => {
    const variants = await runPolicies(options, policy =>
      runWithSlowWorker(options, policy),
    );
    const ratios = computeEach(variants, results => results.p99Ratio);
    return {
      variants,
      summary: {
        p99Ratio: ratios,
        slowedShare: computeEach(variants, results => results.slowedShare),
      },
      target: `p99 ratio of adaptive at most ${MAX_SLOW_WORKER_P99_RATIO}`,
      isTargetMet: ratios.adaptive <= MAX_SLOW_WORKER_P99_RATIO,
      plot: buildSlowPlot(variants),
    };
  },
};

/** Compares the policies while all workers are healthy. */
export const noFaultScenario: Scenario = {
  description: 'all workers healthy; p99 against the best baseline',
  run: async options => {
    const variants = await runPolicies(options, policy =>
      runHealthy(options, policy),
    );
    const {adaptive, ...baselines} = computeEach(variants, each => each.p99Ms);
    const best = Math.min(...Object.values(baselines));
    const p99Ratio = computeRatio(adaptive, best);
    return {
      variants,
      summary: {p99Ratio, bestBaselineP99Ms: best},
      target: `p99 of adaptive at most ${MAX_NO_FAULT_P99_RATIO} of the best baseline's`,
      isTargetMet: p99Ratio <= MAX_NO_FAULT_P99_RATIO,
      plot: {
        title: 'Latency with no fault',
        unit: 'ms',
        points: Object.entries(variants).flatMap(([name, results]) => [
          {group: 'p50', name, value: results.p50Ms},
          {group: 'p99', name, value: results.p99Ms},
          {group: 'p99.9', name, value: results.p999Ms},
        ]),
      },
    };
  },
};

async function runWithSlowWorker(
  options: ScenarioOptions,
  balancing: BalancingPolicy,
): Promise<SlowWorkerResults> {
  const service = findMainService(options);
  const launch = {balancing, services: [service]};
  return runOnDeployment(options.file, launch, async launched => {
    const rate = options.ratePerSecond ?? DEFAULT_RATE;
    const streams = buildLookups(launched, service, rate);
    await runWarmUp(launched, options, streams);
    const noneSlowed = await runStreams(launched, options, streams);
    const slowed = launched.deployment.hosts[0]!.upstream!;
    const countBefore = Number((await slowed.readStats())['requests']);
    await slowed.setControl({slowFactor: SLOW_FACTOR});
    const oneSlowed = await runStreams(launched, options, streams);
    const countAfter = Number((await slowed.readStats())['requests']);
    return {
      noneSlowed,
      oneSlowed,
      p99Ratio: computeRatio(oneSlowed.p99Ms, noneSlowed.p99Ms),
      slowedShare: computeRatio(
        countAfter - countBefore,
        oneSlowed.upstreamRequests,
      ),
    };
  });
}

async function runHealthy(
  options: ScenarioOptions,
  balancing: BalancingPolicy,
): Promise<RunResults> {
  const service = findMainService(options);
  const launch = {balancing, services: [service]};
  return runOnDeployment(options.file, launch, async launched => {
    const rate = options.ratePerSecond ?? DEFAULT_RATE;
    const streams = buildLookups(launched, service, rate);
    await runWarmUp(launched, options, streams);
    return runStreams(launched, options, streams);
  });
}

function buildSlowPlot(
  variants: Readonly<Record<string, SlowWorkerResults>>,
): Plot {
  return {
    title: 'p99 with one worker of the service slowed tenfold',
    unit: 'ms',
    points: Object.entries(variants).flatMap(([name, results]) => [
      {group: 'none slowed', name, value: results.noneSlowed.p99Ms},
      {group: 'one slowed', name, value: results.oneSlowed.p99Ms},
    ]),
  };
}

function computeEach<K extends string, V, R>(
  values: Readonly<Record<K, V>>,
  compute: (value: V) => R,
): Record<K, R> {
  return Object.fromEntries(
    Object.entries(values).map(([key, value]) => [key, compute(value as V)]),
  ) as Record<K, R>;
}
