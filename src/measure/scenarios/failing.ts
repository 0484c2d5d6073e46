/**
 * Scenarios on failing and cold workers: whether retries multiply the load, and
 * whether a cold worker gets more requests than its cold concurrency.
 */
import {runOnDeployment} from '../deployment-launch.js';
import type {Scenario} from './scenario.js';
import {
  buildLookups,
  findMainService,
  runPolicies,
  runStreams,
  runWarmUp,
} from './scenario.js';

const DEFAULT_RATE = 300;
const MAX_ATTEMPTS_PER_CALL = 1.2;
const COLD_CONCURRENCY = 1;

/** Counts attempts per call while every worker answers 500 at once. */
export const allFailingScenario: Scenario = {
  description: 'every worker fails at once; attempts per call',
  run: async options => {
    const service = findMainService(options);
    const rate = options.ratePerSecond ?? DEFAULT_RATE;
    const variants = await runPolicies(options, balancing => {
      const launch = {balancing, services: [service]};
      return runOnDeployment(options.file, launch, async launched => {
        await updateControls(launched.deployment.hosts, {isFailingFast: true});
        const streams = buildLookups(launched, service, rate);
        return runStreams(launched, options, streams);
      });
    });
    const {attemptsPerCall, gateAttemptsPerCall} = variants.adaptive;
    return {
      variants,
      summary: {attemptsPerCall, gateAttemptsPerCall},
      target: `attempts per call at the upstreams below ${MAX_ATTEMPTS_PER_CALL}`,
      isTargetMet: attemptsPerCall < MAX_ATTEMPTS_PER_CALL,
    };
  },
};

/**
 * One worker turns cold, without notice and then announced; it can run one
 * request at a time.
 */
export const coldStartScenario: Scenario = {
  description:
    'one worker turns cold without notice; requests above its concurrency',
  run: async options => {
    const service = findMainService(options);
    const rate = options.ratePerSecond ?? DEFAULT_RATE;
    const variants = await runPolicies(options, balancing => {
      const launch = {balancing, services: [service]};
      return runOnDeployment(options.file, launch, async launched => {
        const streams = buildLookups(launched, service, rate);
        const worker = launched.deployment.hosts[0]!.upstream!;
        await runWarmUp(launched, options, streams);
        const warm = await runStreams(launched, options, streams);
        await worker.setControl({coldConcurrency: COLD_CONCURRENCY});
        const turnedCold = await runStreams(launched, options, streams);
        await worker.setControl({coldConcurrency: 0});
        const warmAgain = await runStreams(launched, options, streams);
        await worker.setControl({
          coldConcurrency: COLD_CONCURRENCY,
          state: 'cold',
        });
        const announcedCold = await runStreams(launched, options, streams);
        return {warm, turnedCold, warmAgain, announcedCold};
      });
    });
    const {warm, turnedCold, announcedCold} = variants.adaptive;
    return {
      variants,
      summary: {
        overloadsUnannounced: turnedCold.coldOverloads,
        overloadsAnnounced: announcedCold.coldOverloads,
        errorsToCallers: turnedCold.upstreamErrors,
        p99RatioUnannounced: turnedCold.p99Ms / warm.p99Ms,
        p99RatioAnnounced: announcedCold.p99Ms / warm.p99Ms,
      },
      target: 'no request above the concurrency of an announced cold worker',
      isTargetMet: announcedCold.coldOverloads === 0,
    };
  },
};

async function updateControls(
  hosts: ReadonlyArray<{
    upstream:
      {setControl(control: Record<string, unknown>): Promise<void>} | undefined;
  }>,
  control: Record<string, unknown>,
): Promise<void> {
  await Promise.all(hosts.map(host => host.upstream?.setControl(control)));
}
