/**
 * Scenario on moving traffic to a new version by a given time: the move to a
 * good version should be done in time, and the move to each kind of bad version
 * should be taken back after a small fraction of the calls.
 */
import type {LaunchedDeployment, LaunchOptions} from '../deployment-launch.js';
import {buildHosts, runOnDeployment} from '../deployment-launch.js';
import type {CommandRun} from '../operator-command.js';
import {runOperatorCommand} from '../operator-command.js';
import type {RunResults, Scenario, ScenarioOptions} from './scenario.js';
import {
  buildLookups,
  computeRatio,
  findMainService,
  runStreams,
  runWarmUp,
} from './scenario.js';

const DEFAULT_RATE = 200;
const MIN_SECONDS = 10;
/** Fraction of the run after which the move is due. */
const DUE_TIME_FRACTION = 0.6;
/**
 * Time for the operators' command to start and to observe the end of the move.
 */
const COMMAND_SLACK_MS = 2000;
const OLD_VERSION = 'v1';
const NEW_VERSION = 'v2';
const EXIT_DONE = 0;
const EXIT_TAKEN_BACK = 6;
const MAX_BAD_VERSION_FRACTION = 0.05;
const ROUTES = ['/tickets', '/stock'];

/** Controls of the new version's upstream stand-ins, by variant. */
const NEW_VERSIONS: Readonly<Record<string, Record<string, unknown>>> = {
  good: {},
  'fails at once': {isFailingFast: true},
  'fails on one route': {failingPathPrefix: '/stock'},
  'ten times slower': {slowFactor: 10},
};

interface MoveResults {
  readonly command: CommandRun;
  readonly load: RunResults;
  /** Fraction of the requests that reached the new version. */
  readonly newVersionShare: number;
}

/** Runs one move per kind of new version. */
export const versionMoveScenario: Scenario = {
  description: 'moves to a good version and to bad ones, under load',
  run: async given => {
    const seconds = Math.max(MIN_SECONDS, given.seconds);
    const options = {...given, seconds};
    const variants: Record<string, MoveResults> = {};
    for (const [name, control] of Object.entries(NEW_VERSIONS)) {
      variants[name] = await runMove(options, control);
    }
    const {good, ...bad} = variants;
    const dueMs = seconds * DUE_TIME_FRACTION * 1000;
    const isGoodInTime =
      good!.command.exitCode === EXIT_DONE &&
      good!.command.elapsedMs <= dueMs + COMMAND_SLACK_MS;
    const isBadTakenBack = Object.values(bad).every(
      ({command, newVersionShare}) =>
        command.exitCode === EXIT_TAKEN_BACK &&
        newVersionShare <= MAX_BAD_VERSION_FRACTION,
    );
    return {
      variants,
      summary: Object.fromEntries(
        Object.entries(variants).map(([name, results]) => [
          name,
          {
            exitCode: results.command.exitCode,
            elapsedMs: results.command.elapsedMs,
            newVersionShare: results.newVersionShare,
            upstreamErrors: results.load.upstreamErrors,
          },
        ]),
      ),
      target:
        `the good version done within ${seconds * DUE_TIME_FRACTION} s; bad ones ` +
        `taken back after at most ${MAX_BAD_VERSION_FRACTION} of the calls`,
      isTargetMet: isGoodInTime && isBadTakenBack,
    };
  },
};

async function runMove(
  options: ScenarioOptions,
  control: Record<string, unknown>,
): Promise<MoveResults> {
  const service = findMainService(options);
  const hosts = buildHosts(options.file.deployment, {services: [service]});
  const newIds = hosts.map(({id}) => id).filter((id, index) => index % 2 === 1);
  const launch: LaunchOptions = {
    services: [service],
    versions: Object.fromEntries(newIds.map(id => [id, NEW_VERSION])),
    versionInForce: {[service]: OLD_VERSION},
    controls: Object.fromEntries(newIds.map(id => [id, control])),
  };
  return runOnDeployment(options.file, launch, async launched => {
    const rate = options.ratePerSecond ?? DEFAULT_RATE;
    const streams = ROUTES.flatMap(path =>
      buildLookups(launched, service, rate / ROUTES.length).map(stream => ({
        ...stream,
        path,
      })),
    );
    await runWarmUp(launched, options, streams);
    const requestsBefore = await countRequests(launched, newIds);
    const [load, command] = await Promise.all([
      runStreams(launched, options, streams),
      runOperatorCommand(launched, [
        ...['move', 'start', service, '--from', OLD_VERSION],
        ...['--to', NEW_VERSION, '--follow', '--by'],
        `${options.seconds * DUE_TIME_FRACTION}s`,
      ]),
    ]);
    const newRequests =
      (await countRequests(launched, newIds)) - requestsBefore;
    return {
      command,
      load,
      newVersionShare: computeRatio(newRequests, load.upstreamRequests),
    };
  });
}

async function countRequests(
  {deployment}: LaunchedDeployment,
  hostIds: readonly string[],
): Promise<number> {
  const counts = await Promise.all(
    hostIds.map(async id =>
      Number((await deployment.findHost(id).upstream!.readStats())['requests']),
    ),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}
