/**
 * The claims of a key home: a claim is never evicted within its lifetime, a
 * full store refuses new keys, and a sealed key is not claimed below the epoch
 * of the seal.
 */
import {describe, expect, it} from 'vitest';
import type {ClaimResult, ServiceKey} from '../state/key-claims.js';
import {ClaimState, KeyClaims} from '../state/key-claims.js';

const LIMITS = {lifetimeMs: 1000, maxKeys: 2};

function buildServiceKey(key: string): ServiceKey {
  return {service: 'kona-desk', key};
}

interface Step {
  readonly act: (claims: KeyClaims) => void;
  /** Time on the test's clock. */
  readonly atMs?: number;
}

interface MemoryCase {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly claimedKey: string;
  readonly epoch?: number;
  readonly expected: ClaimResult['kind'];
}

function claimAndRun(key: string, fingerprint = 'f'): Step['act'] {
  return claims => {
    const result = claims.claim(buildServiceKey(key), fingerprint, 1, LIMITS);
    if (result.kind === 'claimed') claims.recordAnswer(result.claim, undefined);
  };
}

function claimOnly(key: string): Step['act'] {
  return claims => void claims.claim(buildServiceKey(key), 'f', 1, LIMITS);
}

function sealAt(key: string, epoch: number): Step['act'] {
  return claims => void claims.seal(buildServiceKey(key), epoch, LIMITS);
}

describe('claiming a key', () => {
  const cases: MemoryCase[] = [
    {name: 'new', steps: [], claimedKey: 'a', expected: 'claimed'},
    {
      name: 'claimed before',
      steps: [{act: claimAndRun('a')}],
      claimedKey: 'a',
      expected: 'known',
    },
    {
      name: 'store full of claims within their lifetime',
      steps: [
        {act: claimAndRun('a')},
        {act: claimAndRun('b')},
        {act: () => {}, atMs: 999},
      ],
      claimedKey: 'c',
      expected: 'full',
    },
    {
      name: 'store full of expired claims',
      steps: [
        {act: claimAndRun('a')},
        {act: claimAndRun('b')},
        {act: () => {}, atMs: 1001},
      ],
      claimedKey: 'c',
      expected: 'claimed',
    },
    {
      name: 'store full of running claims past their lifetime',
      steps: [
        {act: claimOnly('a')},
        {act: claimOnly('b')},
        {act: () => {}, atMs: 5000},
      ],
      claimedKey: 'c',
      expected: 'full',
    },
    {
      name: 'sealed by a later epoch',
      steps: [{act: sealAt('a', 3)}],
      claimedKey: 'a',
      epoch: 2,
      expected: 'sealed',
    },
    {
      name: 'sealed by an earlier and a later epoch',
      steps: [{act: sealAt('a', 3)}, {act: sealAt('a', 2)}],
      claimedKey: 'a',
      epoch: 2,
      expected: 'sealed',
    },
    {
      name: 'sealed by the same epoch',
      steps: [{act: sealAt('a', 3)}],
      claimedKey: 'a',
      epoch: 3,
      expected: 'claimed',
    },
    {
      name: 'node is leaving',
      steps: [{act: claims => claims.close()}],
      claimedKey: 'a',
      expected: 'closed',
    },
    {
      name: 'earlier claim released, because nothing ran',
      steps: [
        {
          act: claims => {
            const result = claims.claim(buildServiceKey('a'), 'f', 1, LIMITS);
            if (result.kind === 'claimed') claims.release(result.claim);
          },
        },
      ],
      claimedKey: 'a',
      expected: 'claimed',
    },
  ];
  it.each(cases)('$name: $expected', ({steps, claimedKey, epoch, expected}) => {
    let now = 0;
    const claims = new KeyClaims(() => now);
    for (const {act, atMs} of steps) {
      now = atMs ?? now;
      act(claims);
    }
    const name = buildServiceKey(claimedKey);
    const {kind} = claims.claim(name, 'f', epoch ?? 1, LIMITS);
    expect(kind).toBe(expected);
  });
});

describe('answers', () => {
  it('beyond the size limit are not kept, but their keys are', () => {
    let now = 0;
    const claims = new KeyClaims(() => now);
    const limits = {lifetimeMs: 1000, maxKeys: 100};
    const held = Buffer.alloc(16 * 1024 * 1024);
    const runOne = (key: string): boolean => {
      const result = claims.claim(buildServiceKey(key), 'f', 1, limits);
      if (result.kind !== 'claimed') return false;
      const answer = {status: 200, headers: {}, body: {held}};
      claims.recordAnswer(result.claim, answer);
      return claims.find(buildServiceKey(key))?.answer !== undefined;
    };
    expect(['a', 'b', 'c', 'd', 'e'].map(runOne)).toEqual([
      true,
      true,
      true,
      true,
      false,
    ]);
    expect(claims.find(buildServiceKey('e'))?.state).toBe(ClaimState.FINISHED);
    now = 1001;
    expect(runOne('f')).toBe(true);
  });
});

describe('a copy from a leaving home', () => {
  it('is stored, and never replaces a claim of this home', () => {
    const claims = new KeyClaims();
    const copy = {fingerprint: 'f', state: 'in-doubt', ageMs: 5} as const;
    claims.addCopy({...buildServiceKey('a'), ...copy}, LIMITS);
    claimAndRun('b', 'own')(claims);
    claims.addCopy({...buildServiceKey('b'), ...copy}, LIMITS);
    expect(claims.find(buildServiceKey('a'))?.state).toBe(ClaimState.IN_DOUBT);
    expect(claims.find(buildServiceKey('b'))).toMatchObject({
      state: ClaimState.FINISHED,
      fingerprint: 'own',
    });
  });
});
