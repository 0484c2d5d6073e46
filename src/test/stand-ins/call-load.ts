/**
 * Load of several keep-alive callers, distributed over the nodes of a
 * deployment.
 */
import seedrandom from 'seedrandom';
import type {LocalDeployment} from '../../measure/local-deployment.js';
import {waitFor} from '../../measure/wait-for.js';
import type {FailedCall} from './keep-alive-caller.js';
import {KeepAliveCaller} from './keep-alive-caller.js';

const MAX_PAUSE_MS = 30;
const WAIT_TIMEOUT_MS = 60_000;

/** A group of callers that send calls until stopped. */
export class CallLoad {
  private readonly callers: KeepAliveCaller[] = [];

  /** Starts the callers, each with another preferred node. */
  constructor(deployment: LocalDeployment, callerCount: number, seed: string) {
    const random = seedrandom(seed);
    const {hosts} = deployment;
    for (let index = 0; index < callerCount; index++) {
      const first = index % hosts.length;
      const nodes = [...hosts.slice(first), ...hosts.slice(0, first)];
      const caller = new KeepAliveCaller({
        name: `caller-${index}`,
        nodes: nodes.map(({callerAddress}) => callerAddress),
        computePauseMs: () => random() * MAX_PAUSE_MS,
      });
      caller.start();
      this.callers.push(caller);
    }
  }

  /** Number of calls answered with success so far. */
  get answered(): number {
    return this.callers.reduce((sum, caller) => sum + caller.answered, 0);
  }

  /** Lists the calls that failed. */
  listFailed(): FailedCall[] {
    return this.callers.flatMap(caller => caller.failed);
  }

  /** Lists the keys of all bookings that were answered. */
  listBookedKeys(): string[] {
    return this.callers.flatMap(caller => caller.bookedKeys);
  }

  /** Waits until the given number of further calls was answered. */
  async waitForCalls(count: number): Promise<void> {
    const until = this.answered + count;
    await waitFor(
      'further answered calls',
      () => this.answered >= until,
      WAIT_TIMEOUT_MS,
    );
  }

  /** Stops the callers after their current calls. */
  async stop(): Promise<void> {
    await Promise.all(this.callers.map(caller => caller.stop()));
  }
}
