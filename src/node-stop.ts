/**
 * Planned stop of a node. The node first notifies peers and callers and keeps
 * serving meanwhile, so that no request is aborted, whether it is running,
 * queued or in transit on an open connection.
 */
import type {Server} from 'node:http';
import type {NodeSettings} from './protocol/settings.js';
import type {NodeAnswer} from './transport/caller-listener.js';
import {ConnectionCloser} from './transport/connection-closer.js';
import {
  closeServer,
  drainServer,
  waitForNoConnections,
} from './transport/server-drain.js';

/** Timeout for closing the connections that are no longer in use. */
const CLOSE_TIMEOUT_MS = 1000;
/** Time for attempts to arrive that peers sent before they knew of the stop. */
const QUIET_PERIOD_MS = 200;

/** A task of another module that a stop waits for. */
export type StopTask = () => Promise<void>;

/** Membership of this node, as a stop uses it. */
export interface LeavingMember {
  /** Notifies the other nodes that this node accepts no more attempts. */
  leave(): Promise<void>;
  stop(): void;
}

/** Dependencies and settings of a stop. */
export interface NodeStopOptions {
  readonly settings: NodeSettings['stop'];
  readonly membership: LeavingMember;
  readonly callerServer: Server;
  readonly peerServer: Server;
  /** Closes the connections to other nodes, the upstream and metrics. */
  readonly closeClients: () => Promise<void>;
  /**
   * Whether the gate keeps serving until the callers of this host have
   * disconnected, so that its worker is unavailable during the restart only.
   * A node with tasks in `beforeRefusing` leaves this off, since those tasks
   * need the time.
   */
  readonly servesWhileCallersLeave?: boolean;
  /** Called after each step, with whether it completed in time. */
  readonly handleStep: (step: string, isComplete: boolean) => void;
}

/** Runs the planned stop of a node. */
export class NodeStop {
  /**
   * Tasks that run one after the other once other nodes know of the stop and
   * before the gate refuses attempts, for instance to transfer keys. Until
   * then the node keeps serving what other nodes cannot.
   */
  readonly beforeRefusing: StopTask[] = [];
  /**
   * Tasks that run when all callers have their answers and other nodes can
   * still be reached.
   */
  readonly beforeExit: StopTask[] = [];
  private readonly callerConnections: ConnectionCloser;
  private readonly peerConnections: ConnectionCloser;
  private beganAt: number | undefined;
  private isRefusing = false;

  constructor(private readonly options: NodeStopOptions) {
    const {callerServer, peerServer, settings} = options;
    this.callerConnections = new ConnectionCloser(
      callerServer,
      settings.lingerTime,
    );
    this.peerConnections = new ConnectionCloser(peerServer);
  }

  /** Whether a stop has begun; the node is then not ready. */
  get isStopping(): boolean {
    return this.beganAt !== undefined;
  }

  /**
   * Whether a request that may take until its deadline will have ended before
   * the stop cuts off what still runs.
   *
   * @param deadline time in milliseconds on the clock of `performance.now()`.
   */
  hasTimeFor(deadline: number): boolean {
    if (this.beganAt === undefined) return true;
    const {lingerTime, drainTimeout} = this.options.settings;
    return deadline <= this.beganAt + lingerTime + drainTimeout;
  }

  /** Whether other nodes were notified and the gate refuses attempts. */
  get isRefusingAttempts(): boolean {
    return this.isRefusing;
  }

  /** Runs all steps of the stop. */
  async run(): Promise<void> {
    this.beganAt = performance.now();
    this.callerConnections.start();
    if (this.options.servesWhileCallersLeave) await this.waitForCallers();
    await this.options.membership.leave();
    this.options.handleStep('peers told', true);
    await this.runTasks('before refusing', this.beforeRefusing);
    this.refuseAttempts();
    await this.releaseCallers();
    await this.runTasks('before exit', this.beforeExit);
    await this.drainAttempts();
    this.options.membership.stop();
    await waitWithTimeout(this.options.closeClients(), CLOSE_TIMEOUT_MS);
  }

  private refuseAttempts(): void {
    this.isRefusing = true;
    this.peerConnections.start();
    this.options.handleStep('attempts refused', true);
  }

  private async waitForCallers(): Promise<void> {
    const {callerServer, settings, handleStep} = this.options;
    const {lingerTime} = settings;
    const haveLeft = await waitForNoConnections(callerServer, lingerTime);
    handleStep('callers left', haveLeft);
  }

  /**
   * Returns the time in milliseconds that running requests still have. Callers
   * that leave early leave it to the requests.
   */
  private findTimeLeft(): number {
    const {lingerTime, drainTimeout} = this.options.settings;
    const endsAt = (this.beganAt ?? 0) + lingerTime + drainTimeout;
    return Math.max(drainTimeout, endsAt - performance.now());
  }

  private async releaseCallers(): Promise<void> {
    const {callerServer, handleStep} = this.options;
    if (!this.options.servesWhileCallersLeave) await this.waitForCallers();
    const hasAnswered = await drainServer(callerServer, this.findTimeLeft());
    handleStep('answered', hasAnswered);
  }

  private async runTasks(
    step: string,
    tasks: readonly StopTask[],
  ): Promise<void> {
    const {settings, handleStep} = this.options;
    for (const task of tasks) {
      handleStep(step, await waitWithTimeout(task(), settings.drainTimeout));
    }
  }

  private async drainAttempts(): Promise<void> {
    const {peerServer, settings, handleStep} = this.options;
    const haveEnded = await this.peerConnections.waitUntilQuiet(
      QUIET_PERIOD_MS,
      settings.drainTimeout,
    );
    handleStep('attempts ended', haveEnded);
    await closeServer(peerServer);
  }
}

/** Builds the readiness answer; a node is ready from its join to its stop. */
export function describeReadiness(
  isStopping: boolean,
  hasJoined: boolean,
): NodeAnswer {
  if (isStopping) return {status: 503, body: {status: 'stopping'}};
  if (!hasJoined) return {status: 503, body: {status: 'joining'}};
  return {status: 200, body: {status: 'ready'}};
}

/** Waits for a task; returns false when it failed or timed out. */
async function waitWithTimeout(
  task: Promise<void>,
  timeoutMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>(resolve => {
    timer = setTimeout(() => resolve(false), timeoutMs);
  });
  const outcome = task.then(
    () => true,
    () => false,
  );
  const isDone = await Promise.race([outcome, timeout]);
  clearTimeout(timer);
  return isDone;
}
