/**
 * Runs the operators' command against the deployment of a test.
 */
import {writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {randomUUID} from 'node:crypto';
import {ChildProgram} from '../measure/child-program.js';
import type {Fixture} from './deployment-fixture.js';

const CONTROL_PROGRAM = resolve('dist/bin/ctl.js');

/** Result of a command. */
export interface CommandResult {
  readonly exitCode: number | null;
  readonly output: string;
  /** The JSON object that it wrote last; empty without one. */
  readonly result: Readonly<Record<string, unknown>>;
}

/** Runs `sequoiaspool-ctl` with the log and all nodes of a deployment. */
export async function runControl(
  fixture: Fixture,
  args: readonly string[],
): Promise<CommandResult> {
  const nodes = fixture.deployment.hosts.flatMap(host => [
    '--node',
    host.callerAddress,
  ]);
  const {name, logAddress} = fixture.deployment.spec;
  return runControlCommand([
    ...['--json', '--log', logAddress, '--log-name', name],
    ...nodes,
    ...args,
  ]);
}

/** Runs `sequoiaspool-ctl` with nothing but these arguments. */
export async function runControlCommand(
  args: readonly string[],
): Promise<CommandResult> {
  const program = new ChildProgram(CONTROL_PROGRAM, args);
  const exitCode = await program.exited;
  const line = program.output
    .split('\n')
    .filter(text => text.startsWith('{'))
    .at(-1);
  const result = JSON.parse(line ?? '{}') as Record<string, unknown>;
  return {exitCode, output: program.output, result};
}

/** Writes text to a new file and returns the file's path. */
export function writeTestFile(text: string): string {
  const file = join(tmpdir(), `sequoiaspool-test-${randomUUID()}.toml`);
  writeFileSync(file, text);
  return file;
}
