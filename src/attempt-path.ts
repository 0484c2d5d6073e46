/**
 * The way of an attempt from this node: to the worker beside it, or to the
 * gate of another node. Either way a version that was found bad runs nothing.
 */
import type {AttemptSender} from './coordination/attempt-sender.js';
import type {Gate} from './coordination/gate.js';
import type {VersionMoves} from './coordination/version-moves.js';
import type {Attempt, AttemptAnswer} from './protocol/attempt.js';
import {AttemptError} from './protocol/attempt.js';
import {Reason} from './protocol/reasons.js';
import type {ServiceRequest} from './protocol/service-request.js';

/** What the way leads over. */
export interface AttemptPathOptions {
  readonly nodeId: string;
  readonly gate: Gate;
  readonly sender: AttemptSender;
  readonly findVersions: () => VersionMoves;
}

/** The way of attempts from one node. */
export class AttemptPath {
  constructor(private readonly options: AttemptPathOptions) {}

  /**
   * Sends an attempt to its target.
   *
   * @throws AttemptError
   */
  async sendAttempt(
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    const {nodeId, sender} = this.options;
    if (attempt.target.nodeId === nodeId) {
      return this.runOnWorker(attempt.request, attempt.version, signal);
    }
    return sender.sendAttempt(attempt, signal);
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
