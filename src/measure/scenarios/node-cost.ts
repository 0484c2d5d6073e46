/**
 * Scenarios on the cost of a node: its binaries, its probes, and the growth of
 * its idle traffic, processor time and memory with the number of nodes.
 */
import {readdirSync, statSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {ChildProgram} from '../child-program.js';
import type {LaunchedDeployment} from '../deployment-launch.js';
import {runOnDeployment} from '../deployment-launch.js';
import type {Line} from '../linear-fit.js';
import {computeLine, computeMean} from '../linear-fit.js';
import type {LocalDeployment} from '../local-deployment.js';
import {readInputOutput, readProcessUsage} from '../machine.js';
import type {Scenario, ScenarioOptions} from './scenario.js';
import {buildLookups, findMainService, runStreams} from './scenario.js';

const PROBE_NODE_COUNTS = [3, 8, 16];
/** Each node has an upstream process; one machine can run them all. */
const SLOPE_NODE_COUNTS = [3, 6, 12, 24];
const PROBE_LOAD_RATE = 50;
const PROJECTED_NODE_COUNT = 2100;
const SETTLE_MS = 2000;
const START_COUNT = 5;
const BINARIES_FOLDER = resolve('dist/bin');
const MS_PER_SECOND = 1000;

/** Measures the probes that an upstream gets against the number of nodes. */
export const probeCostScenario: Scenario = {
  description: 'probes per upstream per second with 3, 8 and 16 nodes',
  run: async options => {
    const service = findMainService(options);
    const variants: Record<string, {idle: number; loaded: number}> = {};
    for (const count of PROBE_NODE_COUNTS) {
      variants[`${count} nodes`] = await runOnNodes(
        options,
        count,
        async launched => {
          const idle = await runStreams(launched, options, []);
          const streams = buildLookups(launched, service, PROBE_LOAD_RATE);
          const loaded = await runStreams(launched, options, streams);
          return {
            idle: idle.probesPerUpstreamPerSecond,
            loaded: loaded.probesPerUpstreamPerSecond,
          };
        },
      );
    }
    const rates = Object.values(variants).flatMap(({idle, loaded}) => [
      idle,
      loaded,
    ]);
    const highest = Math.max(...rates);
    return {
      variants,
      summary: {highestProbesPerUpstreamPerSecond: highest},
      target: 'at most the budget of the profile, 1 per second by default',
      isTargetMet: highest <= 1 + 2 / options.seconds,
    };
  },
};

/** Cost of an idle node. */
interface IdleCost {
  readonly cpuPercent: number;
  readonly residentMiB: number;
  /** Bytes read and written, calls of the local upstream included. */
  readonly bytesPerSecond: number;
  /** Membership messages and their bytes, from the node's counters. */
  readonly membershipBytesPerSecond: number;
  readonly membershipMessagesPerSecond: number;
}

/** Measures how the cost of an idle node grows with the number of nodes. */
export const slopesScenario: Scenario = {
  description: 'idle cost per node against the number of nodes',
  run: async options => {
    const variants: Record<string, IdleCost> = {};
    for (const count of SLOPE_NODE_COUNTS) {
      variants[count] = await runOnNodes(options, count, launched =>
        measureIdleCost(launched, options.seconds),
      );
    }
    const names = Object.keys(variants['3']!) as Array<keyof IdleCost>;
    const lines = names.map(name => [
      name,
      describeLine(
        computeLine(SLOPE_NODE_COUNTS.map(x => ({x, y: variants[x]![name]}))),
      ),
    ]);
    return {
      variants,
      summary: {perNode: Object.fromEntries(lines) as object},
      target:
        `at ${PROJECTED_NODE_COUNT} nodes 1.2 % of a core, 256 MB and ` +
        '6 KB/s of control per node',
      plot: {
        title: 'Control bytes per second and node, idle',
        unit: 'bytes/s',
        points: SLOPE_NODE_COUNTS.map(count => ({
          group: `${count}`,
          name: 'nodes',
          value: variants[count]!.bytesPerSecond,
        })),
      },
    };
  },
};

/** Measures the size, start time and idle memory of the binaries. */
export const binariesScenario: Scenario = {
  description: 'size, start time and idle memory of the binaries',
  run: async options => {
    const files = readdirSync(BINARIES_FOLDER).filter(name =>
      name.endsWith('.js'),
    );
    const variants: Record<string, object> = {};
    for (const file of files) {
      variants[file] = {
        sizeBytes: statSync(join(BINARIES_FOLDER, file)).size,
        versionMs: await measureVersionCall(join(BINARIES_FOLDER, file)),
      };
    }
    const node = await runOnNodes(options, 1, async ({deployment}) => {
      const host = deployment.hosts[0]!;
      await wait(SETTLE_MS);
      const {residentBytes} = readProcessUsage(host.node!.pid);
      await host.node!.kill();
      const startedAt = performance.now();
      await host.startNode();
      const readyMs = Math.round(performance.now() - startedAt);
      return {readyMs, residentMiB: toMiB(residentBytes)};
    });
    return {variants: {...variants, 'running node': node}, summary: node};
  },
};

function runOnNodes<T>(
  options: ScenarioOptions,
  count: number,
  run: (launched: LaunchedDeployment) => Promise<T>,
): Promise<T> {
  const service = findMainService(options);
  const launch = {services: [service], workers: {[service]: count}};
  return runOnDeployment(options.file, launch, run);
}

async function measureIdleCost(
  {deployment}: LaunchedDeployment,
  seconds: number,
): Promise<IdleCost> {
  await wait(SETTLE_MS);
  const countsBefore = await readMembershipCounts(deployment);
  const pids = deployment.hosts.map(host => host.node!.pid);
  const read = () =>
    pids.map(pid => ({...readProcessUsage(pid), ...readInputOutput(pid)}));
  const before = read();
  await wait(seconds * MS_PER_SECOND);
  const after = read();
  const countsAfter = await readMembershipCounts(deployment);
  const computeNodeRate = (name: keyof MembershipCounts): number =>
    toHundredths(
      (countsAfter[name] - countsBefore[name]) / pids.length / seconds,
    );
  const computeRate = (name: 'cpuSeconds' | 'bytes'): number =>
    computeMean(
      after.map((each, index) => (each[name] - before[index]![name]) / seconds),
    );
  return {
    cpuPercent: toHundredths(computeRate('cpuSeconds') * 100),
    residentMiB: toMiB(computeMean(after.map(each => each.residentBytes))),
    bytesPerSecond: toHundredths(computeRate('bytes')),
    membershipBytesPerSecond: computeNodeRate('bytes'),
    membershipMessagesPerSecond: computeNodeRate('messages'),
  };
}

interface MembershipCounts {
  readonly bytes: number;
  readonly messages: number;
}

async function readMembershipCounts({
  hosts,
}: LocalDeployment): Promise<MembershipCounts> {
  const statuses = await Promise.all(hosts.map(host => host.readStatus()));
  const add = (name: string): number =>
    statuses.reduce((sum, {counters}) => sum + (counters[name] ?? 0), 0);
  return {
    bytes: add('membership.bytes-sent'),
    messages: add('membership.messages-sent'),
  };
}

async function measureVersionCall(file: string): Promise<number> {
  const times: number[] = [];
  for (let round = 0; round < START_COUNT; round++) {
    const startedAt = performance.now();
    await new ChildProgram(file, ['--version']).exited;
    times.push(performance.now() - startedAt);
  }
  return Math.round(Math.min(...times));
}

function describeLine(line: Line): object {
  return {
    intercept: toHundredths(line.intercept),
    slopePerNode: Number(line.slope.toPrecision(4)),
    maxResidual: toHundredths(line.maxResidual),
    [`at${PROJECTED_NODE_COUNT}`]: toHundredths(
      line.intercept + line.slope * PROJECTED_NODE_COUNT,
    ),
  };
}

function toMiB(bytes: number): number {
  return toHundredths(bytes / 1024 ** 2);
}

function toHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
