/**
 * Scenarios on the choice of a worker: the adaptive policy compared with the
 * baseline policies, with and without a slow worker.
 */
import type {BalancingPolicy} from '../../protocol/configuration.js';
import {runOnDeployment} from '../deployment-launch.js';
import type {Plot, RunFigures, Scenario, ScenarioOptions} from './scenario.js';
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
const SLOW_WORKER_LIMIT = 1.5;
/** Smaller differences are indistinguishable from the noise of the machine. */
const NO_FAULT_LIMIT = 1.05;

interface SlowWorkerFigures {
  readonly noneSlowed: RunFigures;
  readonly oneSlowed: RunFigures;
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
      runSlowed(options, policy),
    );
    const ratios = computeEach(variants, figures => figures.p99Ratio);
    return {
      variants,
      summary: {
        p99Ratio: ratios,
        slowedShare: computeEach(variants, figures => figures.slowedShare),
      },
      target: `p99 ratio of adaptive at most ${SLOW_WORKER_LIMIT}`,
      isTargetMet: ratios.adaptive <= SLOW_WORKER_LIMIT,
      plot: buildSlowPlot(variants),
    };
  },
};

/** Compares the policies while all workers are healthy. */
export const noFaultScenario: Scenario = {
  description: 'all workers healthy; p99 against the best baseline',
  run: async options => {
    const variants = await runPolicies(options, policy =>
      runWell(options, policy),
    );
    const {adaptive, ...baselines} = computeEach(variants, each => each.p99Ms);
    const best = Math.min(...Object.values(baselines));
    const p99Ratio = computeRatio(adaptive, best);
    return {
      variants,
      summary: {p99Ratio, bestBaselineP99Ms: best},
      target: `p99 of adaptive at most ${NO_FAULT_LIMIT} of the best baseline's`,
      isTargetMet: p99Ratio <= NO_FAULT_LIMIT,
      plot: {
        title: 'Latency with no fault',
        unit: 'ms',
        points: Object.entries(variants).flatMap(([name, figures]) => [
          {group: 'p50', name, value: figures.p50Ms},
          {group: 'p99', name, value: figures.p99Ms},
          {group: 'p99.9', name, value: figures.p999Ms},
        ]),
      },
    };
  },
};

async function runSlowed(
  options: ScenarioOptions,
  balancing: BalancingPolicy,
): Promise<SlowWorkerFigures> {
  const service = findMainService(options);
  const launch = {balancing, services: [service]};
  return runOnDeployment(options.file, launch, async launched => {
    const rate = options.ratePerSecond ?? DEFAULT_RATE;
    const streams = buildLookups(launched, service, rate);
    await runWarmUp(launched, options, streams);
    const noneSlowed = await runStreams(launched, options, streams);
    const slowed = launched.deployment.hosts[0]!.upstream!;
    const countBefore = Number((await slowed.readFigures())['requests']);
    await slowed.setControl({slowFactor: SLOW_FACTOR});
    const oneSlowed = await runStreams(launched, options, streams);
    const countAfter = Number((await slowed.readFigures())['requests']);
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

async function runWell(
  options: ScenarioOptions,
  balancing: BalancingPolicy,
): Promise<RunFigures> {
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
  variants: Readonly<Record<string, SlowWorkerFigures>>,
): Plot {
  return {
    title: 'p99 with one worker of the service slowed tenfold',
    unit: 'ms',
    points: Object.entries(variants).flatMap(([name, figures]) => [
      {group: 'none slowed', name, value: figures.noneSlowed.p99Ms},
      {group: 'one slowed', name, value: figures.oneSlowed.p99Ms},
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
