/**
 * The key home: runs a request that must not run twice at most once, however
 * often its key is sent and to however many nodes.
 *
 * 1. A node handles a key only as its home under the newest list that it
 *    knows, and only with recent word of the log.
 * 2. A key that it does not remember is first sealed at the homes of every
 *    earlier epoch that may still matter.
 * 3. After the last agreement, in one turn with the claim, it checks again
 *    that no later home has sealed the key here. Only then may anything run.
 * 4. An earlier home that can't be asked leaves the key in doubt: it is not
 *    run, and the caller is told `may-have-run`. Nothing is remembered of such
 *    a doubt, since a resend that asks again later may settle it.
 */
import type {Profile} from '../protocol/configuration.js';
import {REPLAYED} from '../protocol/headers.js';
import type {
  HandOver,
  SealQuestion,
  SealReply,
} from '../protocol/key-messages.js';
import {SealOutcome} from '../protocol/key-messages.js';
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

/** A claimed run goes on at least this long, whatever its caller's deadline. */
const MIN_RUN_MS = 1000;
/** How long a doubt waits for a list that may settle it. */
const LIST_WAIT_MS = 300;
const LIST_POLL_MS = 25;

/** Runs a request on some worker; retries only what has certainly not run. */
export type RunRequest = (
  request: ServiceRequest,
  signal: AbortSignal,
) => Promise<ServiceAnswer>;

/** A request with a key. */
export type KeyedRequest = ServiceRequest & {readonly key: string};

/** What a key home works with. */
export interface KeyHomeOptions {
  readonly identity: {readonly nodeId: string; readonly incarnation: number};
  readonly state: HomeState;
  readonly epochs: HomeEpochs;
  readonly claims: KeyClaims;
  readonly calls: KeyHomeCalls;
  readonly runRequest: RunRequest;
  /** Time that a doubt waits for a newer list. */
  readonly listWaitMs?: number;
}

/** The key home of one node. */
export class KeyHome {
  constructor(private readonly options: KeyHomeOptions) {}

  /**
   * Runs a request once, or answers for its earlier run.
   *
   * @param handleClaimed called when the request is about to run, so that the
   *     rest of its body may be sent.
   * @throws RefusalError with a true verdict.
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
        if (known.state !== ClaimState.RUNNING) return answerFromMemory(known);
        await waitWithin(known.ended, limit);
        continue;
      }
      const profile = this.findProfile(request.service);
      const epoch = this.checkHome(request, profile);
      const isSealed = await waitWithin(
        this.sealEarlier(request, epoch),
        limit,
      );
      if (!isSealed) continue;
      const result = this.checkAndClaim(request, profile, epoch);
      if (result.kind === 'known') continue;
      if (result.kind !== 'claimed') throw REFUSAL_OF_CLAIM[result.kind]();
      handleClaimed();
      const answer = this.run(result.claim, request, profile);
      answer.catch(() => {});
      return await waitWithin(answer, limit);
    }
  }

  /** Answers a later home of a key. */
  async handleSeal(question: SealQuestion): Promise<SealReply> {
    const {identity, epochs} = this.options;
    const firstOpenEpoch = epochs.computeFirstOpenEpoch(question.service);
    const doubt = {outcome: SealOutcome.IN_DOUBT, firstOpenEpoch};
    if (!isSameHome(question.home, identity)) return doubt;
    let reply = this.sealHere(question);
    if (reply instanceof Promise) {
      await Promise.race([reply, waitMs(question.waitMs)]);
      reply = this.sealHere(question);
    }
    if (reply instanceof Promise) {
      return {outcome: SealOutcome.RUNNING, firstOpenEpoch};
    }
    return {...doubt, ...reply};
  }

  /** Takes the claims of a leaving home; returns how many it took. */
  handleHandOver(handOver: HandOver): number {
    const {identity, claims, state} = this.options;
    if (!isSameHome(handOver.to, identity)) {
      throw new RefusalError(Reason.WRONG_INCARNATION);
    }
    let taken = 0;
    for (const copy of handOver.claims) {
      const profile = state.findProfile(copy.service);
      if (!profile) continue;
      if (claims.addCopy(copy, computeClaimLimits(profile))) taken += 1;
    }
    return taken;
  }

  /** One turn: the seal or what is known, or the end of a run to wait for. */
  private sealHere(
    question: SealQuestion,
  ): Pick<SealReply, 'outcome' | 'fingerprint' | 'answer'> | Promise<void> {
    const {claims, state} = this.options;
    const profile = state.findProfile(question.service);
    if (!profile) return {outcome: SealOutcome.IN_DOUBT};
    const limits = computeClaimLimits(profile);
    const result = claims.seal(question, question.epoch, limits);
    if (result.kind === 'sealed') return {outcome: SealOutcome.SEALED};
    if (result.kind === 'full') return {outcome: SealOutcome.IN_DOUBT};
    const {claim} = result;
    if (claim.state === ClaimState.RUNNING) return claim.ended;
    return {
      outcome:
        claim.state === ClaimState.FINISHED
          ? SealOutcome.FINISHED
          : SealOutcome.IN_DOUBT,
      fingerprint: claim.fingerprint,
      ...(claim.answer ? {answer: claim.answer} : {}),
    };
  }

  private findProfile(service: string): Profile {
    const profile = this.options.state.findProfile(service);
    if (!profile) throw new RefusalError(Reason.UNKNOWN_SERVICE);
    return profile;
  }

  /** The epoch at which this node is the key's home. */
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

  /** Whether all earlier homes agree; false when memory has changed. */
  private async sealEarlier(
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
    if (summary.outcome === SealOutcome.IN_DOUBT) {
      // A list that is on its way may say that the home handed its keys over.
      if (await this.waitForList(service, epoch)) return false;
      throw new RefusalError(
        Reason.KEY_IN_DOUBT,
        Verdict.MAY_HAVE_RUN,
        summary.detail,
      );
    }
    if (summary.outcome === SealOutcome.FINISHED) {
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
    return summary.outcome === SealOutcome.SEALED;
  }

  /** Waits a little for a newer list; resolves with whether one came. */
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
   * One turn: checks again what may have changed while the earlier homes were
   * asked, and claims the key.
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
   * Runs a claimed request. It goes on when its caller hangs up, because the
   * caller's resend must find the answer.
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

/** Refusals of a claim that could not be had; nothing has run here. */
const REFUSAL_OF_CLAIM: Readonly<
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

/** The answer of a key that ran before. */
function answerFromMemory(claim: KeyClaim): ServiceAnswer {
  if (claim.state === ClaimState.IN_DOUBT) {
    throw new RefusalError(Reason.KEY_IN_DOUBT, Verdict.MAY_HAVE_RUN);
  }
  const {answer} = claim;
  if (!answer) throw new RefusalError(Reason.ANSWER_NOT_KEPT, Verdict.RAN);
  return {...answer, headers: {...answer.headers, [REPLAYED]: '1'}};
}

/** Reads on what may be kept of an answer; a larger one stays a stream. */
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
