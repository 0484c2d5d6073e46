/**
 * Upstream and log stand-ins in separate processes, so that they do not share a
 * thread with the load generator.
 */
import {resolve} from 'node:path';
import {ChildProgram} from './child-program.js';
import type {StartUpstream, UpstreamHandle} from './local-deployment.js';
import {waitFor} from './wait-for.js';

const UPSTREAM_PROGRAM = resolve('dist/dev/upstream.js');
const LOG_PROGRAM = resolve('dist/dev/platform-log.js');

/** A platform log stand-in in a separate process. */
export interface LogProcess {
  readonly address: string;
  setControl(control: Readonly<Record<string, unknown>>): Promise<unknown>;
  stop(): Promise<void>;
}

/** Starts an upstream stand-in in a separate process. */
export const startUpstreamProcess: StartUpstream = async start => {
  const program = new ChildProgram(UPSTREAM_PROGRAM, [JSON.stringify(start)]);
  const address = await readAddress(program);
  const handle: UpstreamHandle = {
    address,
    setControl: async control => {
      await sendControl(`http://${address}/-/control`, control);
    },
    readStats: async () => {
      const response = await fetch(`http://${address}/-/figures`);
      return (await response.json()) as Record<string, unknown>;
    },
    stop: () => program.kill(),
  };
  return handle;
};

/** Starts the platform log stand-in in a separate process. */
export async function startLogProcess(): Promise<LogProcess> {
  const program = new ChildProgram(LOG_PROGRAM, []);
  const address = await readAddress(program);
  return {
    address,
    setControl: control => sendControl(`http://${address}/control`, control),
    stop: () => program.kill(),
  };
}

async function sendControl(url: string, control: unknown): Promise<unknown> {
  const response = await fetch(url, {
    method: 'POST',
    body: JSON.stringify(control),
  });
  return response.json();
}

async function readAddress(program: ChildProgram): Promise<string> {
  await waitFor('a stand-in to listen', () => {
    if (!program.isRunning) throw new Error(program.output);
    return program.output.includes('\n');
  });
  return program.output.split('\n')[0]!.trim();
}
