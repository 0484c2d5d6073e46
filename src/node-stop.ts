/**
 * Planned stop of a node. The node first notifies peers and callers and keeps
 * serving meanwhile, so that no request is aborted, whether it is running,
 * queued or in transit on an open connection. The stop has one end, counted
 * from its beginning, and each step may take what is left until then: a step
 * with a time of its own would cut running work early whenever the steps before
 * it were short.
 */
import type {Server} from 'node:http';
import type {RunningRequest} from './stop-admission.js';
import type {StopLimits} from './stop-limits.js';
import type {NodeAnswer} from './transport/caller-listener.js';
import {ConnectionCloser} from './transport/connection-closer.js';
import {
  closeServer,
  drainServer,
  waitForNoConnections,
} from './transport/server-drain.js';

const CUT_TEXTS: Readonly<Record<RunningRequest['sender'], string>> = {
  caller: 'request cut by a stop',
  node: 'attempt cut by a stop',
};
/** Time for attempts to arrive that peers sent before they knew of the stop. */
const QUIET_PERIOD_MS = 200;

/** A task of another module that a stop waits for. */
export type StopTask = () => Promise<void>;

/** A step of a stop that has ended; times are in milliseconds. */
export interface StopStep {
  /** Whether the step ended by itself, and not at its time limit. */
  readonly isComplete: boolean;
  /** Time since the stop began. */
  readonly elapsedMs: number;
  /** Time until the stop cuts off what still runs; negative after it. */
  readonly leftMs: number;
  /** Requests of callers that have no complete answer yet. */
  readonly requests: number;
  /** Attempts and calls of other nodes that have no complete answer yet. */
  readonly attempts: number;
}

/** Membership of this node, as a stop uses it. */
export interface LeavingMember {
  /** Notifies the other nodes that this node accepts no more attempts. */
  leave(): Promise<void>;
  stop(): void;
}

/** Dependencies and settings of a stop. */
export interface NodeStopOptions {
  readonly limits: StopLimits;
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
  /** Called after each step. */
  readonly handleStep: (name: string, step: StopStep) => void;
  /** Lists the requests that have no complete answer yet. */
  readonly listRunning: () => readonly RunningRequest[];
  /** Called for each request that is cut off, with the text of a log line. */
  readonly handleCut: (text: string, request: RunningRequest) => void;
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
  private limits: StopLimits;
  private beganAt: number | undefined;
  private isRefusing = false;

  constructor(private readonly options: NodeStopOptions) {
    const {callerServer, peerServer, limits} = options;
    this.limits = limits;
    this.callerConnections = new ConnectionCloser(
      callerServer,
      limits.lingerTime,
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
    return deadline <= this.endsAt;
  }

  /** Time in milliseconds that the work has from the beginning of a stop. */
  get workTime(): number {
    return this.limits.workTime;
  }

  /** Whether other nodes were notified and the gate refuses attempts. */
  get isRefusingAttempts(): boolean {
    return this.isRefusing;
  }

  /** Sets the limits of a stop that has not begun. */
  setLimits(limits: StopLimits): void {
    if (this.isStopping) return;
    this.limits = limits;
    this.callerConnections.setIdleTime(limits.lingerTime);
  }

  /** Runs all steps of the stop. */
  async run(): Promise<void> {
    this.beganAt = performance.now();
    this.callerConnections.start();
    if (this.options.servesWhileCallersLeave) await this.waitForCallers();
    await this.leave();
    await this.runTasks('before refusing', this.beforeRefusing);
    this.refuseAttempts();
    if (!this.options.servesWhileCallersLeave) await this.waitForCallers();
    await this.waitForWork();
    await this.drainCallers();
    await this.runTasks('before exit', this.beforeExit);
    await this.drainAttempts();
    this.options.membership.stop();
    const {closeClients} = this.options;
    await waitWithTimeout(closeClients(), this.limits.closeTime);
  }

  /**
   * Time at which the stop cuts off what runs, as `performance.now()`;
   * `Infinity` before it.
   */
  get endsAt(): number {
    if (this.beganAt === undefined) return Infinity;
    return this.beganAt + this.limits.workTime;
  }

  private reportStep(name: string, isComplete: boolean): void {
    const now = performance.now();
    this.options.handleStep(name, {
      isComplete,
      elapsedMs: Math.round(now - (this.beganAt ?? now)),
      leftMs: Math.round(this.endsAt - now),
      requests: this.callerConnections.listActive().length,
      attempts: this.peerConnections.listActive().length,
    });
  }

  private async leave(): Promise<void> {
    const isTold = waitWithTimeout(
      this.options.membership.leave(),
      this.findTimeLeft(),
    );
    this.reportStep('peers told', await isTold);
  }

  private refuseAttempts(): void {
    this.isRefusing = true;
    this.peerConnections.start();
    this.reportStep('attempts refused', true);
  }

  private async waitForCallers(): Promise<void> {
    const {callerServer} = this.options;
    const timeoutMs = this.findTimeLeft(this.limits.lingerTime);
    const haveLeft = await waitForNoConnections(callerServer, timeoutMs);
    this.reportStep('callers left', haveLeft);
  }

  /** Returns the time in milliseconds until the end, at most `maxMs`. */
  private findTimeLeft(maxMs = Infinity): number {
    return Math.min(maxMs, Math.max(0, this.endsAt - performance.now()));
  }

  /**
   * Waits for the requests that run now. The worker may make calls for them on
   * new connections to the callers' listener, which must not close before.
   */
  private async waitForWork(): Promise<void> {
    const timeoutMs = this.findTimeLeft();
    const haveEnded = await Promise.all([
      this.callerConnections.waitForActive(timeoutMs),
      this.peerConnections.waitForActive(timeoutMs),
    ]);
    this.reportStep('work ended', haveEnded.every(Boolean));
  }

  private async drainCallers(): Promise<void> {
    const {callerServer} = this.options;
    const hasAnswered = await drainServer(
      callerServer,
      this.findTimeLeft(),
      () => this.reportCut('caller'),
    );
    this.reportStep('answered', hasAnswered);
  }

  private async runTasks(
    step: string,
    tasks: readonly StopTask[],
  ): Promise<void> {
    const {taskTime} = this.limits;
    for (const task of tasks) {
      const timeoutMs = this.findTimeLeft(taskTime);
      this.reportStep(step, await waitWithTimeout(task(), timeoutMs));
    }
  }

  private async drainAttempts(): Promise<void> {
    const {peerServer} = this.options;
    const haveEnded = await this.peerConnections.waitUntilQuiet(
      QUIET_PERIOD_MS,
      this.findTimeLeft(),
    );
    this.reportStep('attempts ended', haveEnded);
    if (!haveEnded) this.reportCut('node');
    await closeServer(peerServer);
  }

  private reportCut(sender: RunningRequest['sender']): void {
    const {listRunning, handleCut} = this.options;
    for (const request of listRunning()) {
      if (request.sender === sender) handleCut(CUT_TEXTS[sender], request);
    }
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
