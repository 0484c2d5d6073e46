/**
 * Memory of the registry of a gate: answers of all forms within one bound,
 * attempts within a number, and both dropped after their time.
 */
import {describe, expect, it} from 'vitest';
import type {AttemptAnswer} from '../protocol/attempt.js';
import {SealOutcome} from '../protocol/seal.js';
import {AttemptRegistry} from '../state/attempt-registry.js';

const MIB = 1024 * 1024;
/** What docs/design/retries-and-sealing.md promises for all answers. */
const MAX_ANSWER_BYTES = 8 * MIB;
const RETENTION_MS = 600_000;
const KB = 1000;

function createAnswer(headBytes: number, bodyBytes: number): AttemptAnswer {
  return {
    status: 200,
    headers: {'x-text': 'x'.repeat(headBytes)},
    body: {held: Buffer.alloc(bodyBytes)},
  };
}

/** Runs attempts whose ids are their numbers. */
function runAttempts(
  registry: AttemptRegistry,
  count: number,
  answer: AttemptAnswer,
): void {
  for (let id = 0; id < count; id++) registry.register(`${id}`).markRan(answer);
}

// Guards against a gate that runs out of memory by answers without a body, of
// which none was ever dropped.
describe('answers are dropped within the bound', () => {
  it.each([
    ['with a large head and no body', 7.5 * KB, 0, 4000],
    ['with a small head and no body', 300, 0, 20_000],
    ['with a body', 300, 60 * KB, 400],
    ['with neither', 0, 0, 20_000],
  ])('%s', async (name, headBytes, bodyBytes, count) => {
    const registry = new AttemptRegistry();
    const answer = createAnswer(headBytes, bodyBytes);
    runAttempts(registry, count, answer);
    const bytes = headBytes + bodyBytes;
    const last = await registry.seal(`${count - 1}`, 0);
    expect(last.answer).toBe(answer);
    const first = await registry.seal('0', 0);
    expect(first).toEqual({outcome: SealOutcome.RAN});
    let kept = 0;
    for (let id = 0; id < count; id++) {
      if ((await registry.seal(`${id}`, 0)).answer) kept += 1;
    }
    expect(kept * bytes).toBeLessThanOrEqual(MAX_ANSWER_BYTES);
  });
});

describe('the registry', () => {
  it('drops answers with their attempts', async () => {
    let now = 0;
    const registry = new AttemptRegistry(() => now);
    runAttempts(registry, 100, createAnswer(KB, 0));
    now += RETENTION_MS + 1;
    registry.register('later').markNotRun();
    expect(registry.answerBytes).toBe(0);
    const sealed = await registry.seal('0', 0);
    expect(sealed.outcome).toBe(SealOutcome.NOT_RUN);
  });

  // Guards against queries for unknown attempts that fill the memory.
  it('seals no more attempts than it may hold', async () => {
    const registry = new AttemptRegistry(() => 0, 2);
    const outcomes = [];
    for (const id of ['a', 'b', 'c', 'a'])
      outcomes.push((await registry.seal(id, 0)).outcome);
    const {NOT_RUN, MAY_HAVE_RUN} = SealOutcome;
    expect(outcomes).toEqual([NOT_RUN, NOT_RUN, MAY_HAVE_RUN, NOT_RUN]);
    expect(() => registry.register('d')).toThrow('queue-full');
  });

  it.each([
    ['its end', 60_000, SealOutcome.RAN],
    ['the limit', 1, SealOutcome.RUNNING],
  ])('lets a query wait for %s', async (name, waitMs, outcome) => {
    const registry = new AttemptRegistry();
    const handle = registry.register('a');
    const sealing = registry.seal('a', waitMs);
    if (outcome === SealOutcome.RAN) handle.markRan(createAnswer(1, 1));
    expect((await sealing).outcome).toBe(outcome);
  });
});
