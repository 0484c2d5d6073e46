/**
 * Scenario on fairness between callers: one caller sends ten times its fair
 * rate, which exceeds the workers' capacity. The other callers should see
 * neither refusals nor a much higher latency.
 */
import {buildNodeTargets} from '../deployment-load.js';
import type {LaunchedDeployment} from '../deployment-launch.js';
import {runOnDeployment} from '../deployment-launch.js';
import type {CallStream} from '../load-plan.js';
import type {Scenario} from './scenario.js';
import {
  computeRatio,
  findMainService,
  runPolicies,
  runStreams,
  runWarmUp,
} from './scenario.js';

const WORKER_COUNT = 3;
const CALLER_COUNT = 8;
const EXCESS_FACTOR = 10;
const MAX_P99_RATIO = 1.5;
/** Longer than the default, so that a moderate rate saturates the workers. */
const SERVICE_TIME_MS = 24;
/** Utilization of the workers while every caller sends its fair rate. */
const FAIR_UTILIZATION = 0.5;

/** Compares the other callers' p99 with and without one caller's excess. */
export const unfairCallerScenario: Scenario = {
  description: "one caller at ten times its share; the others' p99",
  run: async options => {
    const service = findMainService(options);
    const {slots} = options.file.deployment.services[service]!;
    const capacity = (WORKER_COUNT * slots * 1000) / SERVICE_TIME_MS;
    const total = options.ratePerSecond ?? capacity * FAIR_UTILIZATION;
    const fairRatePerSecond = total / CALLER_COUNT;
    const controls = Object.fromEntries(
      Array.from({length: WORKER_COUNT}, (item, index) => [
        `${service}-${index}`,
        {serviceTimeMs: SERVICE_TIME_MS},
      ]),
    );
    const variants = await runPolicies(options, balancing => {
      const workers = {[service]: WORKER_COUNT};
      const launch = {balancing, services: [service], workers, controls};
      return runOnDeployment(options.file, launch, async launched => {
        const buildFor = (factor: number): CallStream[] =>
          buildCallers(launched, service, fairRatePerSecond, factor);
        await runWarmUp(launched, options, buildFor(1));
        const fair = await runStreams(launched, options, buildFor(1));
        const unfair = await runStreams(
          launched,
          options,
          buildFor(EXCESS_FACTOR),
        );
        return {
          fair,
          unfair,
          othersP99Ratio: computeRatio(
            unfair.streams['others']!.p99Ms,
            fair.streams['others']!.p99Ms,
          ),
          othersRefusals: unfair.refusalsByStream['others']!,
        };
      });
    });
    const {othersP99Ratio, othersRefusals} = variants.adaptive;
    const isRefused = Object.keys(othersRefusals).length > 0;
    return {
      variants,
      summary: {othersP99Ratio, othersRefusals},
      target: `others' p99 ratio at most ${MAX_P99_RATIO} and none of them refused`,
      isTargetMet: othersP99Ratio <= MAX_P99_RATIO && !isRefused,
      plot: {
        title: 'p99 of the other callers while one sends ten times its share',
        unit: 'ms',
        points: Object.entries(variants).flatMap(([name, {fair, unfair}]) => [
          {group: 'all fair', name, value: fair.streams['others']!.p99Ms},
          {group: 'one unfair', name, value: unfair.streams['others']!.p99Ms},
        ]),
      },
    };
  },
};

function buildCallers(
  {deployment}: LaunchedDeployment,
  service: string,
  fairRatePerSecond: number,
  excessFactor: number,
): CallStream[] {
  return Array.from({length: CALLER_COUNT}, (item, index) => ({
    name: index === 0 ? 'one' : 'others',
    caller: `caller-${index}`,
    kind: 'lookup' as const,
    ratePerSecond:
      index === 0 ? fairRatePerSecond * excessFactor : fairRatePerSecond,
    targets: buildNodeTargets(deployment.hosts, service),
  }));
}
