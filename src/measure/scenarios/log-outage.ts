/**
 * Scenario on an outage of the platform log: service before, during and after.
 */
import {runOnDeployment} from '../deployment-launch.js';
import type {Scenario} from './scenario.js';
import {
  buildLookups,
  computeRatio,
  findMainService,
  runPolicies,
  runStreams,
  runWarmUp,
} from './scenario.js';

const DEFAULT_RATE = 300;
const BOOKING_RATE_RATIO = 0.2;
const MAX_P99_RATIO = 1.5;

/**
 * Compares runs before, during and after an outage in which the log refuses
 * every call.
 */
export const logOutageScenario: Scenario = {
  description: 'platform log down; p99 and refusals before, during and after',
  run: async options => {
    const service = findMainService(options);
    const rate = options.ratePerSecond ?? DEFAULT_RATE;
    const variants = await runPolicies(options, balancing => {
      const launch = {balancing, services: [service]};
      return runOnDeployment(options.file, launch, async launched => {
        const lookups = buildLookups(launched, service, rate);
        const bookings = lookups.map(stream => ({
          ...stream,
          name: 'booking',
          kind: 'booking' as const,
          ratePerSecond: stream.ratePerSecond * BOOKING_RATE_RATIO,
        }));
        const streams = [...lookups, ...bookings];
        const run = (phase: string) =>
          runStreams(
            launched,
            {...options, seed: `${options.seed}-${phase}`},
            streams,
          );
        await runWarmUp(launched, options, streams);
        const before = await run('before');
        await launched.log.setControl({isDown: true});
        const during = await run('during');
        await launched.log.setControl({isDown: false});
        const after = await run('after');
        return {before, during, after};
      });
    });
    const {before, during, after} = variants.adaptive;
    const p99Ratio = computeRatio(during.p99Ms, before.p99Ms);
    const isRefused = Object.keys(during.refusals).length > 0;
    return {
      variants,
      summary: {
        p99Ratio,
        refusals: {
          before: before.refusals,
          during: during.refusals,
          after: after.refusals,
        },
      },
      target: `p99 ratio at most ${MAX_P99_RATIO} and no refusal during the outage`,
      isTargetMet: p99Ratio <= MAX_P99_RATIO && !isRefused,
    };
  },
};
