/**
 * Scenarios on operators' changes: a data centre taken out and taken back in
 * under load, and the time until a configuration is in force at every node.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {stringify as formatToml} from 'smol-toml';
import type {BalancingPolicy} from '../../protocol/configuration.js';
import type {LaunchedDeployment} from '../deployment-launch.js';
import {runOnDeployment} from '../deployment-launch.js';
import {LatencyHistogram} from '../latency.js';
import {toSnakeKeys} from '../local-deployment.js';
import type {CommandRun} from '../operator-command.js';
import {runOperatorCommand} from '../operator-command.js';
import type {RunResults, Scenario, ScenarioOptions} from './scenario.js';
import {
  buildLookups,
  computeRatio,
  findMainService,
  runPolicies,
  runStreams,
  runWarmUp,
} from './scenario.js';

const DEFAULT_RATE = 300;
const MAX_P99_RATIO = 1.5;
const NEW_WORK_GRACE_MS = 2000;
const PUBLISH_COUNT = 10;
const MAX_IN_FORCE_MS = 2000;
const SLOW_LOG_DELAY_MS = 300;

interface DataCentreResults {
  readonly before: RunResults;
  readonly goingOut: RunResults;
  readonly out: RunResults;
  readonly comingBack: RunResults;
  readonly outCommand: CommandRun;
  readonly inCommand: CommandRun;
  /** Time from the end of the command to the last request at a worker there. */
  readonly lastWorkAfterMs: number;
}

/** Takes a data centre out and back in while calls run. */
export const dataCentreScenario: Scenario = {
  description: 'a data centre taken out and brought back under load',
  run: async options => {
    const variants = await runPolicies(options, policy =>
      runDataCentre(options, policy),
    );
    const {adaptive} = variants;
    const {before, goingOut, out, comingBack, lastWorkAfterMs} = adaptive;
    const p99Ratio = {
      goingOut: computeRatio(goingOut.p99Ms, before.p99Ms),
      out: computeRatio(out.p99Ms, before.p99Ms),
      comingBack: computeRatio(comingBack.p99Ms, before.p99Ms),
    };
    const refusals = {
      goingOut: goingOut.refusals,
      out: out.refusals,
      comingBack: comingBack.refusals,
    };
    const isRefused = Object.values(refusals).some(
      each => Object.keys(each).length > 0,
    );
    return {
      variants,
      summary: {p99Ratio, refusals, lastWorkAfterMs},
      target:
        `p99 ratios at most ${MAX_P99_RATIO}, no refusal, and no new work ` +
        `${NEW_WORK_GRACE_MS} ms after the command`,
      isTargetMet:
        Math.max(...Object.values(p99Ratio)) <= MAX_P99_RATIO &&
        !isRefused &&
        lastWorkAfterMs <= NEW_WORK_GRACE_MS,
      plot: {
        title: 'p99 while a data centre leaves and returns',
        unit: 'ms',
        points: Object.entries(variants).flatMap(([name, results]) =>
          (['before', 'goingOut', 'out', 'comingBack'] as const).map(group => ({
            group,
            name,
            value: results[group].p99Ms,
          })),
        ),
      },
    };
  },
};

/**
 * Measures the time until a published configuration is in force at every node.
 */
export const inForceScenario: Scenario = {
  description: 'time until a configuration is in force at every node',
  run: async options => {
    const service = findMainService(options);
    const launch = {services: [service]};
    const variants = await runOnDeployment(
      options.file,
      launch,
      async launched => {
        const logWell = await publishRepeatedly(launched, options);
        await launched.log.setControl({delayMs: SLOW_LOG_DELAY_MS});
        const logSlow = await publishRepeatedly(launched, options);
        return {logWell, logSlow};
      },
    );
    const {logWell, logSlow} = variants;
    return {
      variants,
      summary: {logWellMaxMs: logWell.maxMs, logSlowMaxMs: logSlow.maxMs},
      target: `in force everywhere within ${MAX_IN_FORCE_MS} ms of the command`,
      isTargetMet: logWell.maxMs <= MAX_IN_FORCE_MS && logWell.failures === 0,
    };
  },
};

async function runDataCentre(
  options: ScenarioOptions,
  balancing: BalancingPolicy,
): Promise<DataCentreResults> {
  const service = findMainService(options);
  const launch = {balancing, services: [service]};
  return runOnDeployment(options.file, launch, async launched => {
    const rate = options.ratePerSecond ?? DEFAULT_RATE;
    const streams = buildLookups(launched, service, rate);
    const [name] = options.file.deployment.dataCentres;
    const runUnderLoad = (command: string) =>
      Promise.all([
        runStreams(launched, options, streams),
        runOperatorCommand(launched, ['data-centre', command, name!]),
      ]);
    await runWarmUp(launched, options, streams);
    const before = await runStreams(launched, options, streams);
    const [goingOut, outCommand] = await runUnderLoad('out');
    const out = await runStreams(launched, options, streams);
    const lastWorkAt = await readLastWorkAt(launched, name!);
    const [comingBack, inCommand] = await runUnderLoad('in');
    return {
      before,
      goingOut,
      out,
      comingBack,
      outCommand,
      inCommand,
      lastWorkAfterMs: Math.max(0, lastWorkAt - outCommand.endedAtMs),
    };
  });
}

/** Reads the time of the newest request at any upstream of a data centre. */
async function readLastWorkAt(
  {deployment}: LaunchedDeployment,
  dataCentre: string,
): Promise<number> {
  const times = await Promise.all(
    deployment.hosts
      .filter(host => host.spec.dataCentre === dataCentre)
      .map(async host =>
        Number((await host.upstream!.readStats())['lastRequestAtMs']),
      ),
  );
  return Math.max(...times);
}

async function publishRepeatedly(
  launched: LaunchedDeployment,
  options: ScenarioOptions,
) {
  const folder = mkdtempSync(join(tmpdir(), 'sequoiaspool-publish-'));
  const file = join(folder, 'configuration.toml');
  writeFileSync(file, formatToml(toSnakeKeys(options.file.configuration)));
  const times = new LatencyHistogram();
  let failures = 0;
  try {
    for (let change = 0; change < PUBLISH_COUNT; change++) {
      const run = await runOperatorCommand(launched, ['publish', file]);
      if (run.exitCode === 0) times.record(run.elapsedMs);
      else failures += 1;
    }
  } finally {
    rmSync(folder, {recursive: true, force: true});
  }
  return {...times.report(), failures};
}
