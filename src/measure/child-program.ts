/**
 * Child processes of the experiment tool: nodes and stand-ins. Nodes themselves
 * start no processes.
 */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';

const MAX_KEPT_OUTPUT_CHARS = 200_000;
/** Lowers the limit of the shell, which the program that replaces it keeps. */
const LIMIT_SCRIPT = 'ulimit -n "$0" && exec "$@"';

/** Running children, which are killed when the tool exits. */
const running = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** A child process whose output is captured. */
export class ChildProgram {
  /** The last characters of standard output and error. */
  output = '';
  readonly exited: Promise<number | null>;
  private readonly child: ChildProcess;

  /**
   * @param nodeFlags options of Node.js itself.
   * @param maxDescriptors open descriptors at most; as this process if omitted.
   */
  constructor(
    file: string,
    args: readonly string[],
    nodeFlags: readonly string[] = [],
    maxDescriptors?: number,
  ) {
    const words = [...nodeFlags, file, ...args];
    const [program, ...rest] =
      maxDescriptors === undefined
        ? [process.execPath, ...words]
        : [
            ...['/bin/sh', '-c', LIMIT_SCRIPT, String(maxDescriptors)],
            ...[process.execPath, ...words],
          ];
    this.child = spawn(program!, rest, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ROARR_LOG: 'true'},
    });
    running.add(this.child);
    this.child.once('exit', () => running.delete(this.child));
    const appendOutput = (chunk: Buffer): void => {
      this.output = (this.output + chunk.toString()).slice(
        -MAX_KEPT_OUTPUT_CHARS,
      );
    };
    this.child.stdout?.on('data', appendOutput);
    this.child.stderr?.on('data', appendOutput);
    this.exited = new Promise(resolve => {
      this.child.once('exit', code => resolve(code));
    });
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal, such as SIGSTOP to freeze the process. */
  sendSignal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Sends SIGTERM and waits for the exit; returns the exit code. */
  async stop(): Promise<number | null> {
    this.sendSignal('SIGCONT');
    this.sendSignal('SIGTERM');
    return this.exited;
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    this.sendSignal('SIGKILL');
    await this.exited;
  }
}
