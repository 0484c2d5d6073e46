/**
 * Evidence about versions starts anew with each step of a move, and with each
 * move, whose steps are numbered from 1.
 */
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {VersionMoves} from '../coordination/version-moves.js';
import type {Move} from '../state/replicated-state.js';
import {StateStore} from '../state/state-store.js';
import {VersionEvidence} from '../state/version-evidence.js';
import {WorkerTable} from '../state/worker-table.js';

const SERVICE = 'desk';
/** Exceeds the interval at which moves are checked. */
const CHECK_MS = 2000;
const MOVE: Move = {
  moveId: 'first',
  fromVersion: 'v1',
  toVersion: 'v2',
  startedAtMs: 0,
  doneByMs: 600_000,
  sharePercent: 0,
  stage: 'running',
  evidence: '',
  number: 1,
};

class CountingEvidence extends VersionEvidence {
  clears = 0;

  override clear(service: string): void {
    this.clears += 1;
    super.clear(service);
  }
}

interface StepCase {
  readonly name: string;
  readonly change: Partial<Move>;
  /** Earlier id under which the move has been known, if any. */
  readonly previousId?: string;
  readonly clears: number;
}

const CASES: readonly StepCase[] = [
  {name: 'the same step', change: {}, clears: 1},
  {name: 'the next step', change: {number: 2}, clears: 2},
  {
    name: 'the first step of another move',
    change: {moveId: 'second', toVersion: 'v3'},
    clears: 2,
  },
  {
    name: 'the same step under another id',
    change: {moveId: 'second'},
    previousId: 'first',
    clears: 1,
  },
];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// Guards against a move that is judged by the evidence, and paced by the steps,
// of an earlier one that was at a step of the same number.
it.each(CASES)(
  'evidence is cleared $clears times for $name',
  async ({change, previousId, clears}) => {
    const state = new StateStore(undefined);
    const evidence = new CountingEvidence();
    const moves = new VersionMoves({
      nodeId: 'node',
      peerAddress: '127.0.0.1:1',
      state,
      workers: new WorkerTable(),
      evidence,
      calls: {
        readEvidence: async () => ({version: 'v1', routes: []}),
        pushBadness: async () => {},
      },
      appendRecord: async () => 'accepted',
      createId: () => 'id',
      random: () => 0,
      count: () => {},
      report: () => {},
      findLocalVersion: () => 'v1',
      now: () => 0,
    });
    state.setMove(SERVICE, MOVE);
    moves.start();
    await vi.advanceTimersByTimeAsync(CHECK_MS);
    const next = {...MOVE, ...change};
    if (previousId) moves.copyBadVersion(previousId, next.moveId);
    state.setMove(SERVICE, next);
    await vi.advanceTimersByTimeAsync(CHECK_MS);
    moves.stop();
    expect(evidence.clears).toBe(clears);
  },
);
