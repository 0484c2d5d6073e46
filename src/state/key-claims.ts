/**
 * The memory of a key home: which keys it has claimed and what became of them,
 * and by which epoch it was sealed for a key. All methods are synchronous, so
 * that a check and the claim that rests on it happen in one turn of the event
 * loop and nothing can come between them.
 *
 * A claim is never forgotten inside its lifetime; when the memory is full, new
 * keys are refused instead.
 */
import type {ClaimCopy, KeptAnswer} from '../protocol/key-messages.js';

/** Bytes of answers that one node keeps; beyond them none is kept. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** What is known of a claimed key. */
export const ClaimState = {
  /** It may be running now. */
  RUNNING: 'running',
  /** It ran; the answer is kept unless it was too large. */
  FINISHED: 'finished',
  /** Its run ended without anyone knowing whether it took effect. */
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
  readonly answer: KeptAnswer | undefined;
  /** Time on the clock of `performance.now()`. */
  readonly claimedAt: number;
  /** Resolves when the claim is no longer running. */
  readonly ended: Promise<void>;
}

/** Bounds of the memory, from the profile of the key's service. */
export interface ClaimLimits {
  readonly lifetimeMs: number;
  /** Keys of one service at most. */
  readonly maxKeys: number;
}

/** A key to claim or to seal. */
export interface KeyName {
  readonly service: string;
  readonly key: string;
}

/** What came of trying to claim a key. */
export type ClaimResult =
  | {readonly kind: 'claimed'; readonly claim: KeyClaim}
  | {readonly kind: 'known'; readonly claim: KeyClaim}
  /** A later home sealed the key here. */
  | {readonly kind: 'sealed'}
  | {readonly kind: 'full'}
  /** This memory takes no more claims, because its node leaves. */
  | {readonly kind: 'closed'};

/** What came of sealing a key. */
export type SealResult =
  | {readonly kind: 'sealed'}
  | {readonly kind: 'known'; readonly claim: KeyClaim}
  | {readonly kind: 'full'};

interface MutableClaim extends KeyClaim {
  state: ClaimState;
  answer: KeptAnswer | undefined;
  resolveEnded: () => void;
}

/** Memory of one key; one without a claim is only sealed. */
interface KeyMemory {
  claim: MutableClaim | undefined;
  sealedEpoch: number;
  expiresAt: number;
}

/** Claims and seals of one node. */
export class KeyClaims {
  private readonly services = new Map<string, Map<string, KeyMemory>>();
  private isClosed = false;
  private answerBytes = 0;

  constructor(private readonly readClock = () => performance.now()) {}

  /** Keys remembered for all services. */
  get size(): number {
    let size = 0;
    for (const memories of this.services.values()) size += memories.size;
    return size;
  }

  /** Finds the claim of a key. */
  find({service, key}: KeyName): KeyClaim | undefined {
    return this.findMemory({service, key})?.claim;
  }

  /** Highest epoch that sealed a key here; 0 when none did. */
  findSealedEpoch({service, key}: KeyName): number {
    return this.findMemory({service, key})?.sealedEpoch ?? 0;
  }

  /** Claims a key for a run at an epoch, unless something speaks against it. */
  claim(
    name: KeyName,
    fingerprint: string,
    epoch: number,
    limits: ClaimLimits,
  ): ClaimResult {
    if (this.isClosed) return {kind: 'closed'};
    const known = this.find(name);
    if (known) return {kind: 'known', claim: known};
    const sealedEpoch = this.findSealedEpoch(name);
    if (sealedEpoch > epoch) return {kind: 'sealed'};
    const claim = this.createClaim(name, fingerprint, 0);
    return this.addMemory(name, limits, {
      claim,
      sealedEpoch,
      expiresAt: claim.claimedAt + limits.lifetimeMs,
    })
      ? {kind: 'claimed', claim}
      : {kind: 'full'};
  }

  /** Promises that a key without a claim is not claimed below an epoch. */
  seal(name: KeyName, epoch: number, limits: ClaimLimits): SealResult {
    const memory = this.findMemory(name);
    if (memory?.claim) return {kind: 'known', claim: memory.claim};
    const isRemembered = this.addMemory(name, limits, {
      claim: undefined,
      sealedEpoch: Math.max(memory?.sealedEpoch ?? 0, epoch),
      expiresAt: this.readClock() + limits.lifetimeMs,
    });
    return {kind: isRemembered ? 'sealed' : 'full'};
  }

  /**
   * Notes that a claimed key ran, with its answer unless that is too large or
   * there is no room for it.
   */
  recordAnswer(claim: KeyClaim, answer: KeptAnswer | undefined): void {
    this.end(claim, ClaimState.FINISHED, answer);
  }

  /** Notes that nobody knows whether a claimed key took effect. */
  markInDoubt(claim: KeyClaim): void {
    this.end(claim, ClaimState.IN_DOUBT, undefined);
  }

  /** Takes a claim back, because its run has certainly not happened. */
  release(claim: KeyClaim): void {
    const memory = this.findMemory(claim);
    if (!memory?.claim || memory.claim !== claim) return;
    const {resolveEnded} = memory.claim;
    memory.claim = undefined;
    if (memory.sealedEpoch === 0) {
      this.services.get(claim.service)?.delete(claim.key);
    }
    resolveEnded();
  }

  /**
   * Takes over what another home remembers of a key. What this home knows
   * itself goes first. Returns whether the key is remembered now.
   */
  addCopy(copy: ClaimCopy, limits: ClaimLimits): boolean {
    const memory = this.findMemory(copy);
    if (memory?.claim) return true;
    const claim = this.createClaim(copy, copy.fingerprint, copy.ageMs);
    claim.state = copy.state;
    claim.resolveEnded();
    const isRemembered = this.addMemory(copy, limits, {
      claim,
      sealedEpoch: memory?.sealedEpoch ?? 0,
      expiresAt: this.readClock() + limits.lifetimeMs,
    });
    if (isRemembered) claim.answer = this.addAnswer(copy.answer);
    return isRemembered;
  }

  /** Takes no more claims from now on. */
  close(): void {
    this.isClosed = true;
  }

  /** All claims, the running ones included. */
  listClaims(): KeyClaim[] {
    const claims: KeyClaim[] = [];
    for (const memories of this.services.values()) {
      for (const {claim} of memories.values()) if (claim) claims.push(claim);
    }
    return claims;
  }

  private createClaim(
    {service, key}: KeyName,
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
    answer: KeptAnswer | undefined,
  ): void {
    const known = this.findMemory(claim)?.claim;
    if (!known || known !== claim) return;
    known.state = state;
    known.answer = this.addAnswer(answer);
    known.resolveEnded();
  }

  private findMemory({service, key}: KeyName): KeyMemory | undefined {
    return this.services.get(service)?.get(key);
  }

  /** Puts a memory at the end of the order of expiry, if there is room. */
  private addMemory(
    {service, key}: KeyName,
    limits: ClaimLimits,
    memory: KeyMemory,
  ): boolean {
    let memories = this.services.get(service);
    if (!memories) {
      memories = new Map();
      this.services.set(service, memories);
    }
    this.expire(memories);
    if (!memories.has(key) && memories.size >= limits.maxKeys) return false;
    memories.delete(key);
    memories.set(key, memory);
    return true;
  }

  /**
   * Forgets expired memories from the oldest on. It stops at the first that
   * must stay, so one call costs no more than what it removes.
   */
  private expire(memories: Map<string, KeyMemory>): void {
    const now = this.readClock();
    for (const [key, {claim, expiresAt}] of memories) {
      if (expiresAt > now || claim?.state === ClaimState.RUNNING) return;
      memories.delete(key);
      this.answerBytes -= claim?.answer?.body.held.length ?? 0;
    }
  }

  private addAnswer(answer: KeptAnswer | undefined): KeptAnswer | undefined {
    const bytes = answer?.body.held.length ?? 0;
    if (this.answerBytes + bytes > MAX_ANSWER_BYTES) return undefined;
    this.answerBytes += bytes;
    return answer;
  }
}
