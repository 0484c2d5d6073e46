/**
 * Runs the operators' command against a deployment as a process and measures
 * how long it takes.
 */
import {resolve} from 'node:path';
import {ChildProgram} from './child-program.js';
import type {LaunchedDeployment} from './deployment-launch.js';

const CONTROL_PROGRAM = resolve('dist/bin/ctl.js');
const CONTACTED_NODE_COUNT = 3;

/** Result of one run of the command. */
export interface CommandRun {
  readonly exitCode: number | null;
  /** Time until the process exited, its start included. */
  readonly elapsedMs: number;
  readonly endedAtMs: number;
  readonly output: string;
}

/** Runs the operators' command with the given arguments. */
export async function runOperatorCommand(
  {deployment}: LaunchedDeployment,
  args: readonly string[],
): Promise<CommandRun> {
  const nodes = deployment.hosts
    .slice(0, CONTACTED_NODE_COUNT)
    .flatMap(host => ['--node', host.callerAddress]);
  const {logAddress, name} = deployment.spec;
  const log = ['--log', logAddress, '--log-name', name];
  const startedAt = performance.now();
  const program = new ChildProgram(CONTROL_PROGRAM, [
    ...log,
    ...nodes,
    '--json',
    ...args,
  ]);
  const exitCode = await program.exited;
  return {
    exitCode,
    elapsedMs: Math.round(performance.now() - startedAt),
    endedAtMs: Date.now(),
    output: program.output.trim(),
  };
}
