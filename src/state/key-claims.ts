/**
 * In-memory store of a key home: which keys it has claimed, the outcome of each
 * claim, and the highest epoch that sealed each key. All methods are
 * synchronous, so nothing can happen between a check and the claim that depends
 * on it.
 *
 * A claim is never evicted within its lifetime; when the store is full, new
 * keys are refused instead.
 */
import type {ClaimCopy, StoredAnswer} from '../protocol/key-messages.js';

/**
 * Maximum size of all answers that one node keeps, in bytes. An answer that
 * would exceed it is not kept.
 */
const MAX_HELD_ANSWER_BYTES = 64 * 1024 * 1024;

/** State of a claimed key. */
export const ClaimState = {
  /** The request may be running now. */
  RUNNING: 'running',
  /** The request ran; its answer is kept unless it was too large. */
  FINISHED: 'finished',
  /** The run ended, and it is unknown whether it took effect. */
  IN_DOUBT: 'in-doubt',
} as const;

export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** One claimed key. */
export interface KeyClaim {
  readonly service: string;
  readonly key: string;
  /** Digest of the request that claimed the key. */
  readonly fingerprint: string;
  readonly state: ClaimState;
  readonly answer: StoredAnswer | undefined;
  /** Time on the clock of `performance.now()`. */
  readonly claimedAt: number;
  /** Resolves when the claim is no longer in the state RUNNING. */
  readonly ended: Promise<void>;
}

/** Limits on stored keys, from the profile of the key's service. */
export interface ClaimLimits {
  /** Time for which a key is remembered, in milliseconds. */
  readonly lifetimeMs: number;
  /** Maximum number of keys of one service. */
  readonly maxKeys: number;
}

/** A key within its service. */
export interface ServiceKey {
  readonly service: string;
  readonly key: string;
}

/** Result of trying to claim a key. */
export type ClaimResult =
  | {readonly kind: 'claimed'; readonly claim: KeyClaim}
  | {readonly kind: 'known'; readonly claim: KeyClaim}
  /** A later home sealed the key here. */
  | {readonly kind: 'sealed'}
  | {readonly kind: 'full'}
  /** The store accepts no more claims, because its node is leaving. */
  | {readonly kind: 'closed'};

/** Result of trying to seal a key. */
export type SealResult =
  | {readonly kind: 'sealed'}
  | {readonly kind: 'known'; readonly claim: KeyClaim}
  | {readonly kind: 'full'};

interface MutableClaim extends KeyClaim {
  state: ClaimState;
  answer: StoredAnswer | undefined;
  resolveEnded: () => void;
}

/** Stored state of one key; without a claim, the key is only sealed. */
interface KeyState {
  claim: MutableClaim | undefined;
  sealedEpoch: number;
  expiresAt: number;
}

/** Claims and seals of the keys of one node. */
export class KeyClaims {
  private readonly keyStatesByService = new Map<
    string,
    Map<string, KeyState>
  >();
  private isClosed = false;
  private answerBytes = 0;

  constructor(private readonly readClock = () => performance.now()) {}

  /** Number of stored keys of all services. */
  get size(): number {
    let size = 0;
    for (const keyStates of this.keyStatesByService.values())
      size += keyStates.size;
    return size;
  }

  /** Finds the claim of a key. */
  find({service, key}: ServiceKey): KeyClaim | undefined {
    return this.findKeyState({service, key})?.claim;
  }

  /** Returns the highest epoch that sealed a key here; 0 when none did. */
  findSealedEpoch({service, key}: ServiceKey): number {
    return this.findKeyState({service, key})?.sealedEpoch ?? 0;
  }

  /** Claims a key for a run at an epoch, if possible. */
  claim(
    serviceKey: ServiceKey,
    fingerprint: string,
    epoch: number,
    limits: ClaimLimits,
  ): ClaimResult {
    if (this.isClosed) return {kind: 'closed'};
    const known = this.find(serviceKey);
    if (known) return {kind: 'known', claim: known};
    const sealedEpoch = this.findSealedEpoch(serviceKey);
    if (sealedEpoch > epoch) return {kind: 'sealed'};
    const claim = this.createClaim(serviceKey, fingerprint, 0);
    return this.addKeyState(serviceKey, limits, {
      claim,
      sealedEpoch,
      expiresAt: claim.claimedAt + limits.lifetimeMs,
    })
      ? {kind: 'claimed', claim}
      : {kind: 'full'};
  }

  /** Seals an unclaimed key, so that it is never claimed below an epoch. */
  seal(serviceKey: ServiceKey, epoch: number, limits: ClaimLimits): SealResult {
    const keyState = this.findKeyState(serviceKey);
    if (keyState?.claim) return {kind: 'known', claim: keyState.claim};
    const isStored = this.addKeyState(serviceKey, limits, {
      claim: undefined,
      sealedEpoch: Math.max(keyState?.sealedEpoch ?? 0, epoch),
      expiresAt: this.readClock() + limits.lifetimeMs,
    });
    return {kind: isStored ? 'sealed' : 'full'};
  }

  /**
   * Records that a claimed key ran. Its answer is kept if one is given and
   * all answers together stay within the size limit.
   */
  recordAnswer(claim: KeyClaim, answer: StoredAnswer | undefined): void {
    this.end(claim, ClaimState.FINISHED, answer);
  }

  /** Records that it is unknown whether a claimed key took effect. */
  markInDoubt(claim: KeyClaim): void {
    this.end(claim, ClaimState.IN_DOUBT, undefined);
  }

  /** Removes a claim whose request has certainly not run. */
  release(claim: KeyClaim): void {
    const keyState = this.findKeyState(claim);
    if (!keyState?.claim || keyState.claim !== claim) return;
    const {resolveEnded} = keyState.claim;
    keyState.claim = undefined;
    if (keyState.sealedEpoch === 0) {
      this.keyStatesByService.get(claim.service)?.delete(claim.key);
    }
    resolveEnded();
  }

  /**
   * Stores the claim of another home, unless this home has a claim for the key
   * itself. Returns whether the key is stored now.
   */
  addCopy(copy: ClaimCopy, limits: ClaimLimits): boolean {
    const keyState = this.findKeyState(copy);
    if (keyState?.claim) return true;
    const claim = this.createClaim(copy, copy.fingerprint, copy.ageMs);
    claim.state = copy.state;
    claim.resolveEnded();
    const isStored = this.addKeyState(copy, limits, {
      claim,
      sealedEpoch: keyState?.sealedEpoch ?? 0,
      expiresAt: this.readClock() + limits.lifetimeMs,
    });
    if (isStored) claim.answer = this.addAnswer(copy.answer);
    return isStored;
  }

  /** Refuses all new claims from now on. */
  close(): void {
    this.isClosed = true;
  }

  /** Lists all claims, including running ones. */
  listClaims(): KeyClaim[] {
    const claims: KeyClaim[] = [];
    for (const keyStates of this.keyStatesByService.values()) {
      for (const {claim} of keyStates.values()) if (claim) claims.push(claim);
    }
    return claims;
  }

  private createClaim(
    {service, key}: ServiceKey,
    fingerprint: string,
    ageMs: number,
  ): MutableClaim {
    let resolveEnded: () => void = () => {};
    const ended = new Promise<void>(resolve => (resolveEnded = resolve));
    return {
      service,
      key,
      fingerprint,
      state: ClaimState.RUNNING,
      answer: undefined,
      claimedAt: this.readClock() - ageMs,
      ended,
      resolveEnded,
    };
  }

  private end(
    claim: KeyClaim,
    state: ClaimState,
    answer: StoredAnswer | undefined,
  ): void {
    const known = this.findKeyState(claim)?.claim;
    if (!known || known !== claim) return;
    known.state = state;
    known.answer = this.addAnswer(answer);
    known.resolveEnded();
  }

  private findKeyState({service, key}: ServiceKey): KeyState | undefined {
    return this.keyStatesByService.get(service)?.get(key);
  }

  /**
   * Stores the state of a key as the last to expire. Returns false when the
   * store is full.
   */
  private addKeyState(
    {service, key}: ServiceKey,
    limits: ClaimLimits,
    keyState: KeyState,
  ): boolean {
    let keyStates = this.keyStatesByService.get(service);
    if (!keyStates) {
      keyStates = new Map();
      this.keyStatesByService.set(service, keyStates);
    }
    this.expire(keyStates);
    if (!keyStates.has(key) && keyStates.size >= limits.maxKeys) return false;
    keyStates.delete(key);
    keyStates.set(key, keyState);
    return true;
  }

  /**
   * Removes expired keys, oldest first. Stops at the first key that must stay,
   * so the cost of a call is proportional to the number of removed keys.
   */
  private expire(keyStates: Map<string, KeyState>): void {
    const now = this.readClock();
    for (const [key, {claim, expiresAt}] of keyStates) {
      if (expiresAt > now || claim?.state === ClaimState.RUNNING) return;
      keyStates.delete(key);
      this.answerBytes -= claim?.answer?.body.held.length ?? 0;
    }
  }

  private addAnswer(
    answer: StoredAnswer | undefined,
  ): StoredAnswer | undefined {
    const bytes = answer?.body.held.length ?? 0;
    if (this.answerBytes + bytes > MAX_HELD_ANSWER_BYTES) return undefined;
    this.answerBytes += bytes;
    return answer;
  }
}
