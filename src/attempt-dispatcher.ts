/**
 * Dispatches attempts within one node: attempts of its own entry to the local
 * worker or to the gate of another node, and attempts of other nodes to the
 * local worker. A version that was found bad gets no attempts in either case.
 */
import type {GateAttempt} from './coordination/attempt-runner.js';
import {AttemptRunner} from './coordination/attempt-runner.js';
import type {AskSeal, CountEvent} from './coordination/attempt-sender.js';
import {AttemptSender} from './coordination/attempt-sender.js';
import type {Gate} from './coordination/gate.js';
import type {VersionMoves} from './coordination/version-moves.js';
import type {Attempt, AttemptAnswer} from './protocol/attempt.js';
import {AttemptError} from './protocol/attempt.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import {Reason} from './protocol/reasons.js';
import type {ServiceRequest} from './protocol/service-request.js';
import type {AttemptRegistry} from './state/attempt-registry.js';
import type {GateClient} from './transport/gate-client.js';

/** Dependencies of an AttemptDispatcher. */
export interface AttemptDispatcherOptions {
  readonly identity: NodeIdentity;
  readonly gate: Gate;
  readonly gateClient: GateClient;
  readonly attempts: AttemptRegistry;
  readonly askSeal: AskSeal;
  readonly count: CountEvent;
  readonly findVersions: () => VersionMoves;
}

/** Runs attempts on the local worker or sends them to other gates. */
export class AttemptDispatcher {
  private readonly sender: AttemptSender;
  private readonly runner: AttemptRunner;

  constructor(private readonly options: AttemptDispatcherOptions) {
    const {identity, gateClient, attempts, askSeal, count} = options;
    this.sender = new AttemptSender(
      (attempt, signal, handleAckTimeout) =>
        gateClient.sendAttempt(attempt, signal, handleAckTimeout),
      askSeal,
      count,
    );
    this.runner = new AttemptRunner(
      identity.incarnation,
      attempts,
      (request, version, signal, handleAdmitted) =>
        this.runOnWorker(request, version, signal, handleAdmitted),
    );
  }

  /**
   * Runs an attempt of the local entry on its target node; see SendAttempt.
   *
   * @throws AttemptError
   */
  async sendAttempt(
    attempt: Attempt,
    signal: AbortSignal,
    handleSilence: () => void,
  ): Promise<AttemptAnswer> {
    if (attempt.target.nodeId === this.options.identity.nodeId) {
      return this.runOnWorker(attempt.request, attempt.version, signal);
    }
    return this.sender.sendAttempt(attempt, signal, handleSilence);
  }

  /** Runs an attempt of another node's entry; see AttemptRunner.run. */
  async runAttempt(
    attempt: GateAttempt,
    signal: AbortSignal,
    handleAdmitted: () => void,
  ): Promise<AttemptAnswer> {
    return this.runner.run(attempt, signal, handleAdmitted);
  }

  /**
   * Runs a request on the local worker unless its version was found bad.
   *
   * @throws AttemptError
   */
  async runOnWorker(
    request: ServiceRequest,
    version: string | undefined,
    signal: AbortSignal,
    handleAdmitted?: () => void,
  ): Promise<AttemptAnswer> {
    const {gate, findVersions} = this.options;
    const isBad =
      version !== undefined &&
      !findVersions().isAllowed(request.service, version);
    if (isBad) throw new AttemptError(Reason.WRONG_VERSION, 'not-run', version);
    return gate.runAttempt(request, version, signal, handleAdmitted);
  }
}
