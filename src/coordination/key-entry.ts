/**
 * Handles requests with an idempotency key at the entry node, which received
 * them from the caller: finds the key's home and sends the request there.
 * Resending a key is always safe, because its homes remember it, so an attempt
 * whose outcome is unknown is retried until the deadline. Once an attempt may
 * have reached a home, the refusal must say so: `not-run` from a later attempt
 * proves nothing about an earlier one.
 */
import type {Attempt, AttemptAnswer} from '../protocol/attempt.js';
import {
  markMayHaveRun,
  Reason,
  RefusalError,
  toRefusal,
} from '../protocol/reasons.js';
import {takeRest} from '../protocol/body-rest.js';
import type {KeyHome as HomeEntry} from '../protocol/records.js';
import type {ServiceAnswer} from '../protocol/service-request.js';
import {isResendable} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {HomeEpochs} from './home-epochs.js';
import {isSameHome} from './home-epochs.js';
import type {KeyedRequest, KeyHome} from './key-home.js';
import {findAbortReason, waitForDelay} from './key-wait.js';

const INITIAL_RETRY_DELAY_MS = 10;
const MAX_RETRY_DELAY_MS = 200;
const NO_LIST_RETRY_AFTER_MS = 1000;

/**
 * Reasons for which a retry may succeed: a newer list may arrive, or the home
 * may know the outcome of the earlier attempt.
 */
const RETRYABLE_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  Reason.NOT_KEY_HOME,
  Reason.WRONG_INCARNATION,
  Reason.NODE_STOPPING,
  Reason.UNREACHABLE,
  Reason.CONNECTION_LOST,
  Reason.CONNECTION_SILENT,
  Reason.WRONG_ANSWER,
  Reason.TRUNCATED_ANSWER,
]);

/**
 * Sends one attempt and calls `handleAckTimeout` when it is not acknowledged
 * in time.
 */
export type SendToHome = (
  attempt: Attempt,
  signal: AbortSignal,
  handleAckTimeout: () => boolean,
) => Promise<AttemptAnswer>;

/** Dependencies of a KeyEntry. */
export interface KeyEntryOptions {
  readonly identity: {readonly nodeId: string; readonly incarnation: number};
  readonly epochs: HomeEpochs;
  readonly keyHome: KeyHome;
  readonly sendToHome: SendToHome;
  readonly createAttemptId: () => string;
  readonly random: () => number;
  readonly count: (name: string) => void;
}

/** Forwards requests with a key from one entry node to their homes. */
export class KeyEntry {
  constructor(private readonly options: KeyEntryOptions) {}

  /**
   * Sends a request to its key's home and returns the answer.
   *
   * @throws RefusalError with a verdict that covers all attempts.
   */
  async handleRequest(
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const abort = new AbortController();
    const handleDisconnect = (): void => abort.abort(signal.reason);
    signal.addEventListener('abort', handleDisconnect, {once: true});
    if (signal.aborted) handleDisconnect();
    const timer = setTimeout(
      () => abort.abort(new RefusalError(Reason.DEADLINE_EXCEEDED)),
      Math.max(0, request.deadline - performance.now()),
    );
    try {
      const answer = await this.sendWithRetries(request, abort.signal);
      // Unread body bytes would be parsed as the caller's next request.
      if (request.body.rest && isResendable(request))
        takeRest(request.body.rest).resume();
      return answer;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', handleDisconnect);
    }
  }

  private async sendWithRetries(
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    let mayHaveRun = false;
    let retryDelayMs = INITIAL_RETRY_DELAY_MS;
    for (;;) {
      try {
        return await this.sendOnce(request, signal);
      } catch (error) {
        const refusal = toRefusal(error);
        mayHaveRun ||= refusal.verdict === Verdict.MAY_HAVE_RUN;
        const isRetryable =
          !signal.aborted &&
          RETRYABLE_REASONS.has(refusal.reason) &&
          isResendable(request) &&
          this.options.epochs.findNewest(request.service) !== undefined;
        if (!isRetryable) throw markMayHaveRun(refusal, mayHaveRun);
        this.options.count(`retries.${refusal.reason}`);
        await waitForDelay(
          retryDelayMs * (0.5 + this.options.random()),
          signal,
        );
        if (signal.aborted) {
          const abortRefusal = new RefusalError(
            findAbortReason(signal),
            Verdict.NOT_RUN,
            refusal.message,
          );
          throw markMayHaveRun(abortRefusal, mayHaveRun);
        }
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
      }
    }
  }

  private async sendOnce(
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const {epochs, identity, keyHome} = this.options;
    const {service, key} = request;
    const newest = epochs.findNewest(service);
    const home = epochs.findHome(service, key);
    if (!newest || !home) {
      throw new RefusalError(
        Reason.NOT_KEY_HOME,
        Verdict.NOT_RUN,
        `no home list of service ${service} yet`,
        NO_LIST_RETRY_AFTER_MS,
      );
    }
    if (isSameHome(home, identity)) {
      return keyHome.handleRequest(request, signal);
    }
    return this.sendAttempt(request, home, newest.epoch, signal);
  }

  /**
   * Sends one attempt to a remote home. Abandons it when the acknowledgement
   * times out, since the key can be sent again.
   */
  private async sendAttempt(
    request: KeyedRequest,
    home: HomeEntry,
    epoch: number,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const {createAttemptId, sendToHome, count} = this.options;
    const attempt: Attempt = {
      id: createAttemptId(),
      request,
      target: home,
      keyHomeEpoch: epoch,
    };
    return sendToHome(attempt, signal, () => {
      count('silent');
      return true;
    });
  }
}
