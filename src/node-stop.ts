/**
 * Planned stop of a node. Peers and callers are told first and the node goes
 * on serving meanwhile, so that no request is cut, whether it runs, waits or
 * is on its way on an open connection.
 */
import type {Server} from 'node:http';
import type {NodeSettings} from './protocol/settings.js';
import type {OwnAnswer} from './transport/caller-listener.js';
import {ConnectionCloser} from './transport/connection-closer.js';
import {
  closeServer,
  drainServer,
  waitForNoConnections,
} from './transport/server-drain.js';

/** Time for connections that nobody uses any more to close. */
const CLOSE_LIMIT_MS = 1000;
/** Time in which whatever a peer sent before it knew of the stop arrives. */
const QUIET_MS = 200;

/** Work of another module that a stop waits for. */
export type StopTask = () => Promise<void>;

/** This node among the others. */
export interface LeavingMember {
  /** Tells the others that this node takes no more attempts. */
  leave(): Promise<void>;
  stop(): void;
}

/** What a stop works with. */
export interface NodeStopParts {
  readonly settings: NodeSettings['stop'];
  readonly membership: LeavingMember;
  readonly callerServer: Server;
  readonly peerServer: Server;
  /** Closes the connections to other nodes, the upstream and the metrics. */
  readonly closeClients: () => Promise<void>;
  /**
   * Whether the gate serves until this host's callers have left. The fleet
   * then misses its worker for the restart only; a node with tasks before
   * refusing keeps the time for those.
   */
  readonly servesWhileCallersLeave?: boolean;
  /** Told of each step, with whether it ended in time. */
  readonly handleStep: (step: string, isComplete: boolean) => void;
}

/** The stop of one node. */
export class NodeStop {
  /**
   * Run one after the other when other nodes know of the stop and before the
   * gate refuses attempts, for instance to hand keys over: until then the node
   * goes on serving what others can't take from it.
   */
  readonly beforeRefusing: StopTask[] = [];
  /** Run when all callers have their answers; other nodes can be reached. */
  readonly beforeExit: StopTask[] = [];
  private readonly callerConnections: ConnectionCloser;
  private readonly peerConnections: ConnectionCloser;
  private hasBegun = false;
  private isRefusing = false;

  constructor(private readonly parts: NodeStopParts) {
    const {callerServer, peerServer, settings} = parts;
    this.callerConnections = new ConnectionCloser(
      callerServer,
      settings.lingerTime,
    );
    this.peerConnections = new ConnectionCloser(peerServer);
  }

  /** Whether a stop has begun, so that the node is not ready. */
  get isStopping(): boolean {
    return this.hasBegun;
  }

  /** Whether other nodes have been told and the gate takes no attempts. */
  get isRefusingAttempts(): boolean {
    return this.isRefusing;
  }

  /** Runs the stop to its end. */
  async run(): Promise<void> {
    this.hasBegun = true;
    this.callerConnections.start();
    if (this.parts.servesWhileCallersLeave) await this.waitForCallers();
    await this.parts.membership.leave();
    this.parts.handleStep('peers told', true);
    await this.runTasks('before refusing', this.beforeRefusing);
    this.refuseAttempts();
    await this.releaseCallers();
    await this.runTasks('before exit', this.beforeExit);
    await this.drainAttempts();
    this.parts.membership.stop();
    await waitAtMost(this.parts.closeClients(), CLOSE_LIMIT_MS);
  }

  private refuseAttempts(): void {
    this.isRefusing = true;
    this.peerConnections.start();
    this.parts.handleStep('attempts refused', true);
  }

  private async waitForCallers(): Promise<void> {
    const {callerServer, settings, handleStep} = this.parts;
    const {lingerTime} = settings;
    const haveLeft = await waitForNoConnections(callerServer, lingerTime);
    handleStep('callers left', haveLeft);
  }

  private async releaseCallers(): Promise<void> {
    const {callerServer, settings, handleStep} = this.parts;
    if (!this.parts.servesWhileCallersLeave) await this.waitForCallers();
    const hasAnswered = await drainServer(callerServer, settings.drainTimeout);
    handleStep('answered', hasAnswered);
  }

  private async runTasks(
    step: string,
    tasks: readonly StopTask[],
  ): Promise<void> {
    const {settings, handleStep} = this.parts;
    for (const task of tasks) {
      handleStep(step, await waitAtMost(task(), settings.drainTimeout));
    }
  }

  private async drainAttempts(): Promise<void> {
    const {peerServer, settings, handleStep} = this.parts;
    const haveEnded = await this.peerConnections.waitUntilQuiet(
      QUIET_MS,
      settings.drainTimeout,
    );
    handleStep('attempts ended', haveEnded);
    await closeServer(peerServer);
  }
}

/** Answer of the readiness path: a node takes callers between join and stop. */
export function describeReadiness(
  isStopping: boolean,
  hasJoined: boolean,
): OwnAnswer {
  if (isStopping) return {status: 503, body: {status: 'stopping'}};
  if (!hasJoined) return {status: 503, body: {status: 'joining'}};
  return {status: 200, body: {status: 'ready'}};
}

/** Waits for a task; false when it failed or time ran out. */
async function waitAtMost(
  task: Promise<void>,
  limitMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<boolean>(resolve => {
    timer = setTimeout(() => resolve(false), limitMs);
  });
  const outcome = task.then(
    () => true,
    () => false,
  );
  const isDone = await Promise.race([outcome, limit]);
  clearTimeout(timer);
  return isDone;
}
