/**
 * The entry's side of requests with a key: finds the key's home and has the
 * request handled there. Sending a key again is always safe, because its homes
 * remember it, so an attempt without a clear end is repeated until the
 * deadline. What must stay true is the refusal: once an attempt may have
 * reached a home, a later `not-run` of another attempt proves nothing about
 * the first.
 */
import type {Attempt, AttemptAnswer} from '../protocol/attempt.js';
import {
  addDoubt,
  Reason,
  RefusalError,
  toRefusal,
} from '../protocol/reasons.js';
import type {KeyHome as HomeEntry} from '../protocol/records.js';
import type {ServiceAnswer} from '../protocol/service-request.js';
import {isResendable} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {HomeEpochs} from './home-epochs.js';
import {isSameHome} from './home-epochs.js';
import type {KeyedRequest, KeyHome} from './key-home.js';
import {findAbortReason, waitForTime} from './key-wait.js';

const FIRST_PAUSE_MS = 10;
const LONGEST_PAUSE_MS = 200;
const NO_LIST_RETRY_AFTER_MS = 1000;

/**
 * After these another attempt may go better: another list may come, or the
 * home remembers what became of the first attempt.
 */
const RETRIED_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  Reason.NOT_KEY_HOME,
  Reason.WRONG_INCARNATION,
  Reason.NODE_STOPPING,
  Reason.UNREACHABLE,
  Reason.CONNECTION_LOST,
  Reason.CONNECTION_SILENT,
  Reason.WRONG_ANSWER,
  Reason.TRUNCATED_ANSWER,
]);

/** Sends one attempt; calls back when it is not acknowledged in time. */
export type SendToHome = (
  attempt: Attempt,
  signal: AbortSignal,
  handleSilence: () => boolean,
) => Promise<AttemptAnswer>;

/** What the entry works with. */
export interface KeyEntryOptions {
  readonly identity: {readonly nodeId: string; readonly incarnation: number};
  readonly epochs: HomeEpochs;
  readonly keyHome: KeyHome;
  readonly sendToHome: SendToHome;
  readonly createAttemptId: () => string;
  readonly random: () => number;
  readonly count: (name: string) => void;
}

/** Entry of one node for requests with a key. */
export class KeyEntry {
  constructor(private readonly options: KeyEntryOptions) {}

  /**
   * Has a request handled by its key's home.
   *
   * @throws RefusalError with the verdict of all attempts together.
   */
  async handleRequest(
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const abort = new AbortController();
    const handleGone = (): void => abort.abort(signal.reason);
    signal.addEventListener('abort', handleGone, {once: true});
    if (signal.aborted) handleGone();
    const timer = setTimeout(
      () => abort.abort(new RefusalError(Reason.DEADLINE_EXCEEDED)),
      Math.max(0, request.deadline - performance.now()),
    );
    try {
      const answer = await this.sendUntilClear(request, abort.signal);
      // An unread body would be taken for the caller's next request.
      if (isResendable(request)) request.body.rest?.resume();
      return answer;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', handleGone);
    }
  }

  private async sendUntilClear(
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    let mayHaveRun = false;
    let pauseMs = FIRST_PAUSE_MS;
    for (;;) {
      try {
        return await this.sendOnce(request, signal);
      } catch (error) {
        const refusal = toRefusal(error);
        mayHaveRun ||= refusal.verdict === Verdict.MAY_HAVE_RUN;
        const isRetried =
          !signal.aborted &&
          RETRIED_REASONS.has(refusal.reason) &&
          isResendable(request) &&
          this.options.epochs.findNewest(request.service) !== undefined;
        if (!isRetried) throw addDoubt(refusal, mayHaveRun);
        this.options.count(`retries.${refusal.reason}`);
        await waitForTime(pauseMs * (0.5 + this.options.random()), signal);
        if (signal.aborted) {
          const ended = new RefusalError(
            findAbortReason(signal),
            Verdict.NOT_RUN,
            refusal.message,
          );
          throw addDoubt(ended, mayHaveRun);
        }
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
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
        `no home list of ${service} yet`,
        NO_LIST_RETRY_AFTER_MS,
      );
    }
    if (isSameHome(home, identity)) {
      return keyHome.handleRequest(request, signal);
    }
    return this.sendAttempt(request, home, newest.epoch, signal);
  }

  /** A silent connection is given up, since the key can be sent again. */
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
