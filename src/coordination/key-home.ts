/**
 * The home of an idempotency key runs its request at most once, however often
 * the key is sent and to however many nodes.
 *
 * 1. A node handles a key only if it is the key's home under the newest list
 *    that it knows, and only if its view of the log is fresh.
 * 2. A key that it does not remember is first sealed at its homes of every
 *    earlier epoch that is still open.
 * 3. After the last of them has agreed, the node checks again that no later
 *    home has sealed the key here, and claims the key in the same synchronous
 *    step. The request may run only after that.
 * 4. If an earlier home can't be reached, the key is in doubt: the request does
 *    not run, and the caller gets the verdict `may-have-run`. This outcome is
 *    not remembered, since a later resend may reach the earlier home.
 */
import type {Profile} from '../protocol/configuration.js';
import {REPLAYED} from '../protocol/headers.js';
import type {
  KeyTransfer,
  KeySealRequest,
  KeySealReply,
} from '../protocol/key-messages.js';
import {KeySealOutcome} from '../protocol/key-messages.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {
  Body,
  ServiceAnswer,
  ServiceRequest,
} from '../protocol/service-request.js';
import {readHeldBody} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {ClaimResult, KeyClaim, KeyClaims} from '../state/key-claims.js';
import {ClaimState} from '../state/key-claims.js';
import type {HomeEpochs, HomeState} from './home-epochs.js';
import {computeClaimLimits, isSameHome} from './home-epochs.js';
import type {KeyHomeCalls} from './key-sealing.js';
import {sealAtHomes} from './key-sealing.js';
import {waitWithin} from './key-wait.js';

/** Minimum time that a claimed request may run, even past its deadline. */
const MIN_RUN_MS = 1000;
/** Default time to wait for a newer list when a key is in doubt. */
const LIST_WAIT_MS = 300;
const LIST_POLL_MS = 25;

/**
 * Runs a request on some worker; retries it only when it has certainly not run.
 */
export type RunRequest = (
  request: ServiceRequest,
  signal: AbortSignal,
) => Promise<ServiceAnswer>;

/** A request with an idempotency key. */
export type KeyedRequest = ServiceRequest & {readonly key: string};

/** Dependencies of a KeyHome. */
export interface KeyHomeOptions {
  readonly identity: {readonly nodeId: string; readonly incarnation: number};
  readonly state: HomeState;
  readonly epochs: HomeEpochs;
  readonly claims: KeyClaims;
  readonly calls: KeyHomeCalls;
  readonly runRequest: RunRequest;
  /** Time to wait for a newer list when a key is in doubt, in milliseconds. */
  readonly listWaitMs?: number;
}

/** Handles the keys whose home is this node. */
export class KeyHome {
  constructor(private readonly options: KeyHomeOptions) {}

  /**
   * Runs a request, or answers with the result of its earlier run.
   *
   * @param handleClaimed is called when the request is about to run, so that
   *     the rest of its body may be sent.
   * @throws RefusalError whose verdict never says `not-run` if the request may
   *     have run.
   */
  async handleRequest(
    request: KeyedRequest,
    signal: AbortSignal,
    handleClaimed: () => void = () => {},
  ): Promise<ServiceAnswer> {
    const {claims} = this.options;
    const limit = {deadline: request.deadline, signal};
    for (;;) {
      const known = claims.find(request);
      if (known) {
        checkFingerprint(known, request);
        if (known.state !== ClaimState.RUNNING) return answerFromClaim(known);
        await waitWithin(known.ended, limit);
        continue;
      }
      const profile = this.findProfile(request.service);
      const epoch = this.checkHome(request, profile);
      const isSealed = await waitWithin(
        this.sealAtEarlierHomes(request, epoch),
        limit,
      );
      if (!isSealed) continue;
      const result = this.checkAndClaim(request, profile, epoch);
      if (result.kind === 'known') continue;
      if (result.kind !== 'claimed') throw CLAIM_REFUSALS[result.kind]();
      handleClaimed();
      const answer = this.run(result.claim, request, profile);
      answer.catch(() => {});
      return await waitWithin(answer, limit);
    }
  }

  /** Seals a key for a later home, or reports what is known of it. */
  async handleSeal(sealRequest: KeySealRequest): Promise<KeySealReply> {
    const {identity, epochs} = this.options;
    const firstOpenEpoch = epochs.computeFirstOpenEpoch(sealRequest.service);
    const inDoubtReply = {outcome: KeySealOutcome.IN_DOUBT, firstOpenEpoch};
    if (!isSameHome(sealRequest.home, identity)) return inDoubtReply;
    let reply = this.sealLocally(sealRequest);
    if (reply instanceof Promise) {
      await Promise.race([reply, waitMs(sealRequest.waitMs)]);
      reply = this.sealLocally(sealRequest);
    }
    if (reply instanceof Promise) {
      return {outcome: KeySealOutcome.RUNNING, firstOpenEpoch};
    }
    return {...inDoubtReply, ...reply};
  }

  /** Stores the claims of a leaving home and returns how many it accepted. */
  handleKeyTransfer(handOver: KeyTransfer): number {
    const {identity, claims, state} = this.options;
    if (!isSameHome(handOver.to, identity)) {
      throw new RefusalError(Reason.WRONG_INCARNATION);
    }
    let acceptedCount = 0;
    for (const copy of handOver.claims) {
      const profile = state.findProfile(copy.service);
      if (!profile) continue;
      if (claims.addCopy(copy, computeClaimLimits(profile))) acceptedCount += 1;
    }
    return acceptedCount;
  }

  /**
   * Seals a key or reports its claim, synchronously. Returns a promise that
   * resolves at the end of the run if the key is running.
   */
  private sealLocally(
    sealRequest: KeySealRequest,
  ): Pick<KeySealReply, 'outcome' | 'fingerprint' | 'answer'> | Promise<void> {
    const {claims, state} = this.options;
    const profile = state.findProfile(sealRequest.service);
    if (!profile) return {outcome: KeySealOutcome.IN_DOUBT};
    const limits = computeClaimLimits(profile);
    const result = claims.seal(sealRequest, sealRequest.epoch, limits);
    if (result.kind === 'sealed') return {outcome: KeySealOutcome.SEALED};
    if (result.kind === 'full') return {outcome: KeySealOutcome.IN_DOUBT};
    const {claim} = result;
    if (claim.state === ClaimState.RUNNING) return claim.ended;
    return {
      outcome:
        claim.state === ClaimState.FINISHED
          ? KeySealOutcome.FINISHED
          : KeySealOutcome.IN_DOUBT,
      fingerprint: claim.fingerprint,
      ...(claim.answer ? {answer: claim.answer} : {}),
    };
  }

  private findProfile(service: string): Profile {
    const profile = this.options.state.findProfile(service);
    if (!profile) throw new RefusalError(Reason.UNKNOWN_SERVICE);
    return profile;
  }

  /**
   * Returns the epoch under which this node is the key's home.
   *
   * @throws RefusalError when it is not, or when its view of the log is stale.
   */
  private checkHome(request: KeyedRequest, profile: Profile): number {
    const {epochs, identity, state} = this.options;
    const {service, key} = request;
    const newest = epochs.findNewest(service);
    const home = epochs.findHome(service, key);
    if (!newest || !home || !isSameHome(home, identity)) {
      throw new RefusalError(Reason.NOT_KEY_HOME);
    }
    if (state.computeLogAgeMs() > profile.idempotency.freshnessLimit) {
      throw new RefusalError(Reason.KEY_HOME_STALE);
    }
    return newest.epoch;
  }

  /**
   * Seals a key at all earlier homes. Resolves with false when the key must be
   * checked again: it is running at an earlier home, its result was copied from
   * there, or a newer list has arrived.
   */
  private async sealAtEarlierHomes(
    request: KeyedRequest,
    epoch: number,
  ): Promise<boolean> {
    const {epochs, identity, calls, claims} = this.options;
    const {service, key} = request;
    const homes = epochs
      .listEarlierHomes(service, key, epoch)
      .filter(({home}) => !isSameHome(home, identity));
    if (homes.length === 0) return true;
    const summary = await sealAtHomes(
      homes,
      {service, key, epoch},
      calls,
      epochs,
    );
    if (summary.outcome === KeySealOutcome.IN_DOUBT) {
      // A newer list may show that the earlier home handed over its keys.
      if (await this.waitForList(service, epoch)) return false;
      throw new RefusalError(
        Reason.KEY_IN_DOUBT,
        Verdict.MAY_HAVE_RUN,
        summary.detail,
      );
    }
    if (summary.outcome === KeySealOutcome.FINISHED) {
      const {fingerprint, answer} = summary;
      const copy = {
        service,
        key,
        fingerprint,
        state: 'finished',
        ageMs: 0,
      } as const;
      const limits = computeClaimLimits(this.findProfile(service));
      const isKept = claims.addCopy(
        {...copy, ...(answer ? {answer} : {})},
        limits,
      );
      if (!isKept)
        throw new RefusalError(Reason.KEY_IN_DOUBT, Verdict.MAY_HAVE_RUN);
    }
    return summary.outcome === KeySealOutcome.SEALED;
  }

  /**
   * Waits up to `listWaitMs` for a newer list and resolves with whether one
   * arrived.
   */
  private async waitForList(service: string, epoch: number): Promise<boolean> {
    const {epochs, listWaitMs = LIST_WAIT_MS} = this.options;
    const until = performance.now() + listWaitMs;
    for (;;) {
      if (epochs.findNewest(service)?.epoch !== epoch) return true;
      if (performance.now() >= until) return false;
      await waitMs(LIST_POLL_MS);
    }
  }

  /**
   * Checks again what may have changed while the earlier homes were asked, and
   * claims the key. It is synchronous, so nothing can change in between.
   */
  private checkAndClaim(
    request: KeyedRequest,
    profile: Profile,
    sealedForEpoch: number,
  ): ClaimResult {
    this.checkHome(request, profile);
    return this.options.claims.claim(
      request,
      request.fingerprint,
      sealedForEpoch,
      computeClaimLimits(profile),
    );
  }

  /**
   * Runs a claimed request. The run continues when the caller disconnects,
   * because the caller's resend must find the answer.
   */
  private async run(
    claim: KeyClaim,
    request: KeyedRequest,
    profile: Profile,
  ): Promise<ServiceAnswer> {
    const {claims, runRequest} = this.options;
    const now = performance.now();
    const deadline = Math.max(request.deadline, now + MIN_RUN_MS);
    const abort = new AbortController();
    const timer = setTimeout(
      () => abort.abort(new RefusalError(Reason.DEADLINE_EXCEEDED)),
      deadline - now,
    );
    try {
      const answer = await runRequest({...request, deadline}, abort.signal);
      const body = await readAnswerBody(answer, profile.idempotency.maxAnswer);
      const kept = {...answer, body};
      const isKept =
        !body.rest && body.held.length <= profile.idempotency.maxAnswer;
      claims.recordAnswer(
        claim,
        isKept
          ? {
              status: answer.status,
              headers: answer.headers,
              body: {held: body.held},
            }
          : undefined,
      );
      return kept;
    } catch (error) {
      if (error instanceof RefusalError && error.verdict === Verdict.NOT_RUN) {
        claims.release(claim);
      } else {
        claims.markInDoubt(claim);
      }
      throw error;
    } finally {
      clearTimeout(timer);
    }
  }
}

/**
 * Refusals for keys that could not be claimed; the request has not run here.
 */
const CLAIM_REFUSALS: Readonly<
  Record<Exclude<ClaimResult['kind'], 'claimed' | 'known'>, () => RefusalError>
> = {
  sealed: () => new RefusalError(Reason.NOT_KEY_HOME),
  full: () => new RefusalError(Reason.KEY_MEMORY_FULL),
  closed: () => new RefusalError(Reason.NODE_STOPPING),
};

function checkFingerprint(known: KeyClaim, request: ServiceRequest): void {
  if (known.fingerprint !== request.fingerprint) {
    throw new RefusalError(Reason.KEY_CONFLICT);
  }
}

/**
 * Returns the stored answer of a key that ran before.
 *
 * @throws RefusalError when the key is in doubt or its answer was not kept.
 */
function answerFromClaim(claim: KeyClaim): ServiceAnswer {
  if (claim.state === ClaimState.IN_DOUBT) {
    throw new RefusalError(Reason.KEY_IN_DOUBT, Verdict.MAY_HAVE_RUN);
  }
  const {answer} = claim;
  if (!answer) throw new RefusalError(Reason.ANSWER_NOT_KEPT, Verdict.RAN);
  return {...answer, headers: {...answer.headers, [REPLAYED]: '1'}};
}

/**
 * Reads the body of an answer up to the size that may be kept. The rest of a
 * larger body remains a stream.
 */
async function readAnswerBody(
  {body}: ServiceAnswer,
  maxAnswerBytes: number,
): Promise<Body> {
  if (!body.rest || body.held.length >= maxAnswerBytes) return body;
  try {
    const reading = readHeldBody(
      body.rest,
      maxAnswerBytes - body.held.length + 1,
    );
    body.rest.resume();
    const more = await reading;
    return {...more, held: Buffer.concat([body.held, more.held])};
  } catch (error) {
    throw new RefusalError(
      Reason.TRUNCATED_ANSWER,
      Verdict.MAY_HAVE_RUN,
      String(error),
    );
  }
}

function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms).unref());
}
