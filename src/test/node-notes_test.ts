/** What a confirmation waits for, and what the next process learns of a note. */
import {describe, expect, it} from 'vitest';
import {NodeNotes} from '../coordination/node-notes.js';
import {waitMs} from '../protocol/backoff.js';
import type {LeavingProcess, NodeNote} from '../protocol/node-note.js';

/** Time within which a worker wants its confirmation. */
const MAX_CONFIRM_MS = 1000;
const NEVER = new Promise<never>(() => {});
const NOW_MS = 1_000_000;

interface Keepers {
  readonly store?: (note: NodeNote) => Promise<void>;
  readonly push?: () => Promise<string>;
  readonly recover?: (leaving: readonly LeavingProcess[]) => void;
}

function createNotes(keepers: Keepers, kept: string[] = []): NodeNotes {
  return new NodeNotes({
    nodeId: 'own',
    store: () => NEVER,
    push: () => NEVER,
    recover: () => {},
    hasRecovered: () => true,
    recoverCrashes: () => {},
    random: () => 0,
    readClock: () => NOW_MS,
    report: (text, {keeper}) => {
      if (text === 'notes saved') kept.push(String(keeper));
    },
    ...keepers,
  });
}

function createProcess(instanceId: string): LeavingProcess {
  return {instanceId, bornAtMs: 1, leftAtMs: NOW_MS};
}

describe('a confirmed leaving', () => {
  const refuse = (): Promise<never> => Promise.reject(new Error('refused'));
  it.each([
    {name: 'kept by the store', store: async () => {}, keeper: 'store'},
    {name: 'kept by a node', push: async () => 'other', keeper: 'other'},
    {
      name: 'refused by the store, kept by a node',
      store: refuse,
      push: () => waitMs(50).then(() => 'other'),
      keeper: 'other',
    },
    {
      name: 'kept by the store, refused by all nodes',
      store: () => waitMs(50),
      push: refuse,
      keeper: 'store',
    },
    {name: 'refused by all', store: refuse, push: refuse, keeper: 'none'},
    {name: 'answered by nobody', keeper: 'none'},
  ])('$name: is confirmed in time', async ({keeper, ...keepers}) => {
    const kept: string[] = [];
    const notes = createNotes(keepers, kept);
    const startedAt = performance.now();
    notes.addLeaving(createProcess('i'));
    await notes.saved;
    expect(performance.now() - startedAt).toBeLessThan(MAX_CONFIRM_MS);
    expect(kept).toEqual([keeper]);
    notes.stop();
  });
});

// Guards against a process that is not known to be leaving because the list of
// leaving processes has reached its bound.
it('each new process of a full note is recovered', () => {
  const recovered: string[] = [];
  const notes = createNotes({
    recover: leaving =>
      recovered.push(...leaving.map(({instanceId}) => instanceId)),
  });
  const ids = Array.from({length: 20}, (unused, index) => `i-${index}`);
  for (const id of ids) {
    notes.apply([{nodeId: 'own', leaving: [createProcess(id)], crashes: []}]);
  }
  expect(recovered).toEqual(ids);
});
